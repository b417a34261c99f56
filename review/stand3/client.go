package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// sent is one request of a client and what came of it.
type sent struct {
	id     string
	at     time.Time
	took   time.Duration
	status int    // 0: no answer
	body   string // of the answer
	reused bool   // it was sent on a kept connection
	err    error
}

// clients stand in for the clients of one machine. They keep connections open, send one
// request at a time on each, and never send a request again.
type clients struct {
	rec      *record
	outbound string
	idleMax  time.Duration // they use a connection again up to this time

	mu   sync.Mutex
	idle []*clientConn
	log  []sent
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
	since  time.Time
}

var requestNumber atomic.Int64

func newID() string {
	return fmt.Sprintf("%08x%08x", time.Now().Unix()&0xffffffff, requestNumber.Add(1))
}

func newClients(rec *record, outbound string) *clients {
	return &clients{rec: rec, outbound: outbound, idleMax: 20 * time.Second}
}

// conn returns a kept connection, or a new one.
func (c *clients) conn() (conn *clientConn, reused bool, err error) {
	c.mu.Lock()
	for len(c.idle) > 0 {
		last := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if time.Since(last.since) < c.idleMax && open(last) {
			c.mu.Unlock()
			return last, true, nil
		}
		_ = last.Close()
	}
	c.mu.Unlock()
	dialed, err := net.DialTimeout("tcp", c.outbound, time.Second)
	if err != nil {
		return nil, false, err
	}
	return &clientConn{Conn: dialed, reader: bufio.NewReader(dialed)}, false, nil
}

// open reports whether the other end has not closed an idle connection.
func open(c *clientConn) bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.reader.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// send sends one request and returns what came of it.
func (c *clients) send(method, host, path string, limit time.Duration, body []byte) sent {
	return c.sendWith(newID(), method, host, path, limit, body, nil)
}

func (c *clients) sendWith(id, method, host, path string, limit time.Duration, body []byte, header http.Header) sent {
	s := sent{id: id, at: time.Now()}
	s.status, s.body, s.reused, s.err = c.exchange(id, method, host, path, limit, body, header)
	s.took = time.Since(s.at)
	c.rec.line("client: %s got %d after %.3f s %s", s.id, s.status, s.took.Seconds(), errText(s.err))
	c.mu.Lock()
	c.log = append(c.log, s)
	c.mu.Unlock()
	return s
}

func (c *clients) exchange(id, method, host, path string, limit time.Duration, body []byte, header http.Header) (int, string, bool, error) {
	conn, reused, err := c.conn()
	if err != nil {
		return 0, "", false, err
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, host, id, limit.Milliseconds())
	for name, values := range header {
		for _, value := range values {
			head += name + ": " + value + "\r\n"
		}
	}
	if body != nil {
		head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	c.rec.line("client: sends %s %s %s (%d bytes, kept connection: %t)", id, method, path, len(body), reused)
	_ = conn.SetDeadline(time.Now().Add(limit + time.Second))
	if _, err := conn.Write(append([]byte(head+"\r\n"), body...)); err != nil {
		_ = conn.Close()
		return 0, "", reused, err
	}
	answer, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
	if err != nil {
		_ = conn.Close()
		return 0, "", reused, err
	}
	var content bytes.Buffer
	_, err = io.Copy(&content, answer.Body)
	_ = answer.Body.Close()
	if err != nil || answer.Close {
		_ = conn.Close()
	} else {
		_ = conn.SetDeadline(time.Time{})
		conn.since = time.Now()
		c.mu.Lock()
		c.idle = append(c.idle, conn)
		c.mu.Unlock()
	}
	text := content.String()
	if got := answer.Header.Get("Request-Id"); got != "" && got != id {
		text = "FOREIGN " + got
	}
	return answer.StatusCode, text, reused, err
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return "(" + err.Error() + ")"
}

// sentBy returns the requests that have ended, by id.
func (c *clients) sentBy() map[string]sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := make(map[string]sent, len(c.log))
	for _, s := range c.log {
		m[s.id] = s
	}
	return m
}
