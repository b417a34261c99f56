package replay

import (
	"container/heap"

	"github.com/gypsumrail/gypsumrail/internal/lab/loads"
)

// scheduledEvent is a function that runs at a point in virtual time.
type scheduledEvent struct {
	at       loads.Micros
	sequence uint64
	run      func()
}

// eventQueue runs events in the order of their time. Events of the same time run
// in the order in which they were added, so a replay does not depend on the
// layout of the heap.
type eventQueue struct {
	events    []scheduledEvent
	immediate []func() // events without delay; they run after the heap's events that are due at the time now
	sequence  uint64
	now       loads.Micros
}

// Len, Less, Swap, Push and Pop implement heap.Interface.

func (q *eventQueue) Len() int { return len(q.events) }

func (q *eventQueue) Less(i, j int) bool {
	x, y := &q.events[i], &q.events[j]
	if x.at != y.at {
		return x.at < y.at
	}
	return x.sequence < y.sequence
}

func (q *eventQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }

func (q *eventQueue) Push(x any) { q.events = append(q.events, x.(scheduledEvent)) }

func (q *eventQueue) Pop() any {
	last := len(q.events) - 1
	e := q.events[last]
	q.events[last] = scheduledEvent{}
	q.events = q.events[:last]
	return e
}

// after adds an event. Half of all events have no delay, so those bypass the heap.
func (q *eventQueue) after(delay loads.Micros, run func()) {
	if delay <= 0 {
		q.immediate = append(q.immediate, run)
		return
	}
	q.sequence++
	heap.Push(q, scheduledEvent{q.now + delay, q.sequence, run})
}

// runUntil runs all events up to and including a point in time.
func (q *eventQueue) runUntil(end loads.Micros) {
	for {
		// Events of the heap that are due at the time now were added at an earlier
		// time, so they run before the immediate ones.
		for len(q.events) > 0 && q.events[0].at == q.now {
			heap.Pop(q).(scheduledEvent).run()
		}
		for i := 0; i < len(q.immediate); i++ {
			q.immediate[i]()
			q.immediate[i] = nil
		}
		q.immediate = q.immediate[:0]
		if len(q.events) == 0 || q.events[0].at > end {
			return
		}
		q.now = q.events[0].at
	}
}
