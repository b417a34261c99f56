package shed

import "github.com/gypsumrail/gypsumrail"

const (
	// backlogTarget is the wait that calls may have in the queue. A chain that makes
	// four calls one after the other waits four times.
	backlogTarget = 8 * gypsumrail.Millis(1)
	// backlogDrain is the time in which what lies above the target is to be worked off.
	backlogDrain = 250 * gypsumrail.Millis(1)
	// drainMost is the largest part of the capacity that is withheld to work it off.
	drainMost = 0.5
	// observeWindow is the time between two calls of Observe.
	observeWindow = 100 * gypsumrail.Millis(1)
	// effectWindows is the time in which a threshold shows in what arrives: callers
	// learn it from answers, and what they admitted before goes on making calls.
	effectWindows = 5

	// rateFresh is the weight of one window in rates.
	rateFresh = 0.3
	// spare is the surplus over the capacity that is admitted while slots are free,
	// so that the load grows until the target is full.
	spare = 1.15
	// busyShare is the part of the limit from which the target counts as full.
	busyShare = 0.95
	// shareLeast is the smallest admitted share of an importance from which its
	// whole demand can be told.
	shareLeast = 0.1
	// demandFade is what remains per window of a demand of which nothing is admitted.
	demandFade = 0.99
	// enterWindows is the number of windows above the target after which shedding
	// begins; one may be a burst that the queue absorbs.
	enterWindows = 2
	// protectedAfter is the number of windows in which calls of the highest importance
	// alone stand above the target, before some of them are refused.
	protectedAfter = 5
)

// Backlog moves its threshold by rates: it admits what the target completes, less
// what works off the backlog, of the demand that it estimates for each importance.
// It suits services deep in a call graph whose callers refuse for them at the
// entries. There a refusal shows only after the calls above this service, and a
// controller that goes on correcting meanwhile swings between refusing everything
// and nothing. This one divides what arrives by the share that it admitted at the
// time, which gives the whole demand whatever the present threshold is. It
// implements gypsumrail.Shedder and is not safe for concurrent use.
type Backlog struct {
	elsewhere
	threshold gypsumrail.Level
	classes   [importances]importance

	arrived     int     // in the present window
	outstanding int     // queued and running calls at the end of the last window
	capacity    float64 // completions per window of a full target, smoothed; 0 if unknown
	shedding    bool
	above       int // consecutive windows above the target
	urgent      int // consecutive windows in which the highest importance alone is above it
}

const importances = int(gypsumrail.ImportanceMax) + 1

// importance is the demand of one importance.
type importance struct {
	arrived int     // in the present window
	demand  float64 // per window, if all were admitted
	shares  [effectWindows]float64
}

var _ gypsumrail.Shedder = (*Backlog)(nil)

// NewBacklog returns a shedder that admits everything until a backlog stands.
func NewBacklog(settings Settings) *Backlog {
	b := &Backlog{elsewhere: elsewhere{newServices(settings.withDefaults().Life)}}
	for i := range b.classes {
		for w := range effectWindows {
			b.classes[i].shares[w] = 1
		}
	}
	return b
}

// Threshold returns the lowest level that this receiver admits.
func (b *Backlog) Threshold() gypsumrail.Level { return b.threshold }

// Offered counts an arrival of this level.
func (b *Backlog) Offered(_ gypsumrail.Millis, level gypsumrail.Level, admitted bool) {
	if !admitted {
		return // it is part of the demand that the admitted ones stand for
	}
	level = min(max(level, 0), gypsumrail.LevelMax-1)
	b.classes[level/gypsumrail.LevelsPerImportance].arrived++
	b.arrived++
}

// Observe closes the window and moves the threshold. It is called every 100 ms.
func (b *Backlog) Observe(_ gypsumrail.Millis, load gypsumrail.Load) {
	completed := float64(max(0, b.arrived+b.outstanding-load.Queued-load.InFlight))
	b.outstanding = load.Queued + load.InFlight
	b.arrived = 0
	full := load.Queued > 0 || float64(load.InFlight) >= busyShare*float64(load.Limit)
	switch {
	case b.capacity == 0 || !full && completed > b.capacity:
		b.capacity = completed
	case full:
		b.capacity += rateFresh * (completed - b.capacity)
	}
	for i := range b.classes {
		b.classes[i].close()
	}
	delay := b.delay(load.Queued)
	if delay > backlogTarget {
		b.above++
	} else {
		b.above = 0
	}
	if b.delay(load.Urgent) > backlogTarget {
		b.urgent++
	} else {
		b.urgent = 0
	}
	b.shedding = b.shedding || b.above >= enterWindows
	if b.shedding {
		b.threshold = b.thresholdFor(b.aim(delay, full))
		b.shedding = b.threshold > 0 || b.above > 0
	}
	for i := range b.classes {
		b.classes[i].admit(gypsumrail.Level(i), b.threshold)
	}
}

// delay returns how long the target needs for what is queued.
func (b *Backlog) delay(queued int) gypsumrail.Millis {
	return gypsumrail.Millis(float64(queued) / max(b.capacity, 1) * float64(observeWindow))
}

// aim returns the calls per window that are to arrive.
func (b *Backlog) aim(delay gypsumrail.Millis, full bool) float64 {
	switch {
	case delay > backlogTarget:
		return b.capacity * (1 - min(drainMost, float64(delay-backlogTarget)/float64(backlogDrain)))
	case !full:
		return b.capacity * spare
	}
	return b.capacity
}

// thresholdFor returns the threshold that admits a number of calls per window, the
// most important first.
func (b *Backlog) thresholdFor(wanted float64) gypsumrail.Level {
	for i := importances - 1; i >= 0; i-- {
		demand := b.classes[i].demand
		if demand <= wanted {
			wanted -= demand
			continue
		}
		refused := 1 - max(wanted, 0)/demand
		next := gypsumrail.Level(i)*gypsumrail.LevelsPerImportance + gypsumrail.Level(refused*gypsumrail.LevelsPerImportance)
		if next > protected && b.urgent < protectedAfter {
			next = protected
		}
		return min(next, highest)
	}
	return 0
}

// close takes the arrivals of a window into the demand. What arrives now was
// admitted by the thresholds of the last windows.
func (c *importance) close() {
	share := 0.0
	for _, s := range c.shares {
		share += s / effectWindows
	}
	if share >= shareLeast {
		c.demand += rateFresh * (float64(c.arrived)/share - c.demand)
	} else {
		c.demand *= demandFade
	}
	c.arrived = 0
}

// admit records the share of an importance that a threshold admits.
func (c *importance) admit(i, threshold gypsumrail.Level) {
	copy(c.shares[:], c.shares[1:])
	above := (i+1)*gypsumrail.LevelsPerImportance - threshold
	c.shares[effectWindows-1] = min(max(float64(above)/gypsumrail.LevelsPerImportance, 0), 1)
}
