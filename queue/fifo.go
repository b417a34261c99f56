package queue

import (
	"slices"

	"github.com/gypsumrail/gypsumrail"
)

// FIFO is a bounded queue in order of arrival. A full queue rejects new calls.
// It is the baseline that Priority is compared with, so it is simple rather than
// fast: Expire and Remove take O(n). It implements gypsumrail.Queue and is not
// safe for concurrent use.
type FIFO struct {
	settings Settings
	calls    []gypsumrail.Waiting
	delay    minDelay
}

// NewFIFO returns an empty queue.
func NewFIFO(settings Settings) *FIFO {
	settings = settings.withDefaults()
	return &FIFO{settings: settings, delay: newMinDelay(settings.Window)}
}

// Push adds a call. If the queue is full, the new call itself is returned as evicted.
func (q *FIFO) Push(_ gypsumrail.Millis, call gypsumrail.Waiting) (evicted gypsumrail.Waiting, full bool) {
	if len(q.calls) >= q.settings.Capacity {
		return call, true
	}
	q.calls = append(q.calls, call)
	return gypsumrail.Waiting{}, false
}

// Pop removes and returns the oldest call at or above the given level.
func (q *FIFO) Pop(now gypsumrail.Millis, atLeast gypsumrail.Level) (gypsumrail.Waiting, bool) {
	for i, call := range q.calls {
		if call.Level >= atLeast {
			q.delay.add(now, now-call.Arrived)
			q.calls = slices.Delete(q.calls, i, i+1)
			return call, true
		}
	}
	return gypsumrail.Waiting{}, false
}

// Expire removes the calls whose deadline is less than need away and appends
// them to dst.
func (q *FIFO) Expire(now, need gypsumrail.Millis, dst []gypsumrail.Waiting) []gypsumrail.Waiting {
	q.calls = slices.DeleteFunc(q.calls, func(call gypsumrail.Waiting) bool {
		if call.Deadline-now >= need {
			return false
		}
		q.delay.add(now, now-call.Arrived)
		dst = append(dst, call)
		return true
	})
	return dst
}

// DropBelow removes the calls below the given importance and appends them to dst.
func (q *FIFO) DropBelow(importance gypsumrail.Importance, dst []gypsumrail.Waiting) []gypsumrail.Waiting {
	q.calls = slices.DeleteFunc(q.calls, func(call gypsumrail.Waiting) bool {
		if call.Level >= gypsumrail.Level(importance)*gypsumrail.LevelsPerImportance {
			return false
		}
		dst = append(dst, call)
		return true
	})
	return dst
}

// Remove removes a call and reports whether it was queued.
func (q *FIFO) Remove(call gypsumrail.CallID) bool {
	i := slices.IndexFunc(q.calls, func(queued gypsumrail.Waiting) bool { return queued.Call == call })
	if i < 0 {
		return false
	}
	q.calls = slices.Delete(q.calls, i, i+1)
	return true
}

// Ahead returns the number of queued calls, since all of them run before a new call.
func (q *FIFO) Ahead(gypsumrail.Level) int { return len(q.calls) }

// MinDelay returns the smallest delay of the calls that Pop or Expire removed in
// the last window. If there are none, it returns the age of the oldest queued
// call, or 0 if the queue is empty.
func (q *FIFO) MinDelay(now gypsumrail.Millis) gypsumrail.Millis {
	if delay, found := q.delay.smallest(now); found {
		return delay
	}
	if len(q.calls) == 0 {
		return 0
	}
	return now - q.calls[0].Arrived
}

// Len returns the number of queued calls.
func (q *FIFO) Len() int { return len(q.calls) }

// Walk calls visit for each queued call in order of arrival.
func (q *FIFO) Walk(visit func(call *gypsumrail.Waiting)) {
	for i := range q.calls {
		visit(&q.calls[i])
	}
}
