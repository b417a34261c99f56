package replay

import (
	"container/heap"

	"github.com/gypsumrail/gypsumrail/internal/lab/loads"
)

// event is something due at a point in virtual time.
type event struct {
	at       loads.Micros
	sequence uint64
	run      func()
}

// agenda orders events by time, and events of one time by the order in which
// they were added, so that a replay does not depend on the heap's layout.
type agenda struct {
	events   []event
	soon     []func() // due now, after what the heap holds for now
	sequence uint64
	now      loads.Micros
}

// Len, Less, Swap, Push and Pop implement heap.Interface.

func (a *agenda) Len() int { return len(a.events) }

func (a *agenda) Less(i, j int) bool {
	x, y := &a.events[i], &a.events[j]
	if x.at != y.at {
		return x.at < y.at
	}
	return x.sequence < y.sequence
}

func (a *agenda) Swap(i, j int) { a.events[i], a.events[j] = a.events[j], a.events[i] }

func (a *agenda) Push(x any) { a.events = append(a.events, x.(event)) }

func (a *agenda) Pop() any {
	last := len(a.events) - 1
	e := a.events[last]
	a.events[last] = event{}
	a.events = a.events[:last]
	return e
}

// after adds an event. Events without delay are half of all, so they go around
// the heap.
func (a *agenda) after(delay loads.Micros, run func()) {
	if delay <= 0 {
		a.soon = append(a.soon, run)
		return
	}
	a.sequence++
	heap.Push(a, event{a.now + delay, a.sequence, run})
}

// runUntil runs the events up to a point in time.
func (a *agenda) runUntil(end loads.Micros) {
	for {
		// All events of the heap for now were added before those that are due at once.
		for len(a.events) > 0 && a.events[0].at == a.now {
			heap.Pop(a).(event).run()
		}
		for i := 0; i < len(a.soon); i++ {
			a.soon[i]()
			a.soon[i] = nil
		}
		a.soon = a.soon[:0]
		if len(a.events) == 0 || a.events[0].at > end {
			return
		}
		a.now = a.events[0].at
	}
}
