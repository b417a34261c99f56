package route

import (
	"math"

	"github.com/gypsumrail/gypsumrail"
)

const (
	failuresToEject = 5
	ejectTimeFirst  = gypsumrail.Second
	// ejectTimeMax is the recovery time that the requirements allow: an upstream that
	// works again must not stay ejected for longer. Retrying a dead one costs each
	// sender one failed attempt in this time.
	ejectTimeMax = 2 * gypsumrail.Second
)

// ejectTimeMisdirected is the time for which an upstream is ejected if another
// instance has its address. The instance list contains it for at most a few more
// seconds.
const ejectTimeMisdirected = 10 * gypsumrail.Second

// ejectMisdirected ejects an upstream whose address now belongs to another instance.
func (u *upstream) ejectMisdirected(now gypsumrail.Millis) {
	u.ejectedUntil, u.unreachable = now+ejectTimeMisdirected, false
	u.service.recountEjected = true
}

// ejectUnreachable ejects an upstream at its first failed connection, or when its target
// ended. Such a failure is not random, and each further attempt costs a call the time of
// a handshake.
func (u *upstream) ejectUnreachable(now gypsumrail.Millis) {
	if !u.ejected(now) {
		u.failures = failuresToEject - 1
	}
	u.countFailure(now, true)
}

// countFailure counts a failed attempt. The fifth consecutive failure ejects the
// upstream. Each further failure ejects it again, for twice as long up to
// ejectTimeMax, until an answer resets the count. Failures during an ejection
// belong to calls sent before it and do not count.
func (u *upstream) countFailure(now gypsumrail.Millis, unreachable bool) {
	if u.ejected(now) {
		return
	}
	u.unreachable = unreachable
	u.failures = min(u.failures+1, failuresToEject)
	if u.failures < failuresToEject {
		return
	}
	ejectTime := min(ejectTimeFirst<<u.ejections, ejectTimeMax)
	if ejectTime < ejectTimeMax {
		u.ejections++
	}
	u.ejectedUntil = now + ejectTime
	u.service.recountEjected = true
}

// checkEjections reports whether ejections apply: of the upstreams of the service that
// are not down, at least one is ejected, but not more than half. If more than half fail,
// the cause is not in single upstreams, and ejecting them would only overload the rest.
// The result is cached until an ejection starts or ends.
func (s *service) checkEjections(now gypsumrail.Millis) bool {
	if !s.recountEjected && now < s.countValidUntil {
		return s.ejectionApplies
	}
	s.recountEjected, s.countValidUntil = false, math.MaxInt64
	all, ejectedCount := 0, 0
	for _, u := range s.upstreams {
		if u.leaving {
			continue
		}
		if u.ejected(now) {
			s.countValidUntil = min(s.countValidUntil, u.ejectedUntil)
		}
		if u.down(now) {
			continue
		}
		all++
		if u.ejected(now) {
			ejectedCount++
		}
	}
	s.ejectionApplies = ejectedCount > 0 && 2*ejectedCount <= all
	return s.ejectionApplies
}

// mostEjectedOrLost reports whether more than half of the upstreams with the needed
// capabilities are ejected or lost. Choose then ignores ejections if nothing else
// is usable, so that a class that few upstreams can serve is not cut off. Lost
// upstreams count too: an upstream ejected because it drains still serves the
// calls that it gets, which is better than none.
func (s *service) mostEjectedOrLost(q *query) bool {
	all, count := 0, 0
	for _, u := range s.upstreams {
		if !u.capable(q) {
			continue
		}
		all++
		if u.ejected(q.now) || u.detector.lost {
			count++
		}
	}
	return 2*count > all
}
