package shed

import (
	"cmp"
	"slices"

	"github.com/gypsumrail/gypsumrail"
)

// Bounds of a serviceTable, together about 4,100 entries. Beyond them the least
// recently updated entry is replaced.
const (
	servicesMax  = 64
	upstreamsMax = 64
)

// thresholdAt is a threshold and the time at which its service stated it.
type thresholdAt struct {
	level gypsumrail.Level
	at    gypsumrail.Millis
}

type upstream struct {
	name string
	thresholdAt
}

// service holds the thresholds of one service: those that its upstreams reported
// to this node, and the latest hint from another node.
type service struct {
	name      string
	updated   gypsumrail.Millis
	upstreams []upstream
	hint      thresholdAt
	hasHint   bool
}

// serviceTable holds the known services, at most servicesMax.
type serviceTable struct {
	lifetime gypsumrail.Millis
	byName   map[string]*service
	list     []*service // the same entries, for iteration in a fixed order
}

func newServiceTable(lifetime gypsumrail.Millis) serviceTable {
	return serviceTable{lifetime: lifetime, byName: make(map[string]*service)}
}

// entryFor returns the entry of a service. If the table is full, a new entry
// replaces the least recently updated one.
func (s *serviceTable) entryFor(now gypsumrail.Millis, name string) *service {
	known, found := s.byName[name]
	if !found {
		if len(s.list) < servicesMax {
			known = &service{}
			s.list = append(s.list, known)
		} else {
			known = slices.MinFunc(s.list, func(a, b *service) int { return cmp.Compare(a.updated, b.updated) })
			delete(s.byName, known.name)
		}
		*known = service{name: name, upstreams: known.upstreams[:0]}
		s.byName[name] = known
	}
	known.updated = now
	return known
}

func (s *serviceTable) record(now gypsumrail.Millis, name, instance string, threshold gypsumrail.Level) {
	known := s.entryFor(now, name)
	fresh := upstream{name: instance, thresholdAt: thresholdAt{level: threshold, at: now}}
	for i := range known.upstreams {
		if known.upstreams[i].name == instance {
			known.upstreams[i] = fresh
			return
		}
	}
	if len(known.upstreams) < upstreamsMax {
		known.upstreams = append(known.upstreams, fresh)
		return
	}
	oldest := 0
	for i, other := range known.upstreams {
		if other.at < known.upstreams[oldest].at {
			oldest = i
		}
	}
	known.upstreams[oldest] = fresh
}

func (s *serviceTable) recordHint(now gypsumrail.Millis, hint gypsumrail.Hint) {
	if hint.Age < 0 || hint.Age > s.lifetime {
		return
	}
	known := s.entryFor(now, hint.Service)
	if at := now - hint.Age; !known.hasHint || at >= known.hint.at {
		known.hint, known.hasHint = thresholdAt{level: hint.Threshold, at: at}, true
	}
}

// threshold returns the threshold of a service: the smallest of its upstreams,
// because a call can go to that upstream. The hint is used only if no upstream has
// reported within s.lifetime.
func (s *serviceTable) threshold(now gypsumrail.Millis, name string) (thresholdAt, bool) {
	known, found := s.byName[name]
	if !found {
		return thresholdAt{}, false
	}
	return known.threshold(now, s.lifetime)
}

func (s *service) threshold(now, lifetime gypsumrail.Millis) (thresholdAt, bool) {
	var least thresholdAt
	found := false
	for _, other := range s.upstreams {
		if now-other.at <= lifetime && (!found || other.level < least.level) {
			least, found = other.thresholdAt, true
		}
	}
	if !found && s.hasHint && now-s.hint.at <= lifetime {
		return s.hint, true
	}
	return least, found
}

func (s *serviceTable) hints(now gypsumrail.Millis, limit int, dst []gypsumrail.Hint) []gypsumrail.Hint {
	start := len(dst)
	for _, known := range s.list {
		if least, found := known.threshold(now, s.lifetime); found && least.level > 0 {
			dst = append(dst, gypsumrail.Hint{Service: known.name, Threshold: least.level, Age: now - least.at})
		}
	}
	slices.SortFunc(dst[start:], func(a, b gypsumrail.Hint) int {
		return cmp.Or(cmp.Compare(b.Threshold, a.Threshold), cmp.Compare(a.Service, b.Service))
	})
	return dst[:min(len(dst), start+max(0, limit))]
}
