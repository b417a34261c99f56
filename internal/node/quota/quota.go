// Package quota bounds the memory that all answers being held by a node take together,
// and decides which answer is given up at the bound.
//
// A bound for each answer alone does not protect the process: some forty endless
// answers at once fill a small machine. A fixed share for each target would leave most
// of the memory unused, because few targets send large answers at the same time. All
// answers therefore share one bound, and at the bound the longest unfinished answer of
// the target that holds most is given up. This is longest queue drop (Suter, Lakshman,
// Stiliadis, Choudhury: Buffer management schemes for supporting TCP in gigabit routers
// with per-flow queueing, IEEE JSAC 17(6), 1999). A target that sends without end pays
// for itself, and the short answers of its neighbors are complete before they could
// become the longest.
//
// Complete answers wait only for their callers to read them, and are never given up. If
// they take most of the memory, unfinished ones wait for them.
package quota

import (
	"slices"
	"strings"
	"sync"
)

// Quota is the bound for all answers of a node. It is safe for concurrent use.
type Quota struct {
	bound       int64 // for all answers
	answerBound int64 // for one

	mu       sync.Mutex
	reading  int64 // bytes of unfinished answers
	ready    int64 // bytes of complete answers
	opened   uint64
	givenUp  uint64
	sources  map[string]*source // those that have open holds
	released chan struct{}      // closed, and replaced, when bytes become free
}

// source is a target that sends answers.
type source struct {
	reading, ready int64
	holds          map[*Hold]struct{}
}

// Hold is the share of one answer. Its methods are safe for concurrent use.
type Hold struct {
	quota  *Quota
	source string
	abort  func()
	number uint64 // order of opening

	// The mutex of the quota guards these.
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
	// Wait means that complete answers take most of the memory. The caller should ask
	// again when the channel that comes with the verdict is closed.
	Wait
	// GivenUp means that the answer must be abandoned. Its bytes are released.
	GivenUp
)

// New returns a quota of this many bytes for all answers together, and for each of them.
func New(bound, answerBound int64) *Quota {
	return &Quota{bound: bound, answerBound: min(bound, answerBound), sources: make(map[string]*source), released: make(chan struct{})}
}

// Open returns an empty hold for an answer of a target. If the answer is given up in
// favor of others, abort is called once, without the quota's lock; it must end the
// reading of the answer. The caller must call Release in the end.
func (q *Quota) Open(target string, abort func()) *Hold {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.opened++
	h := &Hold{quota: q, source: target, abort: abort, number: q.opened}
	s := q.sources[target]
	if s == nil {
		s = &source{holds: make(map[*Hold]struct{})}
		q.sources[target] = s
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
	q.mu.Lock()
	defer q.mu.Unlock()
	if h.state == stateReading && h.bytes+n > q.answerBound {
		q.giveUp(h)
	}
	for h.state == stateReading && q.reading+q.ready+n > q.bound {
		if q.reading+n <= q.bound/2 {
			return Wait, q.released, victims
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

// longest returns the longest unfinished answer of the target whose unfinished answers
// take most bytes, as if those of h took n more. The caller holds the mutex.
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

// giveUp abandons an unfinished answer. The caller holds the mutex.
func (q *Quota) giveUp(h *Hold) {
	q.givenUp++
	q.leave(h, stateGivenUp)
}

// leave takes the bytes of an answer out of the sums. The caller holds the mutex.
func (q *Quota) leave(h *Hold, next state) {
	s := q.sources[h.source]
	if h.state == stateReady {
		q.ready -= h.bytes
		s.ready -= h.bytes
	} else {
		q.reading -= h.bytes
		s.reading -= h.bytes
	}
	delete(s.holds, h)
	if len(s.holds) == 0 && s.ready == 0 {
		delete(q.sources, h.source)
	}
	h.state = next
	close(q.released)
	q.released = make(chan struct{})
}

// Complete marks an answer as read to its end, so that it is not given up any more. It
// returns false if that has happened already.
func (h *Hold) Complete() bool {
	q := h.quota
	q.mu.Lock()
	defer q.mu.Unlock()
	if h.state != stateReading {
		return false
	}
	h.state = stateReady
	s := q.sources[h.source]
	delete(s.holds, h)
	s.reading -= h.bytes
	s.ready += h.bytes
	q.reading -= h.bytes
	q.ready += h.bytes
	return true
}

// Release frees the bytes of an answer that is written or dropped. Further calls do
// nothing. A nil hold stands for an answer too short to be counted.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	q := h.quota
	q.mu.Lock()
	defer q.mu.Unlock()
	if h.state == stateReading || h.state == stateReady {
		q.leave(h, stateReleased)
	}
}

// Usage is the memory that answers take, in bytes.
type Usage struct {
	Bound   int64
	Reading int64 // unfinished answers
	Ready   int64 // complete answers that are not written yet
	GivenUp uint64
	Targets []TargetUsage // the targets that take most, in that order
}

// TargetUsage is the part of one target.
type TargetUsage struct {
	Target         string
	Reading, Ready int64
}

// usageTargetsMax bounds the targets in a Usage.
const usageTargetsMax = 10

// Usage returns the memory in use.
func (q *Quota) Usage() Usage {
	q.mu.Lock()
	u := Usage{Bound: q.bound, Reading: q.reading, Ready: q.ready, GivenUp: q.givenUp}
	for name, s := range q.sources {
		u.Targets = append(u.Targets, TargetUsage{Target: name, Reading: s.reading, Ready: s.ready})
	}
	q.mu.Unlock()
	slices.SortFunc(u.Targets, func(a, b TargetUsage) int {
		if d := (b.Reading + b.Ready) - (a.Reading + a.Ready); d != 0 {
			return int(min(max(d, -1), 1))
		}
		return strings.Compare(a.Target, b.Target)
	})
	u.Targets = u.Targets[:min(len(u.Targets), usageTargetsMax)]
	return u
}
