package limit

import "github.com/gypsumrail/gypsumrail"

// extendedWindows is the length, in multiples of the shortest window, from which
// samplesMin end a window.
const extendedWindows = 10

// window collects the samples of one measurement.
type window struct {
	start     gypsumrail.Millis // earlier samples belong to the previous limit and are ignored
	successes int
	errors    int // refused or failed
	peak      int // most calls in flight at a successful call
	inFlight  int // sum over the successful calls, like latency and selfTime
	latency   gypsumrail.Millis
	selfTime  gypsumrail.Millis
}

// measurement holds the results of one window at one limit.
type measurement struct {
	successes  int
	errorShare float64 // share of refused or failed calls
	peak       int
	rate       float64 // successful calls per millisecond
	inFlight   float64 // mean per successful call
	latency    float64 // mean in milliseconds
	selfTime   float64 // mean in milliseconds, without waiting for outgoing calls
}

// add records the result of one call.
func (w *window) add(now gypsumrail.Millis, sample gypsumrail.Sample) {
	switch {
	case now < w.start:
	case sample.Failed || sample.Refused:
		w.errors++
	default:
		w.successes++
		w.inFlight += sample.InFlight
		w.peak = max(w.peak, sample.InFlight)
		w.latency += sample.Latency
		w.selfTime += sample.Self
	}
}

// complete reports whether the window lasted at least as long as least and has the
// wanted samples. After extendedWindows times least, samplesMin suffice. A
// window with fewer continues, because a target with few slots completes too few
// calls in any fixed span.
func (w *window) complete(now, least gypsumrail.Millis, samples int) bool {
	span, have := now-w.start, w.successes+w.errors
	return span >= least && (have >= samples || have >= samplesMin && span >= extendedWindows*least)
}

// measure returns the results up to now. The window must hold at least one sample.
func (w *window) measure(now gypsumrail.Millis) measurement {
	// Times are rounded down to milliseconds, with a mean error of half of one.
	const rounding = 0.5
	successes := float64(max(1, w.successes))
	return measurement{
		successes:  w.successes,
		errorShare: float64(w.errors) / float64(w.successes+w.errors),
		peak:       w.peak,
		rate:       float64(w.successes) / (float64(now-w.start) + rounding),
		inFlight:   float64(w.inFlight) / successes,
		latency:    float64(w.latency)/successes + rounding,
		selfTime:   float64(w.selfTime)/successes + rounding,
	}
}
