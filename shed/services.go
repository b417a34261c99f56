package shed

import (
	"cmp"
	"slices"

	"github.com/gypsumrail/gypsumrail"
)

// Bounds on what is kept about other services. Together they limit it to about
// 4,100 entries; beyond them the least recently updated entry is replaced.
const (
	servicesMax  = 64
	upstreamsMax = 64
)

// stated is a threshold and the time at which its owner stated it.
type stated struct {
	level gypsumrail.Level
	at    gypsumrail.Millis
}

type upstream struct {
	name string
	stated
}

// service is what is known about one service: what its upstreams reported to
// this node, and what other nodes said about it.
type service struct {
	name      string
	updated   gypsumrail.Millis
	upstreams []upstream
	hint      stated
	hinted    bool
}

type services struct {
	life   gypsumrail.Millis
	byName map[string]*service
	list   []*service // the same entries, for walks in a fixed order
}

func newServices(life gypsumrail.Millis) services {
	return services{life: life, byName: make(map[string]*service)}
}

// entry returns the entry of a service and makes room for it if needed.
func (s *services) entry(now gypsumrail.Millis, name string) *service {
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

func (s *services) learn(now gypsumrail.Millis, name, instance string, threshold gypsumrail.Level) {
	known := s.entry(now, name)
	fresh := upstream{name: instance, stated: stated{level: threshold, at: now}}
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

func (s *services) learnHint(now gypsumrail.Millis, hint gypsumrail.Hint) {
	if hint.Age < 0 || hint.Age > s.life {
		return
	}
	known := s.entry(now, hint.Service)
	if at := now - hint.Age; !known.hinted || at >= known.hint.at {
		known.hint, known.hinted = stated{level: hint.Threshold, at: at}, true
	}
}

// threshold returns the threshold of a service: the smallest of its upstreams,
// because a call can go to that one. Hints count only if no upstream reported
// within the life of a report.
func (s *services) threshold(now gypsumrail.Millis, name string) (stated, bool) {
	known, found := s.byName[name]
	if !found {
		return stated{}, false
	}
	return known.threshold(now, s.life)
}

func (s *service) threshold(now, life gypsumrail.Millis) (stated, bool) {
	var least stated
	found := false
	for _, other := range s.upstreams {
		if now-other.at <= life && (!found || other.level < least.level) {
			least, found = other.stated, true
		}
	}
	if !found && s.hinted && now-s.hint.at <= life {
		return s.hint, true
	}
	return least, found
}

func (s *services) hints(now gypsumrail.Millis, limit int, dst []gypsumrail.Hint) []gypsumrail.Hint {
	start := len(dst)
	for _, known := range s.list {
		if least, found := known.threshold(now, s.life); found && least.level > 0 {
			dst = append(dst, gypsumrail.Hint{Service: known.name, Threshold: least.level, Age: now - least.at})
		}
	}
	slices.SortFunc(dst[start:], func(a, b gypsumrail.Hint) int {
		return cmp.Or(cmp.Compare(b.Threshold, a.Threshold), cmp.Compare(a.Service, b.Service))
	})
	return dst[:min(len(dst), start+max(0, limit))]
}
