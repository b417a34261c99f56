package stubs

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

// countedRequestsMax bounds the user requests whose runs a target counts by identity
// and by key. Once it is reached, later runs are counted only in the total.
const countedRequestsMax = 1 << 18

// TargetSettings configure a Target.
type TargetSettings struct {
	Address     string        // IP address and port; empty means a free loopback port
	Name        string        // appears in the answers
	Slots       int           // requests that run at once; others queue. Zero means 16
	ServiceTime time.Duration // of one request, besides its outgoing calls
	Egress      string        // address of the node's egress port
	Calls       []string      // services that each request calls through the node, one after the other
	AnswerBytes int64         // size of the answer's body; raised to the length of its first line

	// OnRequest, if set, is called for each request that starts to run or is rejected
	// because of SetRefusing. It must be safe for concurrent use.
	OnRequest func(r *http.Request, ran bool)
}

// Target is a stub of a target: an HTTP server with a fixed number of slots. It is
// safe for concurrent use.
type Target struct {
	settings TargetSettings
	client   *http.Client
	address  string

	mu            sync.Mutex
	server        *http.Server // nil after Crash
	slots         chan struct{}
	serviceTime   time.Duration
	refusing      bool
	cutAfter      int64 // bytes of body after which the connection is closed; negative for none
	busy          int
	runsByRequest map[string]int // by request identity
	runsByKey     map[string]int // by idempotency key
	totalRuns     int
}

// NewTarget starts a target.
func NewTarget(settings TargetSettings) (*Target, error) {
	if settings.Slots == 0 {
		settings.Slots = 16
	}
	l, err := listen(settings.Address)
	if err != nil {
		return nil, err
	}
	t := &Target{
		settings:      settings,
		client:        &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: settings.Slots, IdleConnTimeout: 10 * time.Second}},
		address:       l.Addr().String(),
		slots:         make(chan struct{}, settings.Slots),
		serviceTime:   settings.ServiceTime,
		cutAfter:      -1,
		runsByRequest: make(map[string]int),
		runsByKey:     make(map[string]int),
	}
	t.start(l)
	return t, nil
}

func (t *Target) start(l net.Listener) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.server = serve(l, t)
}

// Address returns the IP address and port, which Crash and Restart do not change.
func (t *Target) Address() string { return t.address }

// SetEgress sets the address of the node's egress port, for a node that starts
// after its target.
func (t *Target) SetEgress(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settings.Egress = address
}

// SetServiceTime sets the time that a request runs besides its outgoing calls. It
// applies to requests that arrive later.
func (t *Target) SetServiceTime(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.serviceTime = d
}

// SetRefusing makes the target answer 503 without running anything.
func (t *Target) SetRefusing(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refusing = on
}

// SetCut makes the target close the connection after this many bytes of the answer's
// body; negative for never.
func (t *Target) SetCut(after int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cutAfter = after
}

// Crash closes the port and all connections, until Restart.
func (t *Target) Crash() {
	t.mu.Lock()
	server := t.server
	t.server = nil
	t.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// Up reports whether the port is open. It is closed between Crash and Restart.
func (t *Target) Up() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.server != nil
}

// Restart opens the port again after Crash.
func (t *Target) Restart() error {
	l, err := listen(t.address)
	if err != nil {
		return err
	}
	t.start(l)
	return nil
}

// Close stops the target.
func (t *Target) Close() {
	t.Crash()
	t.client.CloseIdleConnections()
}

// RunsOfRequest returns how many times a user request ran at this target.
func (t *Target) RunsOfRequest(request string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runsByRequest[request]
}

// RunsOfKey returns how many times requests with an idempotency key ran at this
// target.
func (t *Target) RunsOfKey(key string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runsByKey[key]
}

// TotalRuns returns the number of runs that have started.
func (t *Target) TotalRuns() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.totalRuns
}

// ServeHTTP runs one request: it waits for a slot and for the service time, makes
// the outgoing calls through the node and answers.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	serviceTime, refusing, cut, egress := t.serviceTime, t.refusing, t.cutAfter, t.settings.Egress
	t.mu.Unlock()
	if refusing {
		t.notify(r, false)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	select {
	case t.slots <- struct{}{}:
		defer func() { <-t.slots }()
	case <-r.Context().Done():
		return
	}
	t.notify(r, true)
	busy := t.beginRun(r)
	defer t.endRun()
	pause(r, serviceTime)
	status := http.StatusOK
	for _, name := range t.settings.Calls {
		if callStatus, reason := t.call(r, egress, name); callStatus >= http.StatusBadRequest {
			// 429 or 503 would mean that this target itself is overloaded.
			status = http.StatusBadGateway
			w.Header().Set(HeaderFailedCall, fmt.Sprintf("%s %d %s", name, callStatus, reason))
			break
		}
	}
	t.answer(w, r, status, busy, cut)
}

func (t *Target) notify(r *http.Request, ran bool) {
	if t.settings.OnRequest != nil {
		t.settings.OnRequest(r, ran)
	}
}

func (t *Target) beginRun(r *http.Request) int {
	request, key := r.Header.Get(wire.HeaderRequest), r.Header.Get(wire.HeaderKey)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy++
	t.totalRuns++
	if len(t.runsByRequest) < countedRequestsMax {
		t.runsByRequest[request]++
		if key != "" {
			t.runsByKey[key]++
		}
	}
	return t.busy
}

func (t *Target) endRun() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy--
}

// HeaderFailedCall is a header of a target's answer. It names the outgoing call that
// failed: the service, the status and the node's reason.
const HeaderFailedCall = "X-Failed-Below"

// call makes an outgoing call through the node and returns its status and the
// reason of a rejection. It returns 502 for an answer that is not complete or
// belongs to another request.
func (t *Target) call(r *http.Request, egress, service string) (status int, reason string) {
	out, err := http.NewRequestWithContext(r.Context(), http.MethodPost, "http://"+egress+"/"+service, http.NoBody)
	if err != nil {
		return http.StatusInternalServerError, ""
	}
	for _, name := range []string{wire.HeaderCall, wire.HeaderRequest, "Traceparent"} {
		if value := r.Header.Get(name); value != "" {
			out.Header.Set(name, value)
		}
	}
	out.Header.Set(wire.HeaderService, service)
	answer, err := t.client.Do(out)
	if err != nil {
		return http.StatusBadGateway, "broken"
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, answer.Body)
		failedCall := answer.Header.Get(HeaderFailedCall)
		if failedCall != "" {
			failedCall = "/ " + failedCall
		}
		return answer.StatusCode, answer.Header.Get(wire.HeaderReason) + failedCall
	}
	if err := CheckBody(answer.Body, r.Header.Get(wire.HeaderRequest)); err != nil {
		return http.StatusBadGateway, "not whole"
	}
	return answer.StatusCode, ""
}

func (t *Target) answer(w http.ResponseWriter, r *http.Request, status, busy int, cut int64) {
	body := newAnswerBody(t.settings.Name, r.Header.Get(wire.HeaderRequest), t.settings.AnswerBytes)
	w.Header().Set(wire.HeaderLoad, fmt.Sprintf("%d/%d", busy, t.settings.Slots))
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.FormatInt(body.remaining, 10))
	w.WriteHeader(status)
	if cut >= 0 && cut < body.remaining {
		_, _ = io.CopyN(w, body, cut)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.Copy(w, body)
}
