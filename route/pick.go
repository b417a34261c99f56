package route

import (
	"math/bits"
	"math/rand/v2"
)

// drawsMax is the number of random draws after which pick goes through the
// upstreams in order. If half of them are usable, 12 draws find fewer than three
// candidates in about 2 % of the choices.
const drawsMax = 4 * candidatesMax

// othersShareMin limits the advantage of a low report. The load of other senders
// on a candidate counts as at least this fraction of the mean load per slot that
// the candidates report. In the model of model_test.go at 70 % load, one upstream
// that falsely reports zero raises the mean latency from 20.7 to 22.7 ms without
// this limit and to 21.8 ms with 0.5. Higher values gain little and cost more when
// all reports are true.
const othersShareMin = 0.5

// candidates are the upstreams drawn for one choice.
type candidates struct {
	list [candidatesMax]*upstream
	n    int
}

// pick returns the candidate of a group with the smallest expected delay, or nil
// if no upstream of the group is usable. It draws at random, so that the cost does
// not grow with the group. Only when too many draws hit unusable upstreams does it
// go through the whole group.
func pick(group []*upstream, q *query, random *rand.PCG) (*upstream, float64) {
	if len(group) == 0 {
		return nil, 0
	}
	var found candidates
	// Draw from small groups too. Of equal delays the first candidate wins, and in
	// order the upstream after an unusable one would come first more often.
	want := min(candidatesMax, len(group))
	for i := 0; i < drawsMax && found.n < want; i++ {
		found.add(group[randomIndex(random, len(group))], q)
	}
	if found.n < want {
		found.addInOrder(group, randomIndex(random, len(group)), q)
	}
	return found.best(q)
}

// best returns the candidate with the smallest expected delay.
func (c *candidates) best(q *query) (best *upstream, delay float64) {
	sum := 0.0
	for _, u := range c.list[:c.n] {
		sum += u.reportedOthers(q.now) / float64(u.limitAt(q.now))
	}
	floor := othersShareMin * sum / float64(max(c.n, 1))
	for _, u := range c.list[:c.n] {
		if d := u.expectedDelay(q.now, floor); best == nil || d < delay {
			best, delay = u, d
		}
	}
	return best, delay
}

// randomIndex returns a number from 0 to n-1.
func randomIndex(random *rand.PCG, n int) int {
	high, _ := bits.Mul64(random.Uint64(), uint64(n))
	return int(high)
}

// addInOrder adds usable upstreams from index start on, and continues at the
// beginning of the group, until there are candidatesMax.
func (c *candidates) addInOrder(group []*upstream, start int, q *query) {
	for i := 0; i < len(group) && c.n < candidatesMax; i++ {
		at := start + i
		if at >= len(group) {
			at -= len(group)
		}
		c.add(group[at], q)
	}
}

// add adds an upstream if it is usable, not yet a candidate, and not left out by
// its slow start.
func (c *candidates) add(u *upstream, q *query) {
	for _, known := range c.list[:c.n] {
		if known == u {
			return
		}
	}
	if u.usable(q) && u.passesSlowStart(q) {
		c.list[c.n] = u
		c.n++
	}
}
