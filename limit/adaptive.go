package limit

import (
	"math"

	"github.com/gypsumrail/gypsumrail"
)

const (
	// probeFactor is the ratio between the two limits of a probe. The rates of two
	// windows of 250 calls with exponential times differ by chance by 9 % (one
	// standard deviation). The 26 % that a cut needs are rarely reached by chance.
	probeFactor = 2
	// kneeMargin is the ratio of the new limit to the estimated knee. A limit below the
	// knee loses throughput, one above it only adds some waiting inside the target.
	kneeMargin = 1.15
	// cutRatioMax is the ratio of new to old limit from which a probe downwards
	// changes nothing. Smaller differences are within the noise.
	cutRatioMax = 0.85
	// raiseRatioMin is the ratio of knee to limit from which a probe upwards raises the
	// limit.
	raiseRatioMin = 1.25
	// raiseSampleShare is the share of Settings.Samples that a probe upwards needs. A
	// wrong raise is detected, because calls become slower, and costs no throughput.
	raiseSampleShare = 0.4
	// slowRatio is the ratio of the time per call to the confirmed one above which
	// the limit must be confirmed again.
	slowRatio = 1.6
	// selfTimeWeight is the weight of the last window in the EWMA of the time per call.
	selfTimeWeight = 0.3
	// errorShareMax is the share of refused or failed calls above which the limit
	// shrinks.
	errorShareMax = 0.05
	// fullShare is the share of the limit that must be in flight for a measurement to
	// say anything about the limit.
	fullShare = 0.8
	// cutSamplesMin is the number of completions in a measurement from which a probe
	// downwards may follow. A target that completes fewer in ten windows would run at
	// half of its limit for seconds, and the rates of so few calls differ by chance.
	cutSamplesMin = 100
	// samplesMin is the least number of completions of a measurement.
	samplesMin = 20
	// settleLatencies is the time between a change of the limit and the next window, in
	// multiples of the latency, so that calls of the old limit have ended.
	settleLatencies = 1.5
	// settleMax is the upper bound of that time.
	settleMax = 2 * gypsumrail.Second

	// The time to the next probe of a direction doubles from Min to Max while probes
	// change nothing. It is shorter for probes upwards, because they are cheap and
	// decide how fast the limit of a target recovers.
	raiseWaitMin = 500 // ms
	raiseWaitMax = 2 * gypsumrail.Second
	cutWaitMin   = gypsumrail.Second
	cutWaitMax   = 16 * gypsumrail.Second
	// reportInterval is the least time between two probes caused by changed reports.
	reportInterval = 5 * gypsumrail.Second
)

// phase tells which probe is running.
type phase int

const (
	steady phase = iota
	probingDown
	probingUp
)

// Adaptive sets the limit by the throughput of the target; see the package comment.
// It implements gypsumrail.Limiter and is not safe for concurrent use.
type Adaptive struct {
	settings      Settings
	ceiling       int
	ceilingKnown  bool // SetCeiling was called
	limit         int  // in force
	base          int  // limit outside probes
	phase         phase
	window        window
	restoreTo     int         // limit to restore without probes; 0 if none; see reset and shrink
	baseline      measurement // at base, before the present probe
	selfTime      float64     // EWMA of the time per call at base, in ms; 0 if not measured
	confirmedTime float64     // time per call when the limit was last confirmed, in ms; 0 if not confirmed
	reportedSlots int         // from the last report
	nextRaiseAt   gypsumrail.Millis
	raiseWait     gypsumrail.Millis
	nextCutAt     gypsumrail.Millis
	cutWait       gypsumrail.Millis
	nextReportAt  gypsumrail.Millis
}

// New returns a limiter for a target without measurements.
func New(settings Settings) *Adaptive {
	settings = settings.withDefaults()
	a := &Adaptive{settings: settings, raiseWait: raiseWaitMin, cutWait: cutWaitMin}
	a.reset(settings.Ceiling)
	return a
}

// reset sets the ceiling and the initial limit.
func (a *Adaptive) reset(ceiling int) {
	a.ceiling = ceiling
	a.limit = max(1, int(math.Ceil(float64(ceiling)*a.settings.Initial)))
	a.base = a.limit
	// No measurement shows a capacity below half of the ceiling, so the limit of a
	// new target grows up to there without probes, like that of a recovered one. The
	// other half needs a probe, which confirms it.
	a.restoreTo = ceiling / probeFactor
}

// Limit returns the number of calls that may be in flight, from 1 to the ceiling.
func (a *Adaptive) Limit() int { return a.limit }

// SetCeiling sets the highest limit that the records allow. Values below 1 count as
// 1. The first call also sets the initial limit.
func (a *Adaptive) SetCeiling(slots int) {
	slots = max(1, slots)
	if !a.ceilingKnown {
		a.ceilingKnown = true
		a.reset(slots)
		return
	}
	a.ceiling = slots
	a.base = min(a.base, slots)
	a.limit = min(a.limit, slots)
	a.restoreTo = min(a.restoreTo, slots)
}

// Reported records the slots that the target reports. Zero means no report. A
// changed number causes a probe in its direction, at most every 5 s.
func (a *Adaptive) Reported(now gypsumrail.Millis, slots int) {
	if slots <= 0 || slots == a.reportedSlots {
		return
	}
	a.reportedSlots = slots
	if now < a.nextReportAt {
		return
	}
	a.nextReportAt = now + reportInterval
	if slots < a.base {
		a.confirmedTime, a.nextCutAt = 0, now
	} else {
		a.nextRaiseAt = now
	}
}

// Completed records the result of one call. If that ends the sample window, it
// updates the limit.
func (a *Adaptive) Completed(now gypsumrail.Millis, sample gypsumrail.Sample) {
	a.window.add(now, sample)
	samples := a.settings.Samples
	switch {
	case a.restoreTo > a.limit:
		samples = 1
	case a.phase == probingUp:
		samples = max(1, int(raiseSampleShare*float64(samples)))
	}
	if !a.window.complete(now, a.settings.Window, samples) {
		return
	}
	m := a.window.measure(now)
	a.window = window{start: now}
	limit := a.limit
	a.decide(now, m)
	if a.limit != limit {
		settleTime := min(gypsumrail.Millis(settleLatencies*m.latency), settleMax)
		a.window.start = now + settleTime
	}
}

// decide updates the limit with the measurement of a window.
func (a *Adaptive) decide(now gypsumrail.Millis, m measurement) {
	// One slot may be reserved for important calls. With a limit of 4 that is more
	// than the share that fullShare leaves.
	fullAt := min(fullShare*float64(a.limit), float64(a.limit-1))
	isFull := m.successes >= samplesMin && m.inFlight >= fullAt
	switch {
	case m.errorShare > errorShareMax:
		a.shrink(now, m)
	case a.restoreTo > a.limit:
		// No measurement shows a lower capacity, so no comparison is needed. One
		// window of successful calls restores half of the limit. Doubling from 1 took
		// 12 s on a target of 220 slots after a restart.
		a.setBase(min(a.restoreTo, max(a.limit, a.restoreTo/probeFactor/probeFactor)*probeFactor))
		if a.limit == a.restoreTo {
			a.restoreTo = 0
		}
	case !isFull:
		a.limit, a.phase = a.base, steady
		a.confirmUnloaded(m)
	case a.phase == probingDown:
		a.endProbeDown(now, m)
	case a.phase == probingUp:
		a.endProbeUp(now, m)
	default:
		a.probe(now, m)
	}
}

// confirmUnloaded updates the confirmed time per call if at most half of the limit
// is in flight. That is the time of an unloaded target, so no probe is needed.
func (a *Adaptive) confirmUnloaded(m measurement) {
	if m.successes < samplesMin || m.inFlight > float64(a.limit)/probeFactor {
		return
	}
	if a.confirmedTime == 0 {
		a.confirmedTime = m.selfTime
	}
	a.confirmedTime += selfTimeWeight * (m.selfTime - a.confirmedTime)
}

// shrink lowers the limit after refused or failed calls. If a target refuses calls
// above its slots, no call succeeds with more in flight, so the limit becomes the
// most calls in flight at a successful call. If calls fail at any concurrency, the
// limit shrinks by their share until calls succeed again.
func (a *Adaptive) shrink(now gypsumrail.Millis, m measurement) {
	least := max(1, a.limit/probeFactor)
	switch {
	case m.successes > 0 && m.peak < a.limit:
		limit := max(least, m.peak)
		a.postponeRaise(now)
		a.setBase(limit)
		a.restoreTo = 0
	case a.phase == probingUp:
		a.postponeRaise(now)
	default:
		a.restoreTo = max(a.restoreTo, a.base)
		a.setBase(max(least, int(float64(a.limit)*(1-m.errorShare))))
		a.nextRaiseAt = now + a.raiseWait
	}
}

// probe starts a probe if the time for one has come.
func (a *Adaptive) probe(now gypsumrail.Millis, m measurement) {
	if a.selfTime == 0 {
		a.selfTime = m.selfTime
	}
	a.selfTime += selfTimeWeight * (m.selfTime - a.selfTime)
	// The confirmed time follows a smaller time only slowly. The smallest of many
	// noisy values would make the usual one look slow.
	if a.confirmedTime > 0 && a.selfTime < a.confirmedTime {
		a.confirmedTime += selfTimeWeight * (a.selfTime - a.confirmedTime)
	}
	unconfirmed := a.confirmedTime == 0 || a.selfTime > slowRatio*a.confirmedTime
	switch {
	case a.limit < a.ceiling && now >= a.nextRaiseAt:
		a.baseline, a.phase = m, probingUp
		a.limit = min(a.ceiling, a.limit*probeFactor)
	case unconfirmed && m.successes < cutSamplesMin:
		// Too few calls for a comparison; a target that is only slower needs its limit.
		a.confirmedTime = max(a.selfTime, m.selfTime)
	case a.limit > 1 && unconfirmed && now >= a.nextCutAt:
		a.baseline, a.phase = m, probingDown
		a.limit /= probeFactor
	}
}

// endProbeDown lowers the limit if the probe downwards did not lower the throughput
// as much as the limit. Otherwise it confirms the limit.
func (a *Adaptive) endProbeDown(now gypsumrail.Millis, m measurement) {
	knee := a.baseline.rate * m.inFlight / m.rate
	if next := math.Ceil(kneeMargin * knee); next < cutRatioMax*float64(a.base) {
		// The limit of the probe may still be above the knee, so the next probe
		// downwards follows soon.
		a.setBase(max(a.limit, int(next)))
		a.confirmedTime, a.nextCutAt, a.cutWait = 0, now, cutWaitMin
		// The target may have recovered in the meantime, and a probe upwards is cheap.
		a.nextRaiseAt, a.raiseWait = now, raiseWaitMin
		return
	}
	// The EWMA may still lag behind a target that has just become slower.
	a.confirmedTime, a.selfTime = max(a.selfTime, a.baseline.selfTime), 0
	a.nextCutAt, a.cutWait = now+a.cutWait, min(2*a.cutWait, cutWaitMax)
	a.setBase(a.base)
}

// endProbeUp raises the limit if the probe upwards raised the throughput.
func (a *Adaptive) endProbeUp(now gypsumrail.Millis, m measurement) {
	knee := m.rate * a.baseline.inFlight / a.baseline.rate
	if knee < raiseRatioMin*float64(a.base) {
		a.postponeRaise(now)
		return
	}
	reached := knee >= cutRatioMax*float64(a.limit)
	a.setBase(min(a.limit, int(math.Ceil(kneeMargin*knee))))
	a.nextRaiseAt, a.raiseWait = now, raiseWaitMin
	// If the throughput grew with the limit, the limit is confirmed without a probe
	// downwards. Otherwise that probe follows as soon as calls become slower.
	a.nextCutAt, a.cutWait = now, cutWaitMin
	if reached {
		a.confirmedTime = m.selfTime
	}
}

// postponeRaise returns to base and doubles the time to the next probe upwards.
func (a *Adaptive) postponeRaise(now gypsumrail.Millis) {
	a.nextRaiseAt, a.raiseWait = now+a.raiseWait, min(2*a.raiseWait, raiseWaitMax)
	a.setBase(a.base)
}

// setBase sets the limit, bounded to the ceiling, and ends a probe.
func (a *Adaptive) setBase(limit int) {
	a.limit = min(max(1, limit), a.ceiling)
	if a.limit != a.base {
		a.selfTime = 0
	}
	a.base, a.phase = a.limit, steady
}
