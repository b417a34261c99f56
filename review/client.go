package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

// result is what a client saw of one request.
type result struct {
	id        string
	sent      time.Time // when the last byte of the request was sent
	ended     time.Time
	limit     time.Duration
	status    int // 0 without an answer
	signature string
	body      []byte
	err       error // why there is no complete answer
}

// complete reports whether a whole answer arrived.
func (r *result) complete() bool { return r.err == nil && r.status != 0 }

// genuine reports whether the answer is the whole answer of an upstream to this request.
func (r *result) genuine() bool { return r.signature == signatureOf(r.id, r.body) }

// client is a client with one connection that it keeps.
type client struct {
	log    *logbook
	conn   net.Conn
	reader *bufio.Reader
}

// dial opens a connection to the node of a machine. A small window, in bytes, makes it the
// connection of a client behind a narrow link, with segments of the size of a real network.
func dial(log *logbook, m *machine, window int) (*client, error) {
	dialer := net.Dialer{Timeout: time.Second}
	if window > 0 {
		dialer.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window)
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
			})
		}
	}
	conn, err := dialer.Dial("tcp", m.address(m.ports.outbound))
	if err != nil {
		return nil, err
	}
	return &client{log: log, conn: conn, reader: bufio.NewReader(conn)}, nil
}

const segmentBytes = 1448 // of TCP over Ethernet

func (c *client) close() { _ = c.conn.Close() }

var lastID atomic.Uint64

// newID returns the identity of a new request.
func newID() string { return fmt.Sprintf("%016x", 0x9c41d07b00000000+lastID.Add(1)) }

// order is a request to send.
type order struct {
	method, host, path string
	body               string
	limit              time.Duration // what Deadline-Ms states
	pace               int           // bytes a second that the client reads; 0 for all at once
	slowTime           time.Duration // for how long; then it reads at full speed
	patience           time.Duration // how long the client reads a slow answer; limit if zero
}

// send sends one request and reads its answer.
func (c *client) send(o order) result {
	r := result{id: newID(), limit: o.limit}
	message := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", o.method, o.path, o.host, r.id, o.limit.Milliseconds())
	if o.body != "" || o.method == http.MethodPost {
		message += fmt.Sprintf("Content-Length: %d\r\n", len(o.body))
	}
	c.log.addf("sent %s %s%s as %s on %s", o.method, o.host, o.path, r.id, c.conn.LocalAddr())
	_ = c.conn.SetDeadline(time.Now().Add(max(o.limit, o.patience) + time.Second))
	_, r.err = io.WriteString(c.conn, message+"\r\n"+o.body)
	r.sent = time.Now()
	if r.err == nil {
		r.err = c.read(o, &r)
	}
	r.ended = time.Now()
	switch {
	case r.err != nil:
		c.log.addf("answer to %s: none (%v), %d bytes of a body", r.id, r.err, len(r.body))
	default:
		c.log.addf("answer to %s: %d, signature %q, genuine %v", r.id, r.status, r.signature, r.signature != "" && r.genuine())
	}
	return r
}

func (c *client) read(o order, r *result) error {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: o.method})
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	r.status, r.signature = response.StatusCode, response.Header.Get("Server-Signature")
	if got := response.Header.Get("Request-Id"); got != r.id && got != "" {
		return fmt.Errorf("the answer is to request %s", got)
	}
	if o.pace == 0 {
		r.body, err = io.ReadAll(response.Body)
		return err
	}
	const tick = 20 * time.Millisecond
	chunk := make([]byte, max(1, o.pace/int(time.Second/tick)))
	for {
		n, err := io.ReadFull(response.Body, chunk)
		r.body = append(r.body, chunk[:n]...)
		switch err {
		case nil:
			if time.Since(r.sent) < o.slowTime {
				time.Sleep(tick)
			}
		case io.EOF, io.ErrUnexpectedEOF:
			if int64(len(r.body)) < response.ContentLength {
				return io.ErrUnexpectedEOF
			}
			return nil
		default:
			return err
		}
	}
}
