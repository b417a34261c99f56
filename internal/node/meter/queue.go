package meter

import "github.com/gypsumrail/gypsumrail"

// timedQueue measures the time that a call waits until it gets a slot.
type timedQueue struct {
	gypsumrail.Queue
	meter *Meter
}

// Queue wraps a queue so that Pop records the queue delay of each call. Like the
// wrapped queue it is not safe for concurrent use.
func (m *Meter) Queue(queue gypsumrail.Queue) gypsumrail.Queue { return timedQueue{queue, m} }

// Pop removes and returns the call that runs next and records its queue delay.
func (q timedQueue) Pop(now gypsumrail.Millis, atLeast gypsumrail.Level) (gypsumrail.Waiting, bool) {
	call, ok := q.Queue.Pop(now, atLeast)
	if ok {
		q.meter.queueDelay.Update((now - call.Arrived).Duration().Seconds())
	}
	return call, ok
}
