package core

import "github.com/gypsumrail/gypsumrail"

// timing is the learned run time of one class on the own target.
type timing struct {
	mean float64 // milliseconds, exponentially weighted
	seen gypsumrail.Millis
}

const (
	// timingWeight is the weight of one run in the mean: about the last 16 runs count.
	timingWeight = 1.0 / 16
	// timingHalfLife halves a mean that no run confirms, so that an estimate made
	// while the target was slow does not refuse all later calls of the class.
	timingHalfLife = gypsumrail.Second
	// needShare is the part of the mean that a call must have left to be worth
	// starting. Runs shorter than the mean are common, so the whole mean would
	// refuse calls that can still finish.
	needShare = 0.5
	// timingsMax bounds the classes that are learned.
	timingsMax = 256
)

func (n *Node) learnTime(class string, latency gypsumrail.Millis) {
	t := n.times[class]
	if t == nil {
		if len(n.times) >= timingsMax {
			return
		}
		t = &timing{mean: float64(latency)}
		n.times[class] = t
	}
	t.mean += (float64(latency) - t.mean) * timingWeight
	t.seen = n.now
}

// meanTime returns the expected run time of a class in milliseconds.
func (n *Node) meanTime(class string) float64 {
	t := n.times[class]
	if t == nil {
		return 0
	}
	mean := t.mean
	for age := n.now - t.seen; age >= timingHalfLife && mean > 1; age -= timingHalfLife {
		mean /= 2
	}
	return mean
}

// need returns the time that a call of the class must have left to be started.
func (n *Node) need(class string) gypsumrail.Millis {
	return gypsumrail.Millis(n.meanTime(class) * needShare)
}

// leastNeed returns the smallest need of any class, for calls that wait.
func (n *Node) leastNeed() gypsumrail.Millis {
	least := gypsumrail.Millis(-1)
	for class := range n.times {
		if need := n.need(class); least < 0 || need < least {
			least = need
		}
	}
	return max(0, least)
}

// reserve keeps slots for the most important classes while they are in use.
type reserve struct {
	running int
	seen    gypsumrail.Millis
	known   bool
}

// reserveLife is how long slots stay reserved after the last important call. A
// node that gets no such calls reserves nothing.
const reserveLife = 10 * gypsumrail.Second

func (r *reserve) arrived(now gypsumrail.Millis, importance gypsumrail.Importance) {
	if importance >= gypsumrail.ImportanceReserved {
		r.seen = now
		r.known = true
	}
}

// slots returns how many of the limit only important calls may use now: the
// share, less what important calls already occupy.
func (r *reserve) slots(now gypsumrail.Millis, limit int, share float64) int {
	if share <= 0 || !r.known || now-r.seen > reserveLife || limit < 2 {
		return 0
	}
	return max(0, max(1, int(share*float64(limit)))-r.running)
}
