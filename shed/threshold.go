package shed

import "github.com/gypsumrail/gypsumrail"

const (
	// protectedLevel is the lowest level of the highest importance, which is refused
	// only after all lower levels.
	protectedLevel = gypsumrail.Level(gypsumrail.ImportanceMax) * gypsumrail.LevelsPerImportance
	// protectedWindows is the number of windows in which all lower levels are
	// refused and the delay stays above the target delay, before the highest
	// importance is refused. Lower calls that are already queued or running need
	// this time to leave.
	protectedWindows = 3
	// stuckWindowsMax is the number of windows above the target delay without a
	// decrease of the queued and running calls after which the estimate of the
	// completions is not trusted. Calls that expired in the queue count as completed,
	// so a target that completes nothing appears to complete every admitted call.
	stuckWindowsMax = 10
	// thresholdMax is the highest threshold. It always admits some calls, because a
	// node that admits nothing cannot detect that its target recovered.
	thresholdMax = gypsumrail.LevelMax - gypsumrail.LevelsPerImportance/8

	// raiseAfterWindows is the number of consecutive windows above the target delay
	// after which a threshold of zero is raised. One may be a burst that the queue
	// absorbs.
	raiseAfterWindows = 2
	// raiseFactor is the share of the completions that is admitted while the delay is
	// above the target delay, so that the queue shrinks even if the estimate of the
	// completions is slightly too high.
	raiseFactor = 0.95
	// raiseShareMin is the least share of the completions that is admitted while the
	// queue drains, so that the target never runs idle.
	raiseShareMin = 0.5
	// raiseStepMin is the rise, in levels, if the histogram gives none although the
	// queued and running calls do not decrease, for example because calls became
	// more expensive.
	raiseStepMin = gypsumrail.LevelsPerImportance / 16
	// drainWindows is the number of windows in which the queue is drained to the
	// target delay.
	drainWindows = 5
	// completionsWeight is the weight of the last window in the EWMA of completions.
	completionsWeight = 0.3

	// fallFactor is the growth per window of the admitted load while the delay is at
	// most half of the target delay.
	fallFactor = 1.05
	// emptyFallFactor is the growth per window of the admitted load while the queue
	// is empty. A larger factor overshoots more often than it helps, since
	// emptyStepMin already bounds the time to a threshold of zero.
	emptyFallFactor = 1.15
	// emptyStepMin is the least fall, in levels, in the first window with an empty
	// queue. It doubles with each further one, so the threshold is zero after seven
	// windows even if no call is offered.
	emptyStepMin = 16
	// emptyDoublingsMax bounds the doubling: 16 levels times 2^7 exceed the range.
	emptyDoublingsMax = 7
)

// Threshold sets its threshold from the standing delay and a histogram of the
// offered levels; see the package comment. It implements gypsumrail.Shedder and is
// not safe for concurrent use.
type Threshold struct {
	settings         Settings
	demand           demand
	admitted         int     // in the present window
	outstanding      int     // queued and running calls at the end of the last window
	completions      float64 // per window, smoothed; negative until the first window
	threshold        gypsumrail.Level
	windowsAbove     int // consecutive windows with a delay above the target delay
	windowsStuck     int // of these, windows in which the queued and running calls did not decrease
	windowsEmpty     int // consecutive windows with an empty queue or no standing delay
	windowsExhausted int // consecutive windows in which all levels below protectedLevel were refused
	remoteThresholds
}

// New returns a shedder that admits everything until it observes a delay.
func New(settings Settings) *Threshold {
	settings = settings.withDefaults()
	return &Threshold{settings: settings, completions: -1, remoteThresholds: remoteThresholds{newServiceTable(settings.ReportLifetime)}}
}

// Threshold returns the lowest level that this receiver admits.
func (t *Threshold) Threshold() gypsumrail.Level { return t.threshold }

// Offered counts an arrived call by level.
func (t *Threshold) Offered(_ gypsumrail.Millis, level gypsumrail.Level, admitted bool) {
	t.demand.add(level)
	if admitted {
		t.admitted++
	}
}

// Observe ends a window and updates the threshold. It must be called every 100 ms.
func (t *Threshold) Observe(_ gypsumrail.Millis, load gypsumrail.Load) {
	t.demand.closeWindow(t.threshold)
	outstanding := load.Queued + load.InFlight
	notShrinking := outstanding >= t.outstanding
	// Evicted and expired calls count as completed; see stuckWindowsMax.
	departed := float64(max(0, t.admitted+t.outstanding-outstanding))
	// In a window with an empty queue the demand limits the completions, and not the
	// target. Such a window therefore does not lower the estimate.
	idle := load.Queued == 0 || load.MinDelay == 0
	if t.completions < 0 {
		t.completions = departed
	} else if !idle || departed > t.completions {
		t.completions += completionsWeight * (departed - t.completions)
	}
	admitted := float64(t.admitted)
	if t.threshold >= protectedLevel {
		t.windowsExhausted++
	} else {
		t.windowsExhausted = 0
	}
	t.admitted, t.outstanding = 0, outstanding

	switch {
	case load.MinDelay > t.settings.TargetDelay:
		t.windowsEmpty = 0
		t.windowsAbove++
		if notShrinking {
			t.windowsStuck++
		}
		if t.threshold > 0 || t.windowsAbove >= raiseAfterWindows {
			t.raise(load, departed, notShrinking)
		}
	case idle:
		t.windowsAbove, t.windowsStuck = 0, 0
		t.fall(max(admitted, t.completions)*emptyFallFactor, emptyStepMin<<min(t.windowsEmpty, emptyDoublingsMax))
		t.windowsEmpty++
	case load.MinDelay <= t.settings.TargetDelay/2:
		t.windowsAbove, t.windowsStuck, t.windowsEmpty = 0, 0, 0
		t.fall(max(admitted, t.completions)*fallFactor, 1)
	default:
		t.windowsAbove, t.windowsStuck, t.windowsEmpty = 0, 0, 0
	}
}

// raise raises the threshold, if needed, after a window with a delay above the
// target delay.
func (t *Threshold) raise(load gypsumrail.Load, departed float64, notShrinking bool) {
	// excess is the part of the queue beyond what completes within the target delay.
	excess := float64(load.Queued) * float64(load.MinDelay-t.settings.TargetDelay) / float64(load.MinDelay)
	wanted := max(raiseFactor*t.completions-excess/drainWindows, raiseShareMin*t.completions)
	if t.windowsStuck >= stuckWindowsMax {
		wanted = raiseShareMin * min(departed, t.completions)
	}
	next := max(t.demand.thresholdFor(wanted), t.threshold)
	if next == t.threshold && notShrinking {
		next += raiseStepMin
	}
	// Whether the calls of the highest importance alone exceed the completions.
	highestExceeds := t.demand.thresholdFor(t.completions) > protectedLevel
	if t.windowsExhausted < protectedWindows || !highestExceeds && t.windowsStuck < stuckWindowsMax {
		next = min(next, max(protectedLevel, t.threshold))
	}
	t.threshold = min(next, thresholdMax)
}

// fall lowers the threshold by at least the given levels, further if the wanted
// calls per window allow it.
func (t *Threshold) fall(wanted float64, least gypsumrail.Level) {
	next := min(t.demand.thresholdFor(wanted), t.threshold-least)
	t.threshold = max(next, 0)
}
