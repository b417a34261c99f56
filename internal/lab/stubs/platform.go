package stubs

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gypsumrail/gypsumrail"
)

// revisionsKept is how many revisions of a value can be served as stale.
const revisionsKept = 32

// waitMax bounds a watch, as the real platform does.
const waitMax = time.Minute

type published struct {
	revision gypsumrail.Revision
	content  []byte
}

// Platform is a stand-in for the configuration service: it can be read and
// watched, and only its owner publishes. It is safe for concurrent use.
type Platform struct {
	server  *http.Server
	address string

	mu      sync.Mutex
	values  map[gypsumrail.ValueName][]published // ascending
	changed chan struct{}                        // closed and replaced on every change
	down    bool
	behind  int
	delay   time.Duration
	calls   int
	pending int
	peak    int
}

// NewPlatform starts a stand-in; an empty address takes a free loopback port.
func NewPlatform(address string) (*Platform, error) {
	l, err := listen(address)
	if err != nil {
		return nil, err
	}
	p := &Platform{
		address: l.Addr().String(),
		values:  make(map[gypsumrail.ValueName][]published),
		changed: make(chan struct{}),
	}
	p.server = serve(l, p)
	return p, nil
}

// Address returns the IP address and port.
func (p *Platform) Address() string { return p.address }

// Close stops the stand-in and its open calls.
func (p *Platform) Close() { _ = p.server.Close() }

// Publish makes content the next revision of a value and returns the revision.
// The first is 1.
func (p *Platform) Publish(name gypsumrail.ValueName, content []byte) gypsumrail.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.values[name]
	next := published{revision: 1, content: append([]byte(nil), content...)}
	if len(list) > 0 {
		next.revision = list[len(list)-1].revision + 1
	}
	if len(list) == revisionsKept {
		list = list[1:]
	}
	p.values[name] = append(list, next)
	p.wake()
	return next.revision
}

func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetDown makes every call fail with a closed connection.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.wake()
}

// SetStale makes the platform serve each value as it was the given number of
// revisions ago, or its oldest one.
func (p *Platform) SetStale(revisions int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.behind = revisions
	p.wake()
}

// SetSlow delays every answer.
func (p *Platform) SetSlow(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// Calls returns the calls so far, and the most that were pending at once.
func (p *Platform) Calls() (total, peakPending int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls, p.peak
}

func (p *Platform) current(name gypsumrail.ValueName) (published, bool) {
	list := p.values[name]
	if len(list) == 0 {
		return published{}, false
	}
	return list[max(0, len(list)-1-p.behind)], true
}

// ServeHTTP answers GET /values/{Name}?After=R&Wait=ms.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name, ok := strings.CutPrefix(r.URL.Path, "/values/")
	if !ok || r.Method != http.MethodGet {
		http.NotFound(w, r)
		return
	}
	after, errAfter := strconv.ParseUint(orZero(r.URL.Query().Get("After")), 10, 64)
	wait, errWait := strconv.ParseUint(orZero(r.URL.Query().Get("Wait")), 10, 31)
	if errAfter != nil || errWait != nil {
		http.Error(w, "After and Wait must be whole numbers", http.StatusBadRequest)
		return
	}
	p.enter()
	defer p.exit()
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, waitMax))
	defer timer.Stop()
	for expired := wait == 0; ; {
		p.mu.Lock()
		value, found := p.current(gypsumrail.ValueName(name))
		down, delay, changed := p.down, p.delay, p.changed
		p.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		fresh := found && uint64(value.revision) > after
		if fresh || expired {
			pause(r, delay)
			answer(w, value, fresh)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func answer(w http.ResponseWriter, value published, fresh bool) {
	if !fresh {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Revision", strconv.FormatUint(uint64(value.revision), 10))
	w.Header().Set("Content-Length", strconv.Itoa(len(value.content)))
	_, _ = w.Write(value.content)
}

func (p *Platform) enter() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	p.pending++
	p.peak = max(p.peak, p.pending)
}

func (p *Platform) exit() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending--
}

func orZero(s string) string {
	if s == "" {
		return "0"
	}
	return s
}

// pause waits, or returns early if the request is canceled.
func pause(r *http.Request, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
	}
}
