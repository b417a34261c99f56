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

// ranMax bounds the requests that a target remembers.
const ranMax = 1 << 18

// TargetSettings describe a stand-in for a target.
type TargetSettings struct {
	Address     string        // empty takes a free loopback port
	Name        string        // appears in the answers
	Slots       int           // requests at once; more wait. Zero means 16
	ServiceTime time.Duration // of one request, besides its outgoing calls
	Egress      string        // IP address and port of the node's egress port
	Calls       []string      // services that it calls in turn through its node
	AnswerBytes int64         // size of the answer's body; at least its first line

	// Seen, if set, is told of each request that starts to run or is turned away
	// by SetRefusing. It must be safe for concurrent use.
	Seen func(r *http.Request, ran bool)
}

// Target is a stand-in for a target. It is safe for concurrent use.
type Target struct {
	settings TargetSettings
	client   *http.Client
	address  string

	mu       sync.Mutex
	server   *http.Server // nil after Crash
	slots    chan struct{}
	service  time.Duration
	refusing bool
	cutAfter int64 // bytes of body after which the connection is closed; negative for none
	busy     int
	ran      map[string]int // by request identity
	keys     map[string]int // by idempotency key
	total    int
}

// NewTarget starts a stand-in.
func NewTarget(settings TargetSettings) (*Target, error) {
	if settings.Slots == 0 {
		settings.Slots = 16
	}
	l, err := listen(settings.Address)
	if err != nil {
		return nil, err
	}
	t := &Target{
		settings: settings,
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: settings.Slots, IdleConnTimeout: 10 * time.Second}},
		address:  l.Addr().String(),
		slots:    make(chan struct{}, settings.Slots),
		service:  settings.ServiceTime,
		cutAfter: -1,
		ran:      make(map[string]int),
		keys:     make(map[string]int),
	}
	t.start(l)
	return t, nil
}

func (t *Target) start(l net.Listener) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.server = serve(l, t)
}

// Address returns the IP address and port, also while it is crashed.
func (t *Target) Address() string { return t.address }

// SetEgress sets the egress port of its node, which may start after the target.
func (t *Target) SetEgress(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settings.Egress = address
}

// SetServiceTime changes the time that one request takes.
func (t *Target) SetServiceTime(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.service = d
}

// SetRefusing makes the target answer 503 without running anything.
func (t *Target) SetRefusing(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refusing = on
}

// SetCut closes the connection after this many bytes of body; negative for never.
func (t *Target) SetCut(after int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cutAfter = after
}

// Crash closes the port and all connections.
func (t *Target) Crash() {
	t.mu.Lock()
	server := t.server
	t.server = nil
	t.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// Up tells whether the target runs, which it does not between Crash and Restart.
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

// Close stops the stand-in.
func (t *Target) Close() {
	t.Crash()
	t.client.CloseIdleConnections()
}

// Ran returns how often a user request ran here.
func (t *Target) Ran(request string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ran[request]
}

// RanKey returns how often a request with an idempotency key ran here.
func (t *Target) RanKey(key string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.keys[key]
}

// Total returns the number of requests that ran.
func (t *Target) Total() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.total
}

// ServeHTTP runs one request: it waits for a slot, works, calls the services
// below through the node and answers.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	service, refusing, cut, egress := t.service, t.refusing, t.cutAfter, t.settings.Egress
	t.mu.Unlock()
	if refusing {
		t.seen(r, false)
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
	t.seen(r, true)
	busy := t.count(r)
	defer t.finish()
	pause(r, service)
	status := http.StatusOK
	for _, name := range t.settings.Calls {
		if below, reason := t.call(r, egress, name); below >= http.StatusBadRequest {
			// 429 or 503 would tell that this target itself is overloaded.
			status = http.StatusBadGateway
			w.Header().Set(HeaderBelow, fmt.Sprintf("%s %d %s", name, below, reason))
			break
		}
	}
	t.answer(w, r, status, busy, cut)
}

func (t *Target) seen(r *http.Request, ran bool) {
	if t.settings.Seen != nil {
		t.settings.Seen(r, ran)
	}
}

func (t *Target) count(r *http.Request) int {
	request, key := r.Header.Get(wire.HeaderRequest), r.Header.Get(wire.HeaderKey)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy++
	t.total++
	if len(t.ran) < ranMax {
		t.ran[request]++
		if key != "" {
			t.keys[key]++
		}
	}
	return t.busy
}

func (t *Target) finish() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy--
}

// HeaderBelow tells on a target's answer which of its own calls failed: the
// service, the status and the node's reason.
const HeaderBelow = "X-Failed-Below"

// call makes an outgoing call through the node and returns its status and the
// reason of a refusal. An answer that is not whole, or of another request, gives 502.
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
		below := answer.Header.Get(HeaderBelow)
		if below != "" {
			below = "/ " + below
		}
		return answer.StatusCode, answer.Header.Get(wire.HeaderReason) + below
	}
	if err := CheckBody(answer.Body, r.Header.Get(wire.HeaderRequest)); err != nil {
		return http.StatusBadGateway, "not whole"
	}
	return answer.StatusCode, ""
}

func (t *Target) answer(w http.ResponseWriter, r *http.Request, status, busy int, cut int64) {
	body := newPattern(t.settings.Name, r.Header.Get(wire.HeaderRequest), t.settings.AnswerBytes)
	w.Header().Set(wire.HeaderLoad, fmt.Sprintf("%d/%d", busy, t.settings.Slots))
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.FormatInt(body.left, 10))
	w.WriteHeader(status)
	if cut >= 0 && cut < body.left {
		_, _ = io.CopyN(w, body, cut)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.Copy(w, body)
}
