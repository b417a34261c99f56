package route

import (
	"math/bits"
	"math/rand/v2"
)

// drawsMax bounds the random draws before pick visits the upstreams in order.
// With half of them usable, 12 draws miss three candidates in about 2 % of the choices.
const drawsMax = 4 * choices

// leastOthers limits how much a low report can gain: an upstream counts with at
// least this part of the mean load that the candidates report per slot. In the
// model of model_test.go at 70 % load, one upstream falsely reporting zero raises
// the mean latency from 20.7 to 22.7 ms without this limit and to 21.8 ms with
// 0.5. Values above that gain little and cost more when all reports are true.
const leastOthers = 0.5

// candidates are the upstreams drawn for one choice.
type candidates struct {
	list [choices]*upstream
	n    int
}

// pick returns the candidate of a group with the smallest expected delay, or nil
// if no upstream of the group is usable. It draws at random, so that its cost
// does not grow with the group, and visits all of the group only when too many
// draws hit unusable upstreams.
func pick(group []*upstream, q *query, random *rand.PCG) (*upstream, float64) {
	if len(group) == 0 {
		return nil, 0
	}
	var found candidates
	// A small group is drawn too: equal delays are decided by the order, and in a
	// visit the upstream behind an unusable one would come first more often.
	want := min(choices, len(group))
	for i := 0; i < drawsMax && found.n < want; i++ {
		found.add(group[draw(random, len(group))], q)
	}
	if found.n < want {
		found.visit(group, draw(random, len(group)), q)
	}
	return found.best(q)
}

// best returns the candidate with the smallest expected delay.
func (c *candidates) best(q *query) (best *upstream, delay float64) {
	sum := 0.0
	for _, u := range c.list[:c.n] {
		sum += u.reportedOthers(q.now) / float64(u.limitAt(q.now))
	}
	floor := leastOthers * sum / float64(max(c.n, 1))
	for _, u := range c.list[:c.n] {
		if d := u.expected(q.now, floor); best == nil || d < delay {
			best, delay = u, d
		}
	}
	return best, delay
}

// draw returns a number from 0 to n-1.
func draw(random *rand.PCG, n int) int {
	high, _ := bits.Mul64(random.Uint64(), uint64(n))
	return int(high)
}

// visit adds usable upstreams in order from the start.
func (c *candidates) visit(group []*upstream, start int, q *query) {
	for i := 0; i < len(group) && c.n < choices; i++ {
		at := start + i
		if at >= len(group) {
			at -= len(group)
		}
		c.add(group[at], q)
	}
}

func (c *candidates) add(u *upstream, q *query) {
	for _, known := range c.list[:c.n] {
		if known == u {
			return
		}
	}
	if u.usable(q) && u.warmEnough(q) {
		c.list[c.n] = u
		c.n++
	}
}
