package main

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one run of a request at an upstream.
type run struct {
	id       string
	upstream string
	began    time.Time
	ended    time.Time // zero while the upstream works on it
	caller   string
}

// upstream is a sound application upstream: it runs up to slots requests at once, queues
// a few more and rejects others as not run.
type upstream struct {
	id, service, zone, address string
	slots                      int
	state                      string
	born                       int64
	sequence                   int

	log      *logbook
	tokens   chan struct{}
	queue    chan struct{}
	listener net.Listener

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	runs  []*run
	slow  float64 // times as long that runs take which begin now; 0 counts as 1

	// unframed makes successes have no length: they come in pieces and end with their
	// connection.
	unframed bool

	// endless, if set, decides whether a request is answered with a head and a body that
	// does not end, and at which pace.
	endless func(id string) (bytesPerSecond int, ok bool)
}

func (u *upstream) setEndless(endless func(id string) (int, bool)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.endless = endless
}

func (u *upstream) setUnframed() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.unframed = true
}

// setState sets the state in the store's entry: ready or draining.
func (u *upstream) setState(state string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state = state
}

// setSlow makes runs that begin from now on take x times as long.
func (u *upstream) setSlow(x float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.slow = x
}

const queueSlots = 216 // requests that an upstream queues, as in the site file

func newUpstream(log *logbook, id, service, zone, address string, slots int) (*upstream, error) {
	u := &upstream{
		id: id, service: service, zone: zone, address: address, slots: slots, state: "ready", born: time.Now().UnixMilli(),
		log: log, tokens: make(chan struct{}, slots), queue: make(chan struct{}, queueSlots+slots), conns: map[net.Conn]struct{}{},
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	u.listener = listener
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			u.mu.Lock()
			u.conns[conn] = struct{}{}
			u.mu.Unlock()
			go u.serve(conn)
		}
	}()
	return u, nil
}

// end ends the upstream as a process end does: its port and its connections close.
func (u *upstream) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	_ = u.listener.Close()
	for conn := range u.conns {
		_ = conn.Close()
	}
}

// entry is what the upstream writes into the store.
func (u *upstream) entry() map[string]any {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	return map[string]any{
		"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "maxConcurrency": u.slots,
		"state": u.state, "coldRemainingS": 0, "sequence": u.sequence, "born": u.born,
	}
}

// bodyOf returns the body of the answer to a request, which names the request.
func bodyOf(id string, size int) []byte {
	line := "answer to " + id + "\n"
	return []byte(strings.Repeat(line, size/len(line)+1)[:max(size, len(line))])
}

// signatureOf returns the Server-Signature of the answer to a request.
func signatureOf(id string, body []byte) string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, id)
	_, _ = h.Write(body)
	return fmt.Sprintf("%x.%d", h.Sum64(), len(body))
}

func (u *upstream) serve(conn net.Conn) {
	defer func() {
		u.mu.Lock()
		delete(u.conns, conn)
		u.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Time{})
		if !u.handle(conn, reader, request) {
			return
		}
	}
}

// handle answers one request and returns whether the connection can carry another one.
// The path ends with the work in milliseconds and the size of the answer, as in /x/300/2000.
func (u *upstream) handle(conn net.Conn, reader *bufio.Reader, request *http.Request) bool {
	id := request.Header.Get("Request-Id")
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != u.id {
		return u.write(conn, request, http.StatusMisdirectedRequest, id, "Instance-Id: "+u.id+"\r\n", nil)
	}
	if id == "" {
		return u.write(conn, request, http.StatusBadRequest, id, "Not-Executed: 1\r\n", nil)
	}
	limit := time.Now().Add(30 * time.Second)
	if ms, err := strconv.Atoi(request.Header.Get("Deadline-Ms")); err == nil {
		limit = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	select {
	case u.queue <- struct{}{}:
		defer func() { <-u.queue }()
	default:
		return u.write(conn, request, http.StatusServiceUnavailable, id, "Not-Executed: 1\r\n", nil)
	}
	gone, watched := make(chan struct{}), make(chan struct{})
	go func() { // a request is dropped when its connection closes
		defer close(watched)
		if _, err := reader.Peek(1); err != nil {
			close(gone)
		}
	}()
	defer func() {
		_ = conn.SetReadDeadline(time.Now())
		<-watched
		_ = conn.SetReadDeadline(time.Time{})
	}()
	select {
	case u.tokens <- struct{}{}:
		defer func() { <-u.tokens }()
	case <-time.After(time.Until(limit)):
		return u.write(conn, request, http.StatusServiceUnavailable, id, "Not-Executed: 1\r\n", nil)
	case <-gone:
		return false
	}
	r := &run{id: id, upstream: u.id, began: time.Now(), caller: request.Header.Get("Caller-Service")}
	u.mu.Lock()
	u.runs = append(u.runs, r)
	u.mu.Unlock()
	u.log.addf("run %s begins at %s", id, u.id)
	finish := func(how string) {
		u.mu.Lock()
		r.ended = time.Now()
		u.mu.Unlock()
		u.log.addf("run %s ends at %s: %s", id, u.id, how)
	}
	u.mu.Lock()
	endless, slow, unframed := u.endless, u.slow, u.unframed
	u.mu.Unlock()
	if endless != nil {
		if pace, ok := endless(id); ok {
			u.stream(conn, gone, pace)
			finish("body without end, closed by the caller")
			return false
		}
	}
	work, size := parsePath(request.URL.Path)
	if slow > 0 {
		work = time.Duration(float64(work) * slow)
	}
	select {
	case <-time.After(work):
	case <-time.After(time.Until(limit)):
		finish("504 at the time limit")
		return u.write(conn, request, http.StatusGatewayTimeout, id, "", []byte("time limit\n"))
	case <-gone:
		finish("dropped, its connection closed")
		return false
	}
	finish("200")
	if unframed && request.Method != http.MethodHead {
		u.writeUnframed(conn, id, bodyOf(id, size))
		return false
	}
	return u.write(conn, request, http.StatusOK, id, "", bodyOf(id, size))
}

// stream writes a head and then a body until the caller closes the connection.
func (u *upstream) stream(conn net.Conn, gone <-chan struct{}, bytesPerSecond int) {
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"); err != nil {
		return
	}
	const tick = 10 * time.Millisecond
	junk := make([]byte, bytesPerSecond/int(time.Second/tick))
	for i := range junk {
		junk[i] = 'x'
	}
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if _, err := conn.Write(junk); err != nil {
				return
			}
		case <-gone:
			return
		}
	}
}

// write writes an answer and returns whether the connection can carry another request.
func (u *upstream) write(conn net.Conn, request *http.Request, status int, id, extra string, body []byte) bool {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		head += "Request-Id: " + id + "\r\n"
	}
	head += extra
	u.mu.Lock()
	if u.state == "draining" {
		head += "Server-Leaving: 1\r\n"
	}
	u.mu.Unlock()
	if body != nil {
		head += "Server-Signature: " + signatureOf(id, body) + "\r\n"
	}
	head += fmt.Sprintf("Server-Load: %d,0,%d\r\nContent-Length: %d\r\nKeep-Alive: timeout=10\r\n\r\n", len(u.tokens), u.slots, len(body))
	if request.Method == http.MethodHead {
		body = nil
	}
	_ = conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
	_, err := conn.Write(append([]byte(head), body...))
	return err == nil && !request.Close
}

// writeUnframed writes a success without a length, as it becomes ready.
func (u *upstream) writeUnframed(conn net.Conn, id string, body []byte) {
	const piece, pause = 1000, 5 * time.Millisecond
	head := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Signature: " + signatureOf(id, body) + "\r\nConnection: close\r\n\r\n"
	for rest := append([]byte(head), body...); len(rest) > 0; {
		n := min(piece, len(rest))
		if _, err := conn.Write(rest[:n]); err != nil {
			return
		}
		rest = rest[n:]
		time.Sleep(pause)
	}
}

// parsePath returns the work and the size of the answer that the end of a path asks for.
func parsePath(path string) (time.Duration, int) {
	parts := strings.Split(path, "/")
	if len(parts) < 2 {
		return 0, 0
	}
	work, _ := strconv.Atoi(parts[len(parts)-2])
	size, _ := strconv.Atoi(parts[len(parts)-1])
	return time.Duration(work) * time.Millisecond, size
}

// runsOf returns copies of the runs of all upstreams.
func runsOf(upstreams ...*upstream) []run {
	var all []run
	for _, u := range upstreams {
		u.mu.Lock()
		for _, r := range u.runs {
			all = append(all, *r)
		}
		u.mu.Unlock()
	}
	return all
}
