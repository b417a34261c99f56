package limit

import "github.com/gypsumrail/gypsumrail"

// headroomShares are the shares of the slots that Headroom tries as limits. A
// target that slows down only below the last one needs Adaptive.
var headroomShares = [...]float64{1, 0.94, 0.88, 0.82}

const (
	// timeFresh is the weight of one call in the time per call at a limit.
	timeFresh = 1.0 / 200
	// timeSamples is the number of calls from which a time counts. With exponential
	// times the mean of 200 calls is off by about 7 %.
	timeSamples = 200
	// settleTimes is how many times per call pass after a change of the limit before
	// calls count: the first to end are the short ones, and calls from before
	// started at another concurrency.
	settleTimes = 3
	// trialMost ends a trial during which the target is not full.
	trialMost = 2 * gypsumrail.Second
	// The time between trials of one limit doubles from trialWait to trialWaitMost
	// while they show no gain. A trial of a worse limit costs up to a fifth of the
	// capacity, on a target with few slots for half a second.
	trialWait     = 4 * gypsumrail.Second
	trialWaitMost = 16 * gypsumrail.Second
	// trialPause is the time between two trials.
	trialPause = gypsumrail.Second
	// yieldGain is the gain in throughput from which another limit is taken, beyond
	// the noise of the times.
	yieldGain = 1.05
)

// Headroom leaves some slots of the target free if it completes more that way:
// some targets slow down all calls when they are nearly full. By Little's law a
// full target completes limit / time per call, so the time per call at the limits
// tells the best one. It starts at the ceiling and tries the other limits for
// short times while the target is full. It implements gypsumrail.Limiter and is
// not safe for concurrent use.
type Headroom struct {
	limits  [len(headroomShares)]int
	times   [len(headroomShares)]callTime
	now     int               // index of the limit in force
	best    int               // index of the limit outside trials
	since   gypsumrail.Millis // when the limit in force was set
	trialAt gypsumrail.Millis // of the next trial
}

// callTime is the smoothed time per call at one limit.
type callTime struct {
	mean  float64
	calls int
	tried gypsumrail.Millis // end of the last trial; meaningless without a wait
	wait  gypsumrail.Millis // until the next trial; 0 if there was none
}

var _ gypsumrail.Limiter = (*Headroom)(nil)

// NewHeadroom returns a limit of a target of which nothing is known.
func NewHeadroom() *Headroom {
	h := &Headroom{}
	h.SetCeiling(Settings{}.withDefaults().Ceiling)
	return h
}

// Limit returns the number of calls that may run at once.
func (h *Headroom) Limit() int { return h.limits[h.now] }

// SetCeiling sets the slots of the target. What was learned of others is dropped.
func (h *Headroom) SetCeiling(slots int) {
	slots = max(1, slots)
	if h.limits[0] == slots {
		return
	}
	*h = Headroom{}
	for i, share := range headroomShares {
		h.limits[i] = max(1, int(share*float64(slots)))
	}
}

// Reported does nothing: the records state the slots.
func (h *Headroom) Reported(gypsumrail.Millis, int) {}

// Completed takes the result of one run.
func (h *Headroom) Completed(now gypsumrail.Millis, sample gypsumrail.Sample) {
	if h.now != h.best && now-h.since >= trialMost {
		h.endTrial(now)
	}
	if sample.Failed || sample.Refused || !h.isFull(sample.InFlight) || now-h.since < h.settle() {
		return
	}
	t := &h.times[h.now]
	t.add(float64(sample.Self))
	switch {
	case t.calls < timeSamples:
	case h.now != h.best:
		h.endTrial(now)
	case now >= h.trialAt:
		h.startTrial(now)
	}
}

// isFull tells whether a call took the last slot but one of the limit in force, or
// the last one.
func (h *Headroom) isFull(inFlight int) bool {
	limit := h.limits[h.now]
	return inFlight <= limit && inFlight >= limit-1
}

// settle returns how long after a change of the limit calls do not count.
func (h *Headroom) settle() gypsumrail.Millis {
	return gypsumrail.Millis(settleTimes * h.times[h.best].mean)
}

func (t *callTime) add(sample float64) {
	t.calls++
	weight := max(timeFresh, 1/float64(t.calls))
	t.mean += (sample - t.mean) * weight
}

// startTrial puts the limit in force that was tried longest ago. All are tried, as
// the next lower one may still be within the slow part.
func (h *Headroom) startTrial(now gypsumrail.Millis) {
	next := -1
	for i := range h.limits {
		if h.limits[i] == h.limits[h.best] {
			continue
		}
		t := &h.times[i]
		if t.wait > 0 && now-t.tried < t.wait {
			continue
		}
		if next < 0 || t.tried < h.times[next].tried {
			next = i
		}
	}
	if next < 0 {
		return
	}
	h.times[next].mean, h.times[next].calls = 0, 0
	h.now, h.since = next, now
}

// endTrial takes the better of the limit that was tried and the best one so far.
func (h *Headroom) endTrial(now gypsumrail.Millis) {
	t := &h.times[h.now]
	t.tried, t.wait = now, min(max(2*t.wait, trialWait), trialWaitMost)
	if h.yield(h.now) > h.yield(h.best)*yieldGain {
		h.best = h.now
		for i := range h.times {
			h.times[i].wait = 0
		}
	}
	if h.now != h.best {
		h.now, h.since = h.best, now
	}
	h.trialAt = now + trialPause
}

// yield returns the calls per time unit at a limit, or 0 if that is not known.
func (h *Headroom) yield(i int) float64 {
	t := &h.times[i]
	if t.calls < timeSamples || t.mean <= 0 {
		return 0
	}
	return float64(h.limits[i]) / t.mean
}
