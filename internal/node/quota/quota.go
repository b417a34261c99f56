// Package quota bounds the memory that all bodies being held by a node take together, and
// decides which body is given up at the bound.
//
// A bound for each body alone does not protect the process: some forty endless answers
// at once fill a small machine. A fixed share for each target would leave most of the
// memory unused, because few targets send large answers at the same time. All answers
// therefore share one bound, and at the bound the longest unfinished answer of the target
// that holds most is given up. This is longest queue drop (Suter, Lakshman, Stiliadis,
// Choudhury: Buffer management schemes for supporting TCP in gigabit routers with per-flow
// queueing, IEEE JSAC 17(6), 1999). A target that sends without end pays for itself, and
// the short answers of its neighbors are complete before they could become the longest.
// The bodies of requests are bounded in the same way, with the side that sends them in
// place of the target.
//
// Answers and requests have a quota each, because giving up an answer wastes a run and
// refusing a request does not, and share a Total. A quota may take what the other leaves
// free, up to its own bound, so it never pushes out what the other holds. What the bounds
// leave of the total is always there for the other.
//
// Complete answers wait only for their callers to read them, and are never given up. If
// they take most of the memory, unfinished ones wait for them. Complete requests are never
// given up either.
package quota

import (
	"slices"
	"strings"
	"sync"
)

// Total is the bound for the bodies of all quotas together. It is safe for concurrent use.
type Total struct {
	bound int64

	mu       sync.Mutex // also guards the quotas and their holds
	quotas   []*Quota
	released chan struct{} // closed, and replaced, when bytes become free
}

// NewTotal returns a total of this many bytes, without quotas.
func NewTotal(bound int64) *Total { return &Total{bound: bound, released: make(chan struct{})} }

// Bounds are those of one quota, in bytes.
type Bounds struct {
	Max int64 // for all its bodies
	One int64 // for one body
	// Waits means that unfinished bodies wait while complete ones take most of the quota. If
	// it is not set, one of them is given up.
	Waits bool
}

// Quota is the bound for one kind of body. It is safe for concurrent use.
type Quota struct {
	total  *Total
	bounds Bounds

	// The mutex of the total guards these.
	reading int64 // bytes of unfinished bodies
	ready   int64 // bytes of complete bodies
	opened  uint64
	givenUp uint64
	sources map[string]*source // those that have open holds
}

// source is a target that sends answers, or a side that sends requests.
type source struct {
	reading, ready int64
	holds          map[*Hold]struct{} // of unfinished bodies
	complete       int                // number of complete bodies
}

// Hold is the share of one body. Its methods are safe for concurrent use.
type Hold struct {
	quota  *Quota
	source string
	abort  func()
	number uint64 // order of opening

	// The mutex of the total guards these.
	state state
	bytes int64
}

// state of a hold.
type state int

const (
	stateReading state = iota
	stateReady
	stateGivenUp
	stateReleased
)

// Verdict is the result of a request for more bytes.
type Verdict int

const (
	// Granted means that the bytes are reserved.
	Granted Verdict = iota
	// Wait means that complete bodies take most of the memory. The caller should ask
	// again when the channel that comes with the verdict is closed.
	Wait
	// GivenUp means that the body must be abandoned. Its bytes are released.
	GivenUp
)

// NewQuota adds a quota to the total. All must be added before the first is used.
func (t *Total) NewQuota(bounds Bounds) *Quota {
	bounds.One = min(bounds.Max, bounds.One)
	q := &Quota{total: t, bounds: bounds, sources: make(map[string]*source)}
	t.quotas = append(t.quotas, q)
	return q
}

// limit returns what the bodies of the quota may take together. The caller holds the mutex.
func (q *Quota) limit() int64 {
	free := q.total.bound
	for _, other := range q.total.quotas {
		if other != q {
			free -= other.reading + other.ready
		}
	}
	return min(q.bounds.Max, free)
}

// Admits reports whether a body of n bytes fits beside the complete ones.
func (q *Quota) Admits(n int64) bool {
	q.total.mu.Lock()
	defer q.total.mu.Unlock()
	return n <= q.bounds.One && q.ready+n <= q.limit()
}

// Open returns an empty hold for a body that a source sends. If the body is given up in
// favor of others, abort is called once, without the quota's lock; it must end the
// reading of the body. The caller must call Release in the end.
func (q *Quota) Open(from string, abort func()) *Hold {
	q.total.mu.Lock()
	defer q.total.mu.Unlock()
	q.opened++
	h := &Hold{quota: q, source: from, abort: abort, number: q.opened}
	s := q.sources[from]
	if s == nil {
		s = &source{holds: make(map[*Hold]struct{})}
		q.sources[from] = s
	}
	s.holds[h] = struct{}{}
	return h
}

// Reserve asks for n more bytes. The channel is nil unless the verdict is Wait.
func (h *Hold) Reserve(n int64) (Verdict, <-chan struct{}) {
	verdict, released, victims := h.reserve(n)
	for _, victim := range victims {
		victim.abort()
	}
	return verdict, released
}

func (h *Hold) reserve(n int64) (_ Verdict, _ <-chan struct{}, victims []*Hold) {
	q := h.quota
	q.total.mu.Lock()
	defer q.total.mu.Unlock()
	if h.state == stateReading && h.bytes+n > q.bounds.One {
		q.giveUp(h)
	}
	limit := q.limit()
	for h.state == stateReading && q.reading+q.ready+n > limit {
		if q.bounds.Waits && q.reading+n <= limit/2 {
			return Wait, q.total.released, victims
		}
		victim := q.longest(h, n)
		q.giveUp(victim)
		if victim != h {
			victims = append(victims, victim)
		}
	}
	if h.state != stateReading {
		return GivenUp, nil, victims
	}
	h.bytes += n
	q.reading += n
	q.sources[h.source].reading += n
	return Granted, nil, victims
}

// longest returns the longest unfinished body of the source whose unfinished bodies take
// most bytes, as if those of h took n more. The caller holds the mutex.
func (q *Quota) longest(h *Hold, n int64) *Hold {
	heaviest, most := h.source, q.sources[h.source].reading+n
	for name, s := range q.sources {
		if name != h.source && (s.reading > most || s.reading == most && name < heaviest) {
			heaviest, most = name, s.reading
		}
	}
	longest, most := (*Hold)(nil), int64(0)
	for hold := range q.sources[heaviest].holds {
		bytes := hold.bytes
		if hold == h {
			bytes += n
		}
		if longest == nil || bytes > most || bytes == most && hold.number < longest.number {
			longest, most = hold, bytes
		}
	}
	return longest
}

// giveUp abandons an unfinished body. The caller holds the mutex.
func (q *Quota) giveUp(h *Hold) {
	q.givenUp++
	q.leave(h, stateGivenUp)
}

// leave takes the bytes of a body out of the sums. The caller holds the mutex.
func (q *Quota) leave(h *Hold, next state) {
	s := q.sources[h.source]
	if h.state == stateReady {
		q.ready -= h.bytes
		s.ready -= h.bytes
		s.complete--
	} else {
		q.reading -= h.bytes
		s.reading -= h.bytes
	}
	delete(s.holds, h)
	if len(s.holds) == 0 && s.complete == 0 {
		delete(q.sources, h.source)
	}
	h.state = next
	close(q.total.released)
	q.total.released = make(chan struct{})
}

// Complete marks a body as read to its end, so that it is not given up any more. It
// returns false if that has happened already.
func (h *Hold) Complete() bool {
	q := h.quota
	q.total.mu.Lock()
	defer q.total.mu.Unlock()
	if h.state != stateReading {
		return false
	}
	h.state = stateReady
	s := q.sources[h.source]
	delete(s.holds, h)
	s.complete++
	s.reading -= h.bytes
	s.ready += h.bytes
	q.reading -= h.bytes
	q.ready += h.bytes
	return true
}

// Release frees the bytes of a body that is no longer needed. Further calls do nothing. A
// nil hold stands for a body too short to be counted.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	q := h.quota
	q.total.mu.Lock()
	defer q.total.mu.Unlock()
	if h.state == stateReading || h.state == stateReady {
		q.leave(h, stateReleased)
	}
}

// Usage is the memory that the bodies of a quota take, in bytes.
type Usage struct {
	Bound   int64
	Reading int64 // unfinished bodies
	Ready   int64 // complete bodies that are still needed
	GivenUp uint64
	Targets []TargetUsage // the sources that take most, in that order
}

// TargetUsage is the part of one source.
type TargetUsage struct {
	Target         string
	Reading, Ready int64
}

// usageTargetsMax bounds the targets in a Usage.
const usageTargetsMax = 10

// Usage returns the memory in use.
func (q *Quota) Usage() Usage {
	q.total.mu.Lock()
	u := Usage{Bound: q.bounds.Max, Reading: q.reading, Ready: q.ready, GivenUp: q.givenUp}
	for name, s := range q.sources {
		u.Targets = append(u.Targets, TargetUsage{Target: name, Reading: s.reading, Ready: s.ready})
	}
	q.total.mu.Unlock()
	slices.SortFunc(u.Targets, func(a, b TargetUsage) int {
		if d := (b.Reading + b.Ready) - (a.Reading + a.Ready); d != 0 {
			return int(min(max(d, -1), 1))
		}
		return strings.Compare(a.Target, b.Target)
	})
	u.Targets = u.Targets[:min(len(u.Targets), usageTargetsMax)]
	return u
}
