package route

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/gypsumrail/gypsumrail"
)

// Explain returns for each upstream of a service, ordered by name, why it can or
// cannot be chosen. It returns nil for an unknown service.
func (r *Router) Explain(now gypsumrail.Millis, choice gypsumrail.Choice) []gypsumrail.Explained {
	s, q, capabilitiesKnown := r.newQuery(now, &choice)
	if s == nil {
		return nil
	}
	if s.mostEjectedOrLost(&q) && !slices.ContainsFunc(s.upstreams, func(u *upstream) bool { return u.usable(&q) }) {
		q.skipEjected, q.skipDown = false, false // as in Choose
	}
	out := make([]gypsumrail.Explained, 0, len(s.upstreams))
	for _, u := range s.upstreams {
		why, usable := u.describe(&q, capabilitiesKnown)
		out = append(out, gypsumrail.Explained{
			Instance: u.Instance.Name, Zone: u.Instance.Zone, Usable: usable, Why: why,
			Outstanding: u.outstanding, Limit: u.limitAt(q.now), Expected: gypsumrail.Millis(math.Ceil(u.expectedDelay(q.now, 0))),
			Slowdown: u.slowdownAt(q.now),
		})
	}
	slices.SortFunc(out, func(a, b gypsumrail.Explained) int { return cmp.Compare(a.Instance, b.Instance) })
	return out
}

// describedFaultShare is the share of faults from which an explanation names it.
const describedFaultShare = 0.05

func (u *upstream) describe(q *query, capabilitiesKnown bool) (string, bool) {
	switch {
	case u.detector.lost:
		return "its node does not answer", false
	case u.leaving:
		return "the instance is leaving", false
	case !capabilitiesKnown || !u.capable(q):
		return "a needed capability is missing", false
	case u.excluded(q):
		return "it was already tried", false
	case u.refuses(q):
		return "its reported threshold is above the level", false
	case u.down(q.now) && q.skipDown:
		return "it is ejected: its node or its target cannot be reached", false
	case u.ejected(q.now) && q.skipEjected:
		return "it is ejected after repeated failures", false
	case u.ejected(q.now):
		return "usable: it failed repeatedly, but so did most of the service", true
	case u.faultDelay(q.now) >= faultCost*describedFaultShare:
		return fmt.Sprintf("usable, but its target fails %.0f%% of its calls by itself", 100*u.faultShare), true
	case u.suspect:
		return "usable only if no other is: a peer did not reach it", true
	case q.now < u.coldUntil:
		return "usable with a reduced share: it is cold", true
	}
	return "usable", true
}
