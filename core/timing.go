package core

import "github.com/gypsumrail/gypsumrail"

// timing is the measured run time of one class on the own target. It is normalized: work
// on the target counts with the time that it takes on a machine as usual, see limit.Slowdown.
type timing struct {
	mean    float64           // EWMA, in milliseconds
	work    float64           // EWMA of the part without waiting for outgoing calls, which the slowdown stretches
	lastRun gypsumrail.Millis // time of the last update
}

const (
	// timingWeight is the weight of one run in the EWMA, whose window is about 16
	// runs.
	timingWeight = 1.0 / 16
	// timingHalfLife is the time without a run after which the mean counts half.
	// Without it, a mean measured while the target was slow could refuse all later
	// calls of the class, and no run would correct it.
	timingHalfLife = gypsumrail.Second
	// needShare is the share of the mean run time that must remain before a call's
	// deadline to start it. Many runs are shorter than the mean, so a share of 1
	// would refuse calls that can still finish.
	needShare = 0.5
	// needShareSlowed replaces needShare while the target's machine is slow. Another upstream
	// runs a refused call sooner, so a run that may be too long is not worth the risk. In
	// TestSlowedMachines at a utilization of 0.95, a share of 1 instead of 0.5 lowers the
	// calls that fail after work from 0.49 % to 0.20 %; 1.3 refuses more calls.
	needShareSlowed = 1
	// timingsMax bounds the classes with a measured run time.
	timingsMax = 256
)

// recordRunTime adds a run to the mean run time of its class: the work on the target and
// the time spent waiting for outgoing calls.
func (n *Node) recordRunTime(class string, work, wait float64) {
	t := n.runTimes[class]
	if t == nil {
		if len(n.runTimes) >= timingsMax {
			return
		}
		t = &timing{mean: work + wait, work: work}
		n.runTimes[class] = t
	}
	t.mean += (work + wait - t.mean) * timingWeight
	t.work += (work - t.work) * timingWeight
	t.lastRun = n.now
}

// runTime returns the normalized mean run time of a class in milliseconds and the part of
// it that is work on the target, both halved for each timingHalfLife since the last run.
// Without a run it returns 0.
func (n *Node) runTime(class string) (mean, work float64) {
	t := n.runTimes[class]
	if t == nil {
		return 0, 0
	}
	mean, work = t.mean, t.work
	for age := n.now - t.lastRun; age >= timingHalfLife && mean > 1; age -= timingHalfLife {
		mean /= 2
		work /= 2
	}
	return mean, work
}

// stretched returns the time that a run of the given normalized time takes from a point in
// time on, of which the given part is work on the target.
func (n *Node) stretched(from gypsumrail.Millis, mean, work float64) gypsumrail.Millis {
	return gypsumrail.Millis(mean + (n.stated.slowdown.Stretch(from, work) - work))
}

// meanRunTime returns the mean run time in milliseconds of runs of a class that begin now.
func (n *Node) meanRunTime(class string) float64 {
	mean, work := n.runTime(class)
	return mean + (n.stated.slowdown.Stretch(n.now, work) - work)
}

// need returns the time that must remain before its deadline for a call of the class
// to be started at a time from now on.
func (n *Node) need(from gypsumrail.Millis, class string) gypsumrail.Millis {
	mean, work := n.runTime(class)
	share := needShare
	if n.slowed() {
		share = needShareSlowed
	}
	return n.stretched(from, mean*share, work*share)
}

// leastNeed returns the smallest need of all classes with a measured run time, or 0.
// Queued calls with less time left are refused.
func (n *Node) leastNeed() gypsumrail.Millis {
	least := gypsumrail.Millis(-1)
	for class := range n.runTimes {
		if need := n.need(n.now, class); least < 0 || need < least {
			least = need
		}
	}
	return max(0, least)
}

// reserve keeps slots for calls of importance ImportanceReserved and above while such
// calls arrive.
type reserve struct {
	running     int // running calls of such importance
	lastArrival gypsumrail.Millis
	hasArrived  bool // lastArrival is set
}

// reserveTTL is the time after the last arrival of such a call for which slots stay
// reserved. A node that receives no such calls reserves nothing.
const reserveTTL = 10 * gypsumrail.Second

// arrived records the arrival of a call in the receiver role.
func (r *reserve) arrived(now gypsumrail.Millis, importance gypsumrail.Importance) {
	if importance >= gypsumrail.ImportanceReserved {
		r.lastArrival = now
		r.hasArrived = true
	}
}

// slots returns the number of slots that are reserved now: the share of the limit,
// at least 1, less the slots that calls of reserved importance occupy. A limit of 1
// leaves none to reserve.
func (r *reserve) slots(now gypsumrail.Millis, limit int, share float64) int {
	if share <= 0 || !r.hasArrived || now-r.lastArrival > reserveTTL || limit < 2 {
		return 0
	}
	return max(0, max(1, int(share*float64(limit)))-r.running)
}
