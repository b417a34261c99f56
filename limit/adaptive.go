package limit

import (
	"math"

	"github.com/gypsumrail/gypsumrail"
)

const (
	// probeFactor is the ratio between the two limits of a probe. The rates of two
	// windows of 250 calls with exponential times differ by 9 % (one standard
	// deviation) by chance, so the 26 % that a cut needs are rare unless real.
	probeFactor = 2
	// headroom keeps the limit above the estimated knee. A limit below it loses
	// throughput, one above it only adds some waiting inside the target.
	headroom = 1.15
	// cutBelow is the ratio of new to old limit above which a probe downwards
	// changes nothing; smaller differences are within the noise.
	cutBelow = 0.85
	// raiseAbove is the ratio of knee to limit from which a probe upwards counts as a gain.
	raiseAbove = 1.25
	// raiseSamples is the part of the samples that a probe upwards needs. A wrong
	// raise is noticed because calls become slower, and costs no throughput.
	raiseSamples = 0.4
	// slowerAbove is the ratio of the time per call to the confirmed one from
	// which the limit is doubted.
	slowerAbove = 1.6
	// selfFresh is the weight of the last window in the time per call.
	selfFresh = 0.3
	// badAbove is the share of refused or failed calls from which the limit shrinks.
	badAbove = 0.05
	// boundAbove is the share of the limit that must be in use for a measurement
	// to say anything about the limit.
	boundAbove = 0.8
	// cutSamples is the number of completions in a measurement below which no probe
	// downwards follows. A target that completes fewer in ten windows would run at
	// half of its limit for seconds, and the rates of so few calls differ by chance.
	cutSamples = 100
	// samplesMin is the number of completions below which a long window says nothing.
	samplesMin = 20
	// settleLatencies is how many latencies pass after a change of the limit
	// before the next window starts, so that calls of the old limit have left.
	settleLatencies = 1.5
	settleMax       = 2 * gypsumrail.Second

	// Pauses between probes that found no reason for a change double from Min to
	// Max. Probes upwards are cheap and decide how fast a target recovers.
	raiseWaitMin = 500
	raiseWaitMax = 2 * gypsumrail.Second
	cutWaitMin   = gypsumrail.Second
	cutWaitMax   = 16 * gypsumrail.Second
	// hintWait bounds how often a changing report causes a probe.
	hintWait = 5 * gypsumrail.Second
)

type phase int

const (
	steady phase = iota
	probingDown
	probingUp
)

// Adaptive is a limit that follows the throughput of the target. It implements
// gypsumrail.Limiter and is not safe for concurrent use.
type Adaptive struct {
	settings  Settings
	ceiling   int
	known     bool // the records stated the ceiling
	limit     int  // in force
	base      int  // to return to after a probe
	phase     phase
	window    window
	restore   int         // limit before calls were bad at any concurrency; 0 if none
	before    measurement // at base, while probing
	self      float64     // time per call at base, smoothed; 0 if not measured
	confirmed float64     // time per call at which the limit was found right; 0 if not yet
	hint      int         // last reported slots
	raiseAt   gypsumrail.Millis
	raiseWait gypsumrail.Millis
	cutAt     gypsumrail.Millis
	cutWait   gypsumrail.Millis
	hintAt    gypsumrail.Millis
}

// New returns the limit of a target of which nothing is known.
func New(settings Settings) *Adaptive {
	settings = settings.withDefaults()
	a := &Adaptive{settings: settings, raiseWait: raiseWaitMin, cutWait: cutWaitMin}
	a.start(settings.Ceiling)
	return a
}

func (a *Adaptive) start(ceiling int) {
	a.ceiling = ceiling
	a.limit = max(1, int(math.Ceil(float64(ceiling)*a.settings.Initial)))
	a.base = a.limit
	// Nothing is known against half of the ceiling, so a cold target opens up to it
	// like one that recovered. The other half follows by a probe, which confirms it.
	a.restore = ceiling / probeFactor
}

// Limit returns the number of calls that may run at once, from 1 to the ceiling.
func (a *Adaptive) Limit() int { return a.limit }

// SetCeiling sets the most that the records allow. The first ceiling sets the
// limit at which a target starts; values below 1 count as 1.
func (a *Adaptive) SetCeiling(slots int) {
	slots = max(1, slots)
	if !a.known {
		a.known = true
		a.start(slots)
		return
	}
	a.ceiling = slots
	a.base = min(a.base, slots)
	a.limit = min(a.limit, slots)
	a.restore = min(a.restore, slots)
}

// Reported takes the slots that the target says it has; zero means that it does
// not say. A change causes a probe in its direction, at most every 5 s.
func (a *Adaptive) Reported(now gypsumrail.Millis, slots int) {
	if slots <= 0 || slots == a.hint {
		return
	}
	a.hint = slots
	if now < a.hintAt {
		return
	}
	a.hintAt = now + hintWait
	if slots < a.base {
		a.confirmed, a.cutAt = 0, now
	} else {
		a.raiseAt = now
	}
}

// Completed takes the result of one run.
func (a *Adaptive) Completed(now gypsumrail.Millis, sample gypsumrail.Sample) {
	a.window.add(now, sample)
	samples := a.settings.Samples
	switch {
	case a.restore > a.limit:
		samples = 1
	case a.phase == probingUp:
		samples = max(1, int(raiseSamples*float64(samples)))
	}
	if !a.window.complete(now, a.settings.Window, samples) {
		return
	}
	m := a.window.measure(now)
	a.window = window{start: now}
	limit := a.limit
	a.decide(now, m)
	if a.limit != limit {
		settle := min(gypsumrail.Millis(settleLatencies*m.latency), settleMax)
		a.window.start = now + settle
	}
}

func (a *Adaptive) decide(now gypsumrail.Millis, m measurement) {
	// One slot may be kept free for important calls, which is more than the rest of
	// a limit of 4.
	full := min(boundAbove*float64(a.limit), float64(a.limit-1))
	bound := m.good >= samplesMin && m.inFlight >= full
	switch {
	case m.badShare > badAbove:
		a.shrink(now, m)
	case a.restore > a.limit:
		// Nothing was learned about the capacity, so no comparison is needed. One
		// window of good calls opens half of the limit: doubling from 1 took a target
		// of 220 slots 12 s after a restart.
		a.set(min(a.restore, max(a.limit, a.restore/probeFactor/probeFactor)*probeFactor))
		if a.limit == a.restore {
			a.restore = 0
		}
	case !bound:
		a.limit, a.phase = a.base, steady
		a.confirmIdle(m)
	case a.phase == probingDown:
		a.endDown(now, m)
	case a.phase == probingUp:
		a.endUp(now, m)
	default:
		a.probe(now, m)
	}
}

// confirmIdle takes the time per call while at most half of the limit is in use
// as the right one: no probe is needed to learn what the target does unhindered.
func (a *Adaptive) confirmIdle(m measurement) {
	if m.good < samplesMin || m.inFlight > float64(a.limit)/probeFactor {
		return
	}
	if a.confirmed == 0 {
		a.confirmed = m.self
	}
	a.confirmed += selfFresh * (m.self - a.confirmed)
}

// shrink follows calls that were refused or failed. A target that refuses above
// its slots shows them: no call is good with more in flight. If calls are bad
// at any concurrency, the limit shrinks by their share until they are good again.
func (a *Adaptive) shrink(now gypsumrail.Millis, m measurement) {
	least := max(1, a.limit/probeFactor)
	switch {
	case m.good > 0 && m.peak < a.limit:
		limit := max(least, m.peak)
		a.refuseRaise(now)
		a.set(limit)
		a.restore = 0
	case a.phase == probingUp:
		a.refuseRaise(now)
	default:
		a.restore = max(a.restore, a.base)
		a.set(max(least, int(float64(a.limit)*(1-m.badShare))))
		a.raiseAt = now + a.raiseWait
	}
}

// probe starts a probe if one is due.
func (a *Adaptive) probe(now gypsumrail.Millis, m measurement) {
	if a.self == 0 {
		a.self = m.self
	}
	a.self += selfFresh * (m.self - a.self)
	// Below the confirmed time the confirmation follows slowly: the smallest of
	// many noisy values would make the usual one look slow.
	if a.confirmed > 0 && a.self < a.confirmed {
		a.confirmed += selfFresh * (a.self - a.confirmed)
	}
	doubted := a.confirmed == 0 || a.self > slowerAbove*a.confirmed
	switch {
	case a.limit < a.ceiling && now >= a.raiseAt:
		a.before, a.phase = m, probingUp
		a.limit = min(a.ceiling, a.limit*probeFactor)
	case doubted && m.good < cutSamples:
		// Too few calls to tell; a target that is merely slower needs its limit.
		a.confirmed = max(a.self, m.self)
	case a.limit > 1 && doubted && now >= a.cutAt:
		a.before, a.phase = m, probingDown
		a.limit /= probeFactor
	}
}

func (a *Adaptive) endDown(now gypsumrail.Millis, m measurement) {
	knee := a.before.rate * m.inFlight / m.rate
	if target := math.Ceil(headroom * knee); target < cutBelow*float64(a.base) {
		// The limit of the probe may still be above the knee, so the next probe downwards follows soon.
		a.set(max(a.limit, int(target)))
		a.confirmed, a.cutAt, a.cutWait = 0, now, cutWaitMin
		// The target may have recovered meanwhile, and a probe upwards is cheap.
		a.raiseAt, a.raiseWait = now, raiseWaitMin
		return
	}
	// The smoothed time may still lag behind a target that just became slower.
	a.confirmed, a.self = max(a.self, a.before.self), 0
	a.cutAt, a.cutWait = now+a.cutWait, min(2*a.cutWait, cutWaitMax)
	a.set(a.base)
}

func (a *Adaptive) endUp(now gypsumrail.Millis, m measurement) {
	knee := m.rate * a.before.inFlight / a.before.rate
	if knee < raiseAbove*float64(a.base) {
		a.refuseRaise(now)
		return
	}
	reached := knee >= cutBelow*float64(a.limit)
	a.set(min(a.limit, int(math.Ceil(headroom*knee))))
	a.raiseAt, a.raiseWait = now, raiseWaitMin
	// If the throughput grew with the limit, no probe downwards has to show it
	// again. Otherwise the next one is due as soon as calls become slower.
	a.cutAt, a.cutWait = now, cutWaitMin
	if reached {
		a.confirmed = m.self
	}
}

func (a *Adaptive) refuseRaise(now gypsumrail.Millis) {
	a.raiseAt, a.raiseWait = now+a.raiseWait, min(2*a.raiseWait, raiseWaitMax)
	a.set(a.base)
}

// set ends a probe with a limit.
func (a *Adaptive) set(limit int) {
	a.limit = min(max(1, limit), a.ceiling)
	if a.limit != a.base {
		a.self = 0
	}
	a.base, a.phase = a.limit, steady
}
