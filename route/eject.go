package route

import (
	"math"

	"github.com/gypsumrail/gypsumrail"
)

const (
	failuresToEject = 5
	ejectFirst      = gypsumrail.Second
	// ejectMax is the recovery time that the requirements allow: an upstream that
	// works again must not stay out for longer. Trying a dead one costs each sender
	// one refused attempt in this time.
	ejectMax = 2 * gypsumrail.Second
)

// ejectGone is how long an upstream stays out whose address another instance
// has. The list names it for a few more seconds at most.
const ejectGone = 10 * gypsumrail.Second

// gone ejects an upstream that is no longer at its address.
func (u *upstream) gone(now gypsumrail.Millis) {
	u.ejectedUntil = now + ejectGone
	u.service.recount = true
}

// unreachable ejects an upstream at once: that no connection can be opened is
// no matter of chance, and each further try costs a call the time of a handshake.
func (u *upstream) unreachable(now gypsumrail.Millis) {
	if !u.ejected(now) {
		u.failures = failuresToEject - 1
	}
	u.fail(now)
}

// fail counts a failure. At the fifth in a row the upstream is ejected; after
// that each further failure ejects it again, for twice as long, until an answer
// arrives. Failures while it is ejected are of calls sent before and do not count.
func (u *upstream) fail(now gypsumrail.Millis) {
	if u.ejected(now) {
		return
	}
	u.failures = min(u.failures+1, failuresToEject)
	if u.failures < failuresToEject {
		return
	}
	span := min(ejectFirst<<u.ejections, ejectMax)
	if span < ejectMax {
		u.ejections++
	}
	u.ejectedUntil = now + span
	u.service.recount = true
}

// ejects tells whether ejection applies: some upstream is ejected, but not more
// than half of the service. If more than half fail, the fault is not with single
// upstreams, and ejecting them would only load the rest. The count is kept until
// an ejection starts or ends.
func (s *service) ejects(now gypsumrail.Millis) bool {
	if !s.recount && now < s.countUntil {
		return s.ejecting
	}
	s.recount, s.countUntil = false, math.MaxInt64
	all, out := 0, 0
	for _, u := range s.upstreams {
		if u.leaving {
			continue
		}
		all++
		if u.ejected(now) {
			out++
			s.countUntil = min(s.countUntil, u.ejectedUntil)
		}
	}
	s.ejecting = out > 0 && 2*out <= all
	return s.ejecting
}

// mostEjected applies the same rule to the upstreams that have the needed
// capabilities. Choose uses it when nothing else is usable, so that a class
// which few upstreams can serve is not cut off. Lost upstreams count as failing:
// one that drains serves what it gets, and is then better than none.
func (s *service) mostEjected(q *query) bool {
	all, out := 0, 0
	for _, u := range s.upstreams {
		if !u.capable(q) {
			continue
		}
		all++
		if u.ejected(q.now) || u.quiet.lost {
			out++
		}
	}
	return 2*out > all
}
