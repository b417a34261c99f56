package stubs

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gypsumrail/gypsumrail"
)

// storedRevisionsMax is how many revisions of a value the stub stores for SetStale.
const storedRevisionsMax = 32

// watchWaitMax bounds the wait of a watch, as on the real platform.
const watchWaitMax = time.Minute

type storedRevision struct {
	revision gypsumrail.Revision
	content  []byte
}

// Platform is a stub of the configuration service. Nodes read and watch its values
// over HTTP; only the method Publish changes them. It is safe for concurrent use.
type Platform struct {
	server  *http.Server
	address string

	mu             sync.Mutex
	values         map[gypsumrail.ValueName][]storedRevision // ascending by revision
	changed        chan struct{}                             // closed and replaced on every change
	down           bool
	staleRevisions int
	delay          time.Duration
	calls          int
	pending        int
	pendingPeak    int
}

// NewPlatform starts a platform; an empty address means a free loopback port.
func NewPlatform(address string) (*Platform, error) {
	l, err := listen(address)
	if err != nil {
		return nil, err
	}
	p := &Platform{
		address: l.Addr().String(),
		values:  make(map[gypsumrail.ValueName][]storedRevision),
		changed: make(chan struct{}),
	}
	p.server = serve(l, p)
	return p, nil
}

// Address returns the IP address and port that the platform listens on.
func (p *Platform) Address() string { return p.address }

// Close stops the platform and aborts open calls.
func (p *Platform) Close() { _ = p.server.Close() }

// Publish makes content the next revision of a value and returns the revision.
// The first is 1.
func (p *Platform) Publish(name gypsumrail.ValueName, content []byte) gypsumrail.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.values[name]
	next := storedRevision{revision: 1, content: append([]byte(nil), content...)}
	if len(list) > 0 {
		next.revision = list[len(list)-1].revision + 1
	}
	if len(list) == storedRevisionsMax {
		list = list[1:]
	}
	p.values[name] = append(list, next)
	p.notifyWatchers()
	return next.revision
}

func (p *Platform) notifyWatchers() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetDown makes the platform abort every call, including open watches, by closing
// its connection.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.notifyWatchers()
}

// SetStale makes the platform serve an older revision of each value: the given
// number behind the newest, or the oldest that is stored. Zero ends it.
func (p *Platform) SetStale(revisions int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.staleRevisions = revisions
	p.notifyWatchers()
}

// SetDelay makes the platform wait before each answer. Zero ends the delay.
func (p *Platform) SetDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// Calls returns the number of calls so far and the most that were pending at once.
func (p *Platform) Calls() (total, peakPending int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls, p.pendingPeak
}

func (p *Platform) current(name gypsumrail.ValueName) (storedRevision, bool) {
	list := p.values[name]
	if len(list) == 0 {
		return storedRevision{}, false
	}
	return list[max(0, len(list)-1-p.staleRevisions)], true
}

// ServeHTTP answers GET /values/{Name}?After=R&Wait=ms with the current revision, or
// with status 204 if no revision above R is published within the wait.
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
	p.beginCall()
	defer p.endCall()
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, watchWaitMax))
	defer timer.Stop()
	for expired := wait == 0; ; {
		p.mu.Lock()
		value, found := p.current(gypsumrail.ValueName(name))
		down, delay, changed := p.down, p.delay, p.changed
		p.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		newer := found && uint64(value.revision) > after
		if newer || expired {
			pause(r, delay)
			answer(w, value, newer)
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

func answer(w http.ResponseWriter, value storedRevision, newer bool) {
	if !newer {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Revision", strconv.FormatUint(uint64(value.revision), 10))
	w.Header().Set("Content-Length", strconv.Itoa(len(value.content)))
	_, _ = w.Write(value.content)
}

func (p *Platform) beginCall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	p.pending++
	p.pendingPeak = max(p.pendingPeak, p.pending)
}

func (p *Platform) endCall() {
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

// pause waits for d. It returns early if the request is canceled.
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
