package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that an upstream began to work on.
type run struct {
	upstream, id, method, uri string
	bodyBytes                 int
	header                    http.Header
	at                        time.Time
}

// upstream stands in for an application server. A request says in its query how long the
// work takes (work, in ms) and how long the answer is (size, in bytes).
type upstream struct {
	name, service, address string
	log                    *record
	answer                 func(u *upstream, c net.Conn, r *http.Request, body []byte) bool // nil: the usual answer

	mu       sync.Mutex
	runs     []run
	sequence atomic.Int64
}

func newUpstream(log *record, name, service, address string) (*upstream, error) {
	u := &upstream{name: name, service: service, address: address, log: log}
	return u, u.listen()
}

func (u *upstream) listen() error {
	listener, err := net.Listen("tcp", u.address)
	if err != nil {
		return err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(conn)
		}
	}()
	return nil
}

func (u *upstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		id := request.Header.Get("Request-Id")
		if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != u.name {
			if _, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, u.name); err != nil {
				return
			}
			continue
		}
		u.mu.Lock()
		u.runs = append(u.runs, run{u.name, id, request.Method, request.RequestURI, len(body), request.Header, time.Now()})
		u.mu.Unlock()
		u.log.put("run", id, "at %s: %s %s, %d bytes of body", u.name, request.Method, request.RequestURI, len(body))
		if u.answer != nil {
			if !u.answer(u, conn, request, body) {
				return
			}
			continue
		}
		if !u.work(conn, reader, request) {
			return
		}
		if !u.respond(conn, request) {
			return
		}
	}
}

// hasRun reports whether the upstream has begun to work on a request.
func (u *upstream) hasRun(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i := range u.runs {
		if u.runs[i].id == id {
			return true
		}
	}
	return false
}

// work takes the time that the request asks for. It ends sooner, with false, when the
// connection closes: the request is dropped then.
func (u *upstream) work(conn net.Conn, reader *bufio.Reader, request *http.Request) bool {
	ms, _ := strconv.Atoi(request.URL.Query().Get("work"))
	began := time.Now()
	end := began.Add(time.Duration(ms) * time.Millisecond)
	_ = conn.SetReadDeadline(end)
	if ms > 0 {
		if _, err := reader.Peek(1); err != nil {
			if e, ok := err.(net.Error); !ok || !e.Timeout() {
				id := request.Header.Get("Request-Id")
				u.log.put("cut", id, "the node closed the connection to %s %d ms into %d ms of work", u.name, time.Since(began).Milliseconds(), ms)
				return false
			}
		}
	}
	_ = conn.SetReadDeadline(time.Time{})
	time.Sleep(time.Until(end))
	return true
}

// bodyOf returns the answer's body, which the request and the upstream determine.
func (u *upstream) bodyOf(id string, size int) []byte {
	line := []byte(fmt.Sprintf("%s of %s for %s\n", u.service, u.name, id))
	body := make([]byte, 0, max(size, len(line)))
	for len(body) < max(size, len(line)) {
		body = append(body, line...)
	}
	return body[:max(size, len(line))]
}

func signature(body []byte) string {
	digest := sha256.Sum256(body)
	return fmt.Sprintf("%d.%s", len(body), hex.EncodeToString(digest[:8]))
}

func (u *upstream) respond(conn net.Conn, request *http.Request) bool {
	id := request.Header.Get("Request-Id")
	size, _ := strconv.Atoi(request.URL.Query().Get("size"))
	body := u.bodyOf(id, size)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: %s\r\nContent-Length: %d\r\n\r\n", id, signature(body), len(body))
	if request.Method == http.MethodHead {
		body = nil
	}
	_, err := conn.Write(append([]byte(head), body...))
	return err == nil
}

// entry is what an upstream writes about itself into the store.
type entry struct {
	Service        string  `json:"service"`
	Address        string  `json:"address"`
	Zone           string  `json:"zone"`
	Version        string  `json:"version"`
	MaxConcurrency int     `json:"maxConcurrency"`
	State          string  `json:"state"`
	ColdRemainingS float64 `json:"coldRemainingS"`
	Sequence       int64   `json:"sequence"`
	Born           int64   `json:"born"`
}
