package relay

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

const (
	// bodyReadTimeout is added to the header time for the reading of a body, which
	// takes seconds on slow links.
	bodyReadTimeout = 10 * time.Second
	// writeTimeout bounds the writing of one answer to a client that reads slowly.
	writeTimeout = 30 * time.Second
	// lingerTimeout is how long a closing connection waits for its client to close.
	lingerTimeout = time.Second
	// connsMax bounds the open connections of clients and nodes. It is below the
	// file descriptor limit of a small instance.
	connsMax = 3000
	// readerBytesMax bounds the buffer for the head of a request, even if the records
	// allow more.
	readerBytesMax = 64 << 10
)

// conn is an accepted connection from a client, this node's target or another node. One
// goroutine reads its requests one after the other, and detects its close while a
// request is served. The goroutine that has the answer writes it.
type conn struct {
	relay    *Relay
	net      net.Conn
	reader   *bufio.Reader
	origin   gypsumrail.Origin
	answered chan struct{} // receives a value after each answer is written

	mu        sync.Mutex
	closeNext bool // the current request asks to close the connection after its answer
	closing   bool // read no further request
}

// connSet holds the open connections of all callers.
type connSet struct {
	mu   sync.Mutex
	open map[*conn]struct{}
}

// add returns false if connsMax connections are open.
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

// serveConn reads and serves the requests of a connection until it is closed. It
// closes a connection above connsMax at once.
func (r *Relay) serveConn(nc net.Conn, origin gypsumrail.Origin) {
	c := &conn{relay: r, net: nc, origin: origin, answered: make(chan struct{}, 1)}
	defer func() { _ = nc.Close() }()
	if !r.conns.add(c) {
		return
	}
	defer r.conns.drop(c)
	defer c.lingerBeforeClose()
	c.reader = bufio.NewReaderSize(nc, min(max(r.limits(origin).HeaderBytes, 1<<10), readerBytesMax))
	c.setReadTimeout(r.limits(origin).IdleTime)
	var request fasthttp.Request
	for {
		if _, err := c.reader.Peek(1); err != nil {
			return
		}
		if c.isClosing() {
			return
		}
		call, ok := c.readRequest(&request)
		if !ok {
			return
		}
		if call == nil {
			<-c.answered // parseRequest has rejected it
			continue
		}
		r.registerCall(call)
		if !c.awaitAnswer(call) {
			return
		}
	}
}

// awaitAnswer waits until the answer of a call is written. If the caller closes the
// connection before that, it gives the reducer a CallerGone event. It returns whether
// another request can be read. The bytes of a pipelined request stay buffered until
// the answer is written.
func (c *conn) awaitAnswer(call *call) bool {
	_, err := c.reader.Peek(1)
	select {
	case <-c.answered:
		return err == nil && !c.isClosing()
	default:
	}
	if err != nil {
		c.relay.callerGone(call)
		return false
	}
	<-c.answered
	return !c.isClosing()
}

// lingerBeforeClose discards what a client still sends after the last answer.
// Closing with unread bytes would reset the connection and lose the answer.
func (c *conn) lingerBeforeClose() {
	if c.isClosing() {
		c.setReadTimeout(gypsumrail.MillisOf(lingerTimeout))
		_, _ = io.Copy(io.Discard, c.net)
	}
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// setReadTimeout sets the read deadline to limit from now, or to none if it is zero.
func (c *conn) setReadTimeout(limit gypsumrail.Millis) {
	var until time.Time
	if limit > 0 {
		until = time.Now().Add(limit.Duration())
	}
	_ = c.net.SetReadDeadline(until)
}

// readRequest reads one request within the limits in force. It returns nil and true
// if the request was rejected, and false if the connection has to be closed.
func (c *conn) readRequest(request *fasthttp.Request) (*call, bool) {
	limits := c.relay.limits(c.origin)
	began := time.Now()
	_ = c.net.SetReadDeadline(began.Add(limits.HeaderTime.Duration()))
	request.Reset()
	if err := request.Header.Read(c.reader); err != nil {
		return nil, c.rejectUnreadable(err)
	}
	_ = c.net.SetReadDeadline(began.Add(limits.HeaderTime.Duration() + bodyReadTimeout))
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
	requests := c.relay.parts.Requests
	if size > uncountedBytesMax && !requests.Admits(int64(size)) {
		return nil, c.rejectBusy(request)
	}
	body := requestReader{quota: requests, net: c.net}
	if err := body.read(request, c.reader, limits.BodyBytes); err != nil {
		if isGivenUp(err) {
			return nil, c.rejectBusy(request)
		}
		return nil, c.rejectUnreadable(err)
	}
	_ = c.net.SetReadDeadline(time.Time{})
	k := c.parseRequest(request, &body.blockReader, began)
	if k == nil {
		body.drop()
	}
	return k, true
}

// rejectBusy refuses a request for whose body there is no memory. It always returns false: the
// connection has to be closed, as the rest of the body is not read.
func (c *conn) rejectBusy(request *fasthttp.Request) bool {
	rep := c.newRejection(string(request.Header.Peek(c.relay.settings.Headers.Request)), http.StatusServiceUnavailable, wire.ReasonBusy)
	rep.close = true
	if c.origin == gypsumrail.FromPeer {
		// Without this statement the sending node would have to assume that the call may have run.
		result := gypsumrail.Result{Outcome: gypsumrail.NotRun, Reason: wire.ReasonBusy, RetryAfter: rejectRetryAfter}
		var k call
		if _, err := parseCall(string(request.Header.Peek(headerCall)), &k); err == nil {
			result.AllowanceLeft = k.arrival.Allowance
		}
		rep.extraHead = appendAnswer(nil, &result, c.relay.revisions())
	}
	c.respond(rep)
	return false
}

// rejectUnreadable answers a request that could not be read, unless the caller closed
// the connection. It always returns false: the connection has to be closed.
func (c *conn) rejectUnreadable(err error) bool {
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

// reject answers and logs a request that the reducer never gets. If last is set, it
// closes the connection after the answer.
func (c *conn) reject(request string, status int, reason gypsumrail.Reason, last bool) {
	rep := c.newRejection(request, status, reason)
	rep.close = last
	c.respond(rep)
}

// newRejection logs a request that the reducer never gets and returns the answer.
func (c *conn) newRejection(request string, status int, reason gypsumrail.Reason) reply {
	c.relay.log.Put(NoticeRequestRejected, request, reason, countField("Status", status)+countField(" Revision", int(c.relay.revision())))
	retryAfter := gypsumrail.Millis(0)
	if status == http.StatusServiceUnavailable {
		retryAfter = rejectRetryAfter
	}
	return newRefusal(c.relay.settings.Headers.Request, request, status, reason, retryAfter)
}

// rejectRetryAfter is the Retry-After of a 503 from reject. A node without records
// receives them within a fraction of a second.
const rejectRetryAfter = gypsumrail.Second / 4

// parseRequest returns the call of a request that was read at began, with its body, or nil if
// it rejected the request. The remaining time of a client's request counts from began.
func (c *conn) parseRequest(request *fasthttp.Request, body *blockReader, began time.Time) *call {
	own := &c.relay.settings.Headers
	h := &request.Header
	k := &call{
		conn: c, began: began, isHead: h.IsHead(),
		request: string(h.Peek(own.Request)), arrival: gypsumrail.Arrival{Origin: c.origin, Attempt: 1},
	}
	k.arrival.Request = k.request
	c.mu.Lock()
	c.closeNext = h.ConnectionClose()
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
	k.body, k.hold = body.body, body.hold
	k.credential = c.relay.takeCredential(h)
	k.arrival.Fingerprint = fingerprint(h, k.body)
	k.head = requestHead(h, own, k.body.size())
	k.arrival.Bytes = len(k.head) + k.body.size()
	return k
}

// parsePeer reads the call from the header of the sending node.
func (c *conn) parsePeer(h *fasthttp.RequestHeader, k *call) bool {
	theirs, err := parseCall(string(h.Peek(headerCall)), k)
	if err == nil {
		k.arrival.RateLimit, err = parseRateLimit(h.Peek(wire.HeaderRateLimit))
	}
	if err == nil {
		k.arrival.Account, k.arrival.Level, err = parseAccount(h.Peek(headerAccount))
	}
	if crashes := h.Peek(headerCrashes); err == nil && len(crashes) > 0 {
		k.arrival.Crashes, err = wire.ParseCrashes(string(crashes))
	}
	if err != nil {
		c.reject(k.request, http.StatusBadRequest, wire.ReasonMalformed, true)
		return false
	}
	zone := h.Peek(headerZone)
	k.arrival.Foreign = len(zone) > 0 && string(zone) != url.QueryEscape(c.relay.settings.Self.Zone)
	c.relay.checkPeerRevisions(theirs, c.relay.peerAddress(c.net.RemoteAddr()))
	return true
}

// parseClient reads the identity and remaining time from the headers of a client,
// and the class from the routes of the records.
func (c *conn) parseClient(h *fasthttp.RequestHeader, k *call) bool {
	r := c.relay
	a := &k.arrival
	k.origin = r.settings.Self.Service
	if !validRequestID(a.Request) {
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

// remainingMax bounds the remaining time that a client may state.
const remainingMax = 10 * gypsumrail.Minute

// respond writes an answer and lets serveConn continue. It closes the write side
// after the last answer: one with close set, one whose request demands it, or any
// answer to a client while the node drains.
func (c *conn) respond(rep reply) {
	c.mu.Lock()
	closeNext := rep.close || c.closeNext || c.origin != gypsumrail.FromPeer && c.relay.draining.Load()
	c.closing = c.closing || closeNext
	c.mu.Unlock()
	size, rest := rep.body.size(), rep.body
	message := make([]byte, 0, len(rep.head)+len(rep.extraHead)+min(size, directWriteBytesMax)+32)
	message = append(message, rep.head...)
	message = append(message, rep.extraHead...)
	if closeNext {
		message = append(message, "Connection: close\r\n"...)
	}
	message = append(message, '\r', '\n')
	if size <= directWriteBytesMax {
		for _, block := range rest {
			message = append(message, block...)
		}
		rest = nil
	}
	_ = c.net.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.net.Write(message)
	for i := 0; i < len(rest) && err == nil; i++ {
		_, err = c.net.Write(rest[i])
	}
	if err != nil {
		_ = c.net.Close() // ends serveConn too
	}
	if closeNext {
		if half, ok := c.net.(interface{ CloseWrite() error }); ok {
			_ = half.CloseWrite()
		}
		c.setReadTimeout(gypsumrail.MillisOf(lingerTimeout))
	} else {
		c.setReadTimeout(c.relay.limits(c.origin).IdleTime)
	}
	c.answered <- struct{}{}
}
