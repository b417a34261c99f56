package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumrail/gypsumrail"
)

// capabilitiesMax is the number of different capabilities in one service, the
// bits of a word. Further ones count as not offered.
const capabilitiesMax = 64

// service is the list of upstreams of one service.
type service struct {
	upstreams    []*upstream // own zone first, then by name
	own          int         // number in the own zone
	capabilities []string    // the index is the bit
	coldStart    gypsumrail.Millis
	zoneDelay    float64 // ms
	zoneFactor   float64 // see Settings.ZoneFactor; at least 1
	latency      float64 // ms, moving average over all upstreams; 0 if unknown

	suspects  int               // number of suspect upstreams
	coldUntil gypsumrail.Millis // no upstream is cold from here on

	recount    bool // the ejections changed
	countUntil gypsumrail.Millis
	ejecting   bool
}

// need returns the bits of the capabilities, or false if no upstream offers one of them.
func (s *service) need(capabilities []string) (uint64, bool) {
	var bits uint64
	for _, name := range capabilities {
		i := slices.Index(s.capabilities, name)
		if i < 0 {
			return 0, false
		}
		bits |= 1 << i
	}
	return bits, true
}

// offer returns the bits of the capabilities and adds new ones.
func (s *service) offer(capabilities []string) uint64 {
	var bits uint64
	for _, name := range capabilities {
		i := slices.Index(s.capabilities, name)
		if i < 0 && len(s.capabilities) < capabilitiesMax {
			i = len(s.capabilities)
			s.capabilities = append(s.capabilities, name)
		}
		if i >= 0 {
			bits |= 1 << i
		}
	}
	return bits
}

// SetUpstreams replaces the upstreams of a service and keeps what was learned
// of those that stay. Upstreams that started less than the cold start ago get a
// slow start. Of entries with the same name the first counts.
func (r *Router) SetUpstreams(now gypsumrail.Millis, name string, list []gypsumrail.Upstream) {
	now = r.clock(now)
	s, known := r.services[name]
	if !known {
		s = &service{}
		r.services[name] = s
	}
	r.tune(s, name)
	before := s.upstreams
	s.upstreams, s.capabilities, s.own, s.suspects, s.recount = make([]*upstream, 0, len(list)), nil, 0, 0, true
	r.lists++
	for _, entry := range list {
		u := r.upstreams[entry.Instance.Name]
		if u == nil {
			u = &upstream{Upstream: entry, salt: xxhash.Sum64String(entry.Instance.Name), service: s}
			r.upstreams[entry.Instance.Name] = u
			u.chill(r.started(s, now, entry.Instance.Incarnation, known))
			if cold := entry.Instance.Cold; cold > 0 {
				u.coldFrom, u.coldUntil = now, now+cold
			}
		} else if u.list == r.lists {
			continue
		}
		u.service, u.list = s, r.lists
		u.listed++
		u.update(now, entry)
		u.offers = s.offer(entry.Capabilities)
		// The upstream may come from another list object of the service, which was
		// dropped while it was empty.
		s.coldUntil = max(s.coldUntil, u.coldUntil)
		if entry.Instance.Zone == r.self.Zone {
			s.own++
		}
		if u.suspect {
			s.suspects++
		}
		s.upstreams = append(s.upstreams, u)
	}
	slices.SortFunc(s.upstreams, func(a, b *upstream) int {
		if a.Instance.Zone != b.Instance.Zone {
			if a.Instance.Zone == r.self.Zone {
				return -1
			}
			if b.Instance.Zone == r.self.Zone {
				return 1
			}
		}
		return cmp.Compare(a.Instance.Name, b.Instance.Name)
	})
	for _, u := range before {
		u.listed--
		r.release(u)
	}
	if len(s.upstreams) == 0 {
		delete(r.services, name)
	}
}

// started returns when an upstream that was not known before started, on the
// own clock. Incarnations hold the start time, so the difference to the own one
// tells it, up to the difference of the hosts' clocks; but not later than now.
// Without it, an upstream counts as just started if the service had upstreams
// before, and as warm in the first list: then this sender is new, not they.
func (r *Router) started(s *service, now gypsumrail.Millis, incarnation gypsumrail.Incarnation, known bool) gypsumrail.Millis {
	const incarnationBits = 20 // below the milliseconds
	switch {
	case incarnation != 0 && r.self.Incarnation != 0:
		after := gypsumrail.Millis(incarnation>>incarnationBits) - gypsumrail.Millis(r.self.Incarnation>>incarnationBits)
		return min(r.first+after, now)
	case known:
		return now
	}
	return now - s.coldStart
}

func (r *Router) tune(s *service, name string) {
	var tuning Tuning
	if r.settings.Tuning != nil {
		tuning = r.settings.Tuning(name)
	}
	if tuning.ColdStart <= 0 {
		tuning.ColdStart = defaultColdStart
	}
	if tuning.ZoneDelay <= 0 {
		tuning.ZoneDelay = defaultZoneDelay
	}
	s.coldStart, s.zoneDelay = tuning.ColdStart, float64(tuning.ZoneDelay)
	s.zoneFactor = max(r.settings.ZoneFactor, 1)
}

// update takes a new entry of the list. A report may have told a later
// incarnation than the list, which lags; the later one stays. Leaving is final
// within one incarnation.
func (u *upstream) update(now gypsumrail.Millis, entry gypsumrail.Upstream) {
	if entry.Instance.Incarnation > u.Instance.Incarnation {
		u.restart(now, entry.Instance.Incarnation)
	}
	incarnation := u.Instance.Incarnation
	current := entry.Instance.Incarnation == incarnation || entry.Instance.Incarnation == 0
	u.Upstream = entry
	u.Instance.Incarnation = incarnation
	u.suspect = current && entry.Instance.State == gypsumrail.Suspect
	u.leaving = u.leaving || current && entry.Instance.State == gypsumrail.Leaving
}
