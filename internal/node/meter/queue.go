package meter

import "github.com/gypsumrail/gypsumrail"

// timedQueue measures how long calls waited that started.
type timedQueue struct {
	gypsumrail.Queue
	meter *Meter
}

// Queue returns the queue with the delays of the calls that leave it for a slot
// going to the meter. Like the queue it is not safe for concurrent use.
func (m *Meter) Queue(queue gypsumrail.Queue) gypsumrail.Queue { return timedQueue{queue, m} }

// Pop removes the call that runs next.
func (q timedQueue) Pop(now gypsumrail.Millis, atLeast gypsumrail.Level) (gypsumrail.Waiting, bool) {
	call, ok := q.Queue.Pop(now, atLeast)
	if ok {
		q.meter.queueDelay.Update((now - call.Arrived).Duration().Seconds())
	}
	return call, ok
}
