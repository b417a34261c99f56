package limit

import "github.com/gypsumrail/gypsumrail"

// longWindows is the length, in windows, of a measurement that has too few samples.
const longWindows = 10

// window collects the samples of one measurement.
type window struct {
	start    gypsumrail.Millis // earlier samples belong to the limit before
	good     int
	bad      int // refused or failed
	peak     int // most calls in flight with which one was good
	inFlight int // sums over the good samples
	latency  gypsumrail.Millis
	self     gypsumrail.Millis
}

// measurement is what one window says about the target at one limit.
type measurement struct {
	good     int
	badShare float64
	peak     int
	rate     float64 // completions per millisecond
	inFlight float64 // means per call
	latency  float64
	self     float64
}

func (w *window) add(now gypsumrail.Millis, sample gypsumrail.Sample) {
	switch {
	case now < w.start:
	case sample.Failed || sample.Refused:
		w.bad++
	default:
		w.good++
		w.inFlight += sample.InFlight
		w.peak = max(w.peak, sample.InFlight)
		w.latency += sample.Latency
		w.self += sample.Self
	}
}

// complete tells whether the window is long enough and holds enough samples, or
// is so long that it must do with fewer. A window with less than samplesMin
// goes on: a target with few slots completes too few calls in any fixed span.
func (w *window) complete(now, least gypsumrail.Millis, samples int) bool {
	span, have := now-w.start, w.good+w.bad
	return span >= least && (have >= samples || have >= samplesMin && span >= longWindows*least)
}

// measure ends the window. It must hold at least one sample.
func (w *window) measure(now gypsumrail.Millis) measurement {
	// Spans are rounded down to milliseconds; half of one is the mean error.
	const rounding = 0.5
	good := float64(max(1, w.good))
	return measurement{
		good:     w.good,
		badShare: float64(w.bad) / float64(w.good+w.bad),
		peak:     w.peak,
		rate:     float64(w.good) / (float64(now-w.start) + rounding),
		inFlight: float64(w.inFlight) / good,
		latency:  float64(w.latency)/good + rounding,
		self:     float64(w.self)/good + rounding,
	}
}
