package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// httpRequest keeps the signatures short.
type httpRequest = http.Request

// upstream stands in for an application upstream.
type upstream struct {
	rec     *record
	id      string
	service string
	zone    string
	address string
	slots   int
	queue   int
	work    func(r *http.Request) time.Duration
	body    func(r *http.Request) []byte // of the answer
	onRun   func(u *upstream, id string, body []byte)
	during  func(u *upstream, id string, r *http.Request) // called in the run
	born    int64

	mu       sync.Mutex
	running  int
	waiting  int
	arrivals []arrival
	leaving  bool
	free     chan struct{}
	server   *http.Server
}

// arrival is a request that reached the upstream and began to run.
type arrival struct {
	id     string
	at     time.Time
	caller string
	path   string
	size   int
	done   bool // it ran to its end
	cut    bool // its connection closed before that
}

func (u *upstream) start() error {
	l, err := net.Listen("tcp", u.address)
	if err != nil {
		return err
	}
	u.born = time.Now().UnixMilli()
	u.free = make(chan struct{}, u.slots)
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = u.server.Serve(l) }()
	return nil
}

// end closes the upstream as at its exit: open runs are cut.
func (u *upstream) end() { _ = u.server.Close() }

func (u *upstream) entry(state string, sequence int) map[string]any {
	return map[string]any{
		"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "maxConcurrency": u.slots,
		"state": state, "coldRemainingS": 0, "sequence": sequence, "born": u.born,
	}
}

func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Instance-Id", u.id)
	u.mu.Lock()
	w.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d", u.running, u.waiting, u.slots))
	leaving := u.leaving
	u.mu.Unlock()
	if r.URL.Path == "/healthz" {
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if id != "" {
		w.Header().Set("Request-Id", id)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	limit := 30 * time.Second
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	deadline := time.NewTimer(limit)
	defer deadline.Stop()
	u.mu.Lock()
	if u.waiting >= u.queue && u.running >= u.slots {
		u.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.waiting++
	u.mu.Unlock()
	select {
	case u.free <- struct{}{}:
		u.mu.Lock()
		u.waiting--
	case <-deadline.C:
		u.mu.Lock()
		u.waiting--
		u.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		u.mu.Lock()
		u.waiting--
		u.mu.Unlock()
		return
	}
	u.running++
	n := len(u.arrivals)
	u.arrivals = append(u.arrivals, arrival{id: id, at: time.Now(), caller: r.Header.Get("Caller-Service"), path: r.URL.RequestURI(), size: len(body)})
	u.mu.Unlock()
	u.rec.line("upstream %s: runs %s %s (%d bytes)", u.id, id, r.Method, len(body))
	defer func() {
		u.mu.Lock()
		u.running--
		u.mu.Unlock()
		<-u.free
	}()
	if u.onRun != nil {
		u.onRun(u, id, body)
	}
	end := time.NewTimer(u.work(r))
	defer end.Stop()
	if u.during != nil {
		u.during(u, id, r)
	}
	select {
	case <-end.C:
	case <-deadline.C:
		w.Header().Set("Server-Signature", "sig-"+id)
		w.WriteHeader(http.StatusGatewayTimeout)
		u.rec.line("upstream %s: time limit of %s", u.id, id)
		return
	case <-r.Context().Done():
		u.mu.Lock()
		u.arrivals[n].cut = true
		u.mu.Unlock()
		u.rec.line("upstream %s: run of %s was cut", u.id, id)
		return
	}
	u.mu.Lock()
	u.arrivals[n].done = true
	u.mu.Unlock()
	answer := []byte("answer to " + id + "\n")
	if u.body != nil {
		answer = u.body(r)
	}
	w.Header().Set("Server-Signature", "sig-"+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer)
	u.rec.line("upstream %s: answered %s", u.id, id)
}

func (u *upstream) seen() []arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]arrival(nil), u.arrivals...)
}
