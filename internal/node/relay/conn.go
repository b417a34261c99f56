package relay

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

// Bounds of what a client may send while the records state none.
const (
	headerBytes = 8 << 10
	bodyBytes   = 1 << 20
	headerTime  = 10 * time.Second
	idleTime    = 60 * time.Second
)

const (
	// bodyTime bounds the reading of a body; clients on slow links take seconds.
	bodyTime = 10 * time.Second
	// writeTime bounds the writing of one answer to a client that reads slowly.
	writeTime = 30 * time.Second
	// lingerTime is how long a closing connection waits for its client to close.
	lingerTime = time.Second
	// Bodies above largeBody count towards heldMax, which bounds the memory that
	// clients can fill: an instance has some hundred megabytes.
	largeBody = 64 << 10
	heldMax   = 64 << 20
	// connsMax bounds the open connections of clients and nodes, below the
	// descriptors of a small instance.
	connsMax = 3000
	// readerMax bounds the buffer for the head of a request, whatever the records say.
	readerMax = 64 << 10
)

// conn is the connection of a client, of the own target or of another node. One
// goroutine reads its requests, and looks out for its end while a request is
// served; whoever has the answer writes it.
type conn struct {
	relay  *Relay
	net    net.Conn
	reader *bufio.Reader
	origin gypsumrail.Origin
	done   chan struct{} // gets a value when an answer was written

	mu     sync.Mutex
	last   bool // the next answer closes the connection
	closed bool // no further request is read
}

// connSet holds the open connections.
type connSet struct {
	mu   sync.Mutex
	open map[*conn]struct{}
}

func (s *connSet) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) >= connsMax {
		return false
	}
	s.open[c] = struct{}{}
	return true
}

func (s *connSet) drop(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

func (s *connSet) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		_ = c.net.Close()
	}
}

// serveConn reads the requests of a connection until its end.
func (r *Relay) serveConn(nc net.Conn, origin gypsumrail.Origin) {
	c := &conn{relay: r, net: nc, origin: origin, done: make(chan struct{}, 1)}
	defer func() { _ = nc.Close() }()
	if !r.conns.add(c) {
		return
	}
	defer r.conns.drop(c)
	defer c.linger()
	c.reader = bufio.NewReaderSize(nc, min(max(r.limits(origin).HeaderBytes, 1<<10), readerMax))
	c.patience(r.limits(origin).IdleTime)
	var request fasthttp.Request
	for {
		if _, err := c.reader.Peek(1); err != nil {
			return
		}
		if c.isClosed() {
			return
		}
		call, ok := c.read(&request)
		if !ok {
			return
		}
		if call == nil {
			<-c.done // it was answered by the reader
			continue
		}
		r.arrive(call)
		if !c.await(call) {
			return
		}
	}
}

// await waits for the answer of a call. It returns false if the connection ended.
// Bytes of a next request stay unread until then.
func (c *conn) await(call *call) bool {
	_, err := c.reader.Peek(1)
	select {
	case <-c.done:
		return err == nil && !c.isClosed()
	default:
	}
	if err != nil {
		c.relay.leave(call)
		return false
	}
	<-c.done
	return !c.isClosed()
}

// linger reads what a client still sends after the last answer, because closing
// with unread bytes would destroy the answer on its way.
func (c *conn) linger() {
	if c.isClosed() {
		c.patience(gypsumrail.MillisOf(lingerTime))
		_, _ = io.Copy(io.Discard, c.net)
	}
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// patience bounds the wait for the next byte; zero is no bound.
func (c *conn) patience(limit gypsumrail.Millis) {
	var until time.Time
	if limit > 0 {
		until = time.Now().Add(limit.Duration())
	}
	_ = c.net.SetReadDeadline(until)
}

// limits returns the bounds of the records in force, or the defaults.
func (r *Relay) limits(origin gypsumrail.Origin) gypsumrail.Limits {
	limits := gypsumrail.Limits{
		HeaderBytes: headerBytes, BodyBytes: bodyBytes,
		HeaderTime: gypsumrail.MillisOf(headerTime), IdleTime: gypsumrail.MillisOf(idleTime),
	}
	if records := r.records.Load(); records != nil {
		set := records.Limits
		if set.HeaderBytes > 0 {
			limits.HeaderBytes = set.HeaderBytes
		}
		if set.BodyBytes > 0 {
			limits.BodyBytes = set.BodyBytes
		}
		if set.HeaderTime > 0 {
			limits.HeaderTime = set.HeaderTime
		}
		if set.IdleTime > 0 {
			limits.IdleTime = set.IdleTime
		}
	}
	if origin == gypsumrail.FromPeer {
		// A node passes on what its client sent, with headers of its own, and keeps
		// connections for longer than clients do.
		limits.HeaderBytes += headerBytes
		limits.IdleTime = gypsumrail.MillisOf(peerPatience)
	}
	return limits
}

// read reads one request. It returns no call if the request was answered at
// once, and false if the connection cannot go on.
func (c *conn) read(request *fasthttp.Request) (*call, bool) {
	limits := c.relay.limits(c.origin)
	began := time.Now()
	_ = c.net.SetReadDeadline(began.Add(limits.HeaderTime.Duration()))
	request.Reset()
	if err := request.Header.Read(c.reader); err != nil {
		return nil, c.unreadable(err)
	}
	_ = c.net.SetReadDeadline(began.Add(limits.HeaderTime.Duration() + bodyTime))
	if request.MayContinue() {
		if _, err := io.WriteString(c.net, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, false
		}
	}
	size := request.Header.ContentLength()
	if size > limits.BodyBytes {
		c.reject("", http.StatusRequestEntityTooLarge, wire.ReasonBodyTooLong, true)
		return nil, false
	}
	if size < 0 {
		size = largeBody // in chunks; the size is not known yet
	}
	held := int64(0)
	if size > largeBody {
		held = int64(size)
	}
	if c.relay.held.Add(held) > heldMax {
		c.relay.held.Add(-held)
		c.reject(string(request.Header.Peek(c.relay.settings.Headers.Request)), http.StatusServiceUnavailable, wire.ReasonBusy, true)
		return nil, false
	}
	if err := request.ContinueReadBody(c.reader, limits.BodyBytes, false); err != nil {
		c.relay.held.Add(-held)
		return nil, c.unreadable(err)
	}
	_ = c.net.SetReadDeadline(time.Time{})
	k := c.parse(request, began)
	if k == nil {
		c.relay.held.Add(-held)
		return nil, true
	}
	k.held = held
	return k, true
}

// unreadable answers what cannot be read as a request, and ends the connection.
func (c *conn) unreadable(err error) bool {
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &small):
		c.reject("", http.StatusRequestHeaderFieldsTooLarge, wire.ReasonHeadersTooLong, true)
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		c.reject("", http.StatusRequestEntityTooLarge, wire.ReasonBodyTooLong, true)
	case errors.As(err, &timeout) && timeout.Timeout():
		c.reject("", http.StatusRequestTimeout, wire.ReasonMalformed, true)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed), errors.Is(err, io.ErrClosedPipe):
	default:
		c.reject("", http.StatusBadRequest, wire.ReasonMalformed, true)
	}
	return false
}

// reject answers a request that does not reach the reducer.
func (c *conn) reject(request string, status int, reason gypsumrail.Reason, last bool) {
	retryAfter := gypsumrail.Millis(0)
	if status == http.StatusServiceUnavailable {
		retryAfter = startingRetry
	}
	rep := refusal(c.relay.settings.Headers.Request, request, status, reason, retryAfter)
	rep.close = last
	c.relay.lines.Put(NoticeRequestRejected, request, reason, countOf("Status", status)+countOf(" Revision", int(c.relay.revision())))
	c.respond(rep)
}

// startingRetry is the time to come back for a client of a node that has no
// records yet; nodes learn them within a fraction of a second.
const startingRetry = gypsumrail.Second / 4

// parse makes a call of a request. It returns nil if the request was rejected.
func (c *conn) parse(request *fasthttp.Request, began time.Time) *call {
	own := &c.relay.settings.Headers
	h := &request.Header
	k := &call{
		conn: c, began: began, isHead: h.IsHead(),
		request: string(h.Peek(own.Request)), arrival: gypsumrail.Arrival{Origin: c.origin, Attempt: 1},
	}
	k.arrival.Request = k.request
	c.mu.Lock()
	c.last = h.ConnectionClose()
	c.mu.Unlock()
	var ok bool
	if c.origin == gypsumrail.FromPeer {
		ok = c.parsePeer(h, k)
	} else {
		ok = c.parseClient(h, k)
	}
	if !ok {
		return nil
	}
	k.body = append([]byte(nil), request.Body()...)
	k.head = requestHead(h, own, len(k.body))
	return k
}

func (c *conn) parsePeer(h *fasthttp.RequestHeader, k *call) bool {
	theirs, err := parseCall(string(h.Peek(headerCall)), k)
	if err != nil {
		c.reject(k.request, http.StatusBadRequest, wire.ReasonMalformed, true)
		return false
	}
	c.relay.learnStamp(theirs, c.relay.peerAddress(c.net.RemoteAddr()))
	return true
}

func (c *conn) parseClient(h *fasthttp.RequestHeader, k *call) bool {
	r := c.relay
	a := &k.arrival
	k.origin = r.settings.Self.Service
	if !validRequest(a.Request) {
		c.reject("", http.StatusBadRequest, wire.ReasonMalformed, false)
		return false
	}
	if remaining := h.Peek(r.settings.Headers.Remaining); len(remaining) > 0 {
		n, err := strconv.ParseInt(string(remaining), 10, 64)
		if err != nil || n < 0 || n > int64(remainingMax) {
			c.reject(a.Request, http.StatusBadRequest, wire.ReasonMalformed, false)
			return false
		}
		a.Remaining = max(1, gypsumrail.Millis(n)-gypsumrail.MillisOf(time.Since(k.began)))
	}
	records := r.records.Load()
	if records == nil {
		c.reject(a.Request, http.StatusServiceUnavailable, gypsumrail.ReasonNoUpstream, false)
		return false
	}
	class, ok := records.Match(string(h.Host()), string(h.RequestURI()))
	if !ok {
		c.reject(a.Request, http.StatusNotFound, gypsumrail.ReasonUnknownName, false)
		return false
	}
	a.Class = class.Name
	return true
}

// remainingMax bounds the time that a client may say it waits.
const remainingMax = 10 * gypsumrail.Minute

// respond writes an answer and lets the reader go on.
func (c *conn) respond(rep reply) {
	c.mu.Lock()
	last := rep.close || c.last || c.origin != gypsumrail.FromPeer && c.relay.leaving.Load()
	c.closed = c.closed || last
	c.mu.Unlock()
	message := make([]byte, 0, len(rep.head)+len(rep.extra)+len(rep.body)+32)
	message = append(message, rep.head...)
	message = append(message, rep.extra...)
	if last {
		message = append(message, "Connection: close\r\n"...)
	}
	message = append(message, '\r', '\n')
	message = append(message, rep.body...)
	_ = c.net.SetWriteDeadline(time.Now().Add(writeTime))
	if _, err := c.net.Write(message); err != nil {
		_ = c.net.Close() // the reader ends with it
	}
	if last {
		if half, ok := c.net.(interface{ CloseWrite() error }); ok {
			_ = half.CloseWrite()
		}
		c.patience(gypsumrail.MillisOf(lingerTime))
	} else {
		c.patience(c.relay.limits(c.origin).IdleTime)
	}
	c.done <- struct{}{}
}
