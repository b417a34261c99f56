package limit

import "github.com/gypsumrail/gypsumrail"

// limitShares are the shares of the slots that Headroom tries as limits. A target
// that runs at full speed only below the last one needs Adaptive.
var limitShares = [...]float64{1, 0.94, 0.88, 0.82}

const (
	// timeWeight is the weight of one call in the EWMA of the time per call.
	timeWeight = 1.0 / 200
	// timeSamplesMin is the number of calls from which the time per call is used. The
	// mean of 200 exponentially distributed times has an error of about 7 %.
	timeSamplesMin = 200
	// settleFactor is the time after a change of the limit in which calls are ignored,
	// in multiples of the time per call. The first calls to end are the short ones,
	// and calls from before the change started at another concurrency.
	settleFactor = 3
	// trialTimeMax ends a trial in which the target is not full.
	trialTimeMax = 2 * gypsumrail.Second
	// The time between trials of one limit doubles from trialIntervalMin to
	// trialIntervalMax while they show no gain. A trial of a worse limit costs up to
	// a fifth of the capacity, on a target with few slots for half a second.
	trialIntervalMin = 4 * gypsumrail.Second
	trialIntervalMax = 16 * gypsumrail.Second
	// trialPause is the least time between the trials of any two limits.
	trialPause = gypsumrail.Second
	// gainMin is the ratio of throughputs above which the tried limit replaces the
	// best one. Smaller gains are within the noise of the times.
	gainMin = 1.05
)

// Headroom leaves some slots of the target free if that raises its throughput,
// because some targets slow down all calls when they are nearly full. By Little's
// law the throughput of a full target is limit / time per call, so Headroom
// compares the time per call at several limits. It starts at the ceiling and tries
// the other limits for short times while the target is full. It implements
// gypsumrail.Limiter and is not safe for concurrent use.
type Headroom struct {
	limits       [len(limitShares)]int
	times        [len(limitShares)]callTime
	current      int               // index of the limit in force
	best         int               // index of the limit outside trials
	currentSince gypsumrail.Millis // when the limit in force was set
	nextTrialAt  gypsumrail.Millis // earliest start of the next trial
}

// callTime is the EWMA of the time per call at one limit, in milliseconds, without
// waiting for outgoing calls.
type callTime struct {
	mean        float64
	calls       int
	lastTrialAt gypsumrail.Millis // end of the last trial; unused while interval is 0
	interval    gypsumrail.Millis // least time to the next trial; 0 if none since the best limit changed
}

var _ gypsumrail.Limiter = (*Headroom)(nil)

// NewHeadroom returns a limiter with the default ceiling of 1024 slots.
func NewHeadroom() *Headroom {
	h := &Headroom{}
	h.SetCeiling(Settings{}.withDefaults().Ceiling)
	return h
}

// Limit returns the number of calls that may be in flight, from 1 to the ceiling.
func (h *Headroom) Limit() int { return h.limits[h.current] }

// SetCeiling sets the slots of the target. Values below 1 count as 1. A changed
// ceiling discards everything that was measured before.
func (h *Headroom) SetCeiling(slots int) {
	slots = max(1, slots)
	if h.limits[0] == slots {
		return
	}
	*h = Headroom{}
	for i, share := range limitShares {
		h.limits[i] = max(1, int(share*float64(slots)))
	}
}

// Reported does nothing, because the records state the slots.
func (h *Headroom) Reported(gypsumrail.Millis, int) {}

// Completed records the result of one call, and starts and ends trials.
func (h *Headroom) Completed(now gypsumrail.Millis, sample gypsumrail.Sample) {
	if h.current != h.best && now-h.currentSince >= trialTimeMax {
		h.endTrial(now)
	}
	if sample.Failed || sample.Refused || !h.isFull(sample.InFlight) || now-h.currentSince < h.settleTime() {
		return
	}
	t := &h.times[h.current]
	t.add(float64(sample.Self))
	switch {
	case t.calls < timeSamplesMin:
	case h.current != h.best:
		h.endTrial(now)
	case now >= h.nextTrialAt:
		h.startTrial(now)
	}
}

// isFull reports whether a call started in the last or the last but one slot of the
// limit in force.
func (h *Headroom) isFull(inFlight int) bool {
	limit := h.limits[h.current]
	return inFlight <= limit && inFlight >= limit-1
}

// settleTime returns how long calls are ignored after a change of the limit.
func (h *Headroom) settleTime() gypsumrail.Millis {
	return gypsumrail.Millis(settleFactor * h.times[h.best].mean)
}

// add records the time of one call.
func (t *callTime) add(sample float64) {
	t.calls++
	weight := max(timeWeight, 1/float64(t.calls))
	t.mean += (sample - t.mean) * weight
}

// startTrial sets the limit whose last trial is the oldest, if one is due. All
// limits are tried, because the target may still be slow at the next lower one.
func (h *Headroom) startTrial(now gypsumrail.Millis) {
	next := -1
	for i := range h.limits {
		if h.limits[i] == h.limits[h.best] {
			continue
		}
		t := &h.times[i]
		if t.interval > 0 && now-t.lastTrialAt < t.interval {
			continue
		}
		if next < 0 || t.lastTrialAt < h.times[next].lastTrialAt {
			next = i
		}
	}
	if next < 0 {
		return
	}
	h.times[next].mean, h.times[next].calls = 0, 0
	h.current, h.currentSince = next, now
}

// endTrial compares the throughput at the tried limit with that at the best one, and
// sets the better limit.
func (h *Headroom) endTrial(now gypsumrail.Millis) {
	t := &h.times[h.current]
	t.lastTrialAt, t.interval = now, min(max(2*t.interval, trialIntervalMin), trialIntervalMax)
	if h.throughput(h.current) > h.throughput(h.best)*gainMin {
		h.best = h.current
		for i := range h.times {
			h.times[i].interval = 0
		}
	}
	if h.current != h.best {
		h.current, h.currentSince = h.best, now
	}
	h.nextTrialAt = now + trialPause
}

// throughput returns the calls per millisecond of the full target at a limit, or 0
// if there are too few samples.
func (h *Headroom) throughput(i int) float64 {
	t := &h.times[i]
	if t.calls < timeSamplesMin || t.mean <= 0 {
		return 0
	}
	return float64(h.limits[i]) / t.mean
}
