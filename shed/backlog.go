package shed

import "github.com/gypsumrail/gypsumrail"

const (
	// backlogTarget is the accepted delay in the queue. A user request with four
	// calls one after the other has this delay four times.
	backlogTarget = 8 * gypsumrail.Millis(1)
	// backlogDrainTime is the time in which the delay above backlogTarget is
	// drained.
	backlogDrainTime = 250 * gypsumrail.Millis(1)
	// drainShareMax is the largest share of the capacity that is withheld from new
	// calls to drain the queue.
	drainShareMax = 0.5
	// observeWindow is the time between two calls of Observe.
	observeWindow = 100 * gypsumrail.Millis(1)
	// effectDelayWindows is the number of windows until a threshold takes full effect
	// on the arrivals: callers learn it from answers, and the user requests that they
	// admitted before go on making calls.
	effectDelayWindows = 5

	// rateWeight is the weight of the last window in the EWMA of rates.
	rateWeight = 0.3
	// growthFactor is the ratio of the admitted load to the capacity while slots are
	// free, so that the load grows until the target is full.
	growthFactor = 1.15
	// fullShare is the share of the limit in flight from which the target counts as
	// full.
	fullShare = 0.95
	// admittedShareMin is the smallest admitted share of an importance from which its
	// whole demand is estimated.
	admittedShareMin = 0.1
	// unseenDemandDecay is the factor per window of the demand estimate while less
	// than admittedShareMin is admitted.
	unseenDemandDecay = 0.99
	// shedAfterWindows is the number of consecutive windows above backlogTarget after
	// which shedding begins. One may be a burst that the queue absorbs.
	shedAfterWindows = 2
	// protectedAfterWindows is the number of consecutive windows in which the calls
	// of the highest importance alone exceed backlogTarget, before some of them are
	// refused.
	protectedAfterWindows = 5
)

// Backlog sets its threshold from rates. It estimates the demand of each
// importance and admits as much of it as the target completes, less what is needed
// to drain the queue.
//
// It suits services deep in a call graph for which the entry nodes refuse calls.
// There a new threshold takes effect only after the calls of the hops above have
// ended. A controller that keeps correcting in the meantime oscillates between
// refusing everything and nothing. Backlog divides the arrivals by the share that
// was admitted at the time. The quotient is the whole demand, independent of the
// present threshold.
//
// It implements gypsumrail.Shedder and is not safe for concurrent use.
type Backlog struct {
	remoteThresholds
	threshold gypsumrail.Level
	demands   [importanceCount]importanceDemand

	arrived             int     // in the present window
	outstanding         int     // queued and running calls at the end of the last window
	capacity            float64 // completions per window of a full target, smoothed; 0 if unknown
	shedding            bool
	windowsAbove        int // consecutive windows with a queue delay above backlogTarget
	highestWindowsAbove int // the same for the queued calls of the highest importance alone
}

const importanceCount = int(gypsumrail.ImportanceMax) + 1

// importanceDemand estimates the demand of one importance.
type importanceDemand struct {
	arrived int                         // in the present window
	demand  float64                     // calls per window if all were admitted
	shares  [effectDelayWindows]float64 // admitted share in each of the last windows, oldest first
}

var _ gypsumrail.Shedder = (*Backlog)(nil)

// NewBacklog returns a shedder that admits everything until a standing queue forms.
func NewBacklog(settings Settings) *Backlog {
	b := &Backlog{remoteThresholds: remoteThresholds{newServiceTable(settings.withDefaults().ReportLifetime)}}
	for i := range b.demands {
		for w := range effectDelayWindows {
			b.demands[i].shares[w] = 1
		}
	}
	return b
}

// Threshold returns the lowest level that this receiver admits.
func (b *Backlog) Threshold() gypsumrail.Level { return b.threshold }

// Offered counts an admitted call by its importance and ignores a refused one.
func (b *Backlog) Offered(_ gypsumrail.Millis, level gypsumrail.Level, admitted bool) {
	if !admitted {
		return // the demand is extrapolated from the admitted calls
	}
	level = min(max(level, 0), gypsumrail.LevelMax-1)
	b.demands[level/gypsumrail.LevelsPerImportance].arrived++
	b.arrived++
}

// Observe ends a window and updates the threshold. It must be called every 100 ms.
func (b *Backlog) Observe(_ gypsumrail.Millis, load gypsumrail.Load) {
	completed := float64(max(0, b.arrived+b.outstanding-load.Queued-load.InFlight-load.Late))
	b.outstanding = load.Queued + load.InFlight
	b.arrived = 0
	full := load.Queued > 0 || float64(load.InFlight) >= fullShare*float64(load.Limit)
	switch {
	case b.capacity == 0 || !full && completed > b.capacity:
		b.capacity = completed
	case full:
		b.capacity += rateWeight * (completed - b.capacity)
	}
	for i := range b.demands {
		b.demands[i].closeWindow()
	}
	delay := b.queueDelay(load.Queued)
	if delay > backlogTarget {
		b.windowsAbove++
	} else {
		b.windowsAbove = 0
	}
	if b.queueDelay(load.QueuedHighest) > backlogTarget {
		b.highestWindowsAbove++
	} else {
		b.highestWindowsAbove = 0
	}
	b.shedding = b.shedding || b.windowsAbove >= shedAfterWindows
	if b.shedding {
		b.threshold = b.thresholdFor(b.targetArrivals(delay, full))
		b.shedding = b.threshold > 0 || b.windowsAbove > 0
	}
	for i := range b.demands {
		b.demands[i].recordShare(gypsumrail.Level(i), b.threshold)
	}
}

// queueDelay returns the time that the target needs for the queued calls.
func (b *Backlog) queueDelay(queued int) gypsumrail.Millis {
	return gypsumrail.Millis(float64(queued) / max(b.capacity, 1) * float64(observeWindow))
}

// targetArrivals returns the calls per window that the threshold should admit.
func (b *Backlog) targetArrivals(delay gypsumrail.Millis, full bool) float64 {
	switch {
	case delay > backlogTarget:
		return b.capacity * (1 - min(drainShareMax, float64(delay-backlogTarget)/float64(backlogDrainTime)))
	case !full:
		return b.capacity * growthFactor
	}
	return b.capacity
}

// thresholdFor returns the threshold that admits the wanted calls per window, the
// most important first. It exceeds protectedLevel only after
// protectedAfterWindows, and never exceeds thresholdMax.
func (b *Backlog) thresholdFor(wanted float64) gypsumrail.Level {
	for i := importanceCount - 1; i >= 0; i-- {
		demand := b.demands[i].demand
		if demand <= wanted {
			wanted -= demand
			continue
		}
		refused := 1 - max(wanted, 0)/demand
		next := gypsumrail.Level(i)*gypsumrail.LevelsPerImportance + gypsumrail.Level(refused*gypsumrail.LevelsPerImportance)
		if next > protectedLevel && b.highestWindowsAbove < protectedAfterWindows {
			next = protectedLevel
		}
		return min(next, thresholdMax)
	}
	return 0
}

// closeWindow updates the demand with the arrivals of a window. They were admitted
// by the thresholds of the last effectDelayWindows.
func (d *importanceDemand) closeWindow() {
	share := 0.0
	for _, s := range d.shares {
		share += s / effectDelayWindows
	}
	if share >= admittedShareMin {
		d.demand += rateWeight * (float64(d.arrived)/share - d.demand)
	} else {
		d.demand *= unseenDemandDecay
	}
	d.arrived = 0
}

// recordShare records the share of importance i that the threshold admits.
func (d *importanceDemand) recordShare(i, threshold gypsumrail.Level) {
	copy(d.shares[:], d.shares[1:])
	above := (i+1)*gypsumrail.LevelsPerImportance - threshold
	d.shares[effectDelayWindows-1] = min(max(float64(above)/gypsumrail.LevelsPerImportance, 0), 1)
}
