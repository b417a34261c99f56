package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/spill"
)

// capabilitiesMax is the number of different capabilities in one service: one per
// bit of a word. Further ones count as missing.
const capabilitiesMax = 64

// service holds the upstreams of one service and their common statistics.
type service struct {
	upstreams    []*upstream // own zone first, then by name
	ownCount     int         // number of upstreams in the own zone
	capabilities []string    // the index is the bit
	coldStart    gypsumrail.Millis
	zoneDelay    float64 // ms
	zoneFactor   float64 // see Settings.ZoneFactor; at least 1
	latency      float64 // ms, EWMA over all upstreams; 0 if unknown

	suspects  int               // number of suspect upstreams
	coldUntil gypsumrail.Millis // from this time on no upstream is cold

	recountEjected  bool              // ejectionApplies is outdated: the list or an ejection changed
	countValidUntil gypsumrail.Millis // time at which the next ejection ends
	ejectionApplies bool

	zones *zoneState // nil without Settings.Balance
}

// capabilityBits returns the capabilities as bits. It returns false if any of them
// is offered by no upstream of the service.
func (s *service) capabilityBits(capabilities []string) (uint64, bool) {
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

// addCapabilities returns the capabilities as bits, and assigns a bit to each new one.
func (s *service) addCapabilities(capabilities []string) uint64 {
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

// SetUpstreams replaces the upstreams of a service. Those that stay keep their
// statistics. Upstreams that started less than the service's cold start ago get a
// slow start. Of several entries with the same name the first applies.
func (r *Router) SetUpstreams(now gypsumrail.Millis, name string, list []gypsumrail.Upstream) {
	now = r.advance(now)
	s, known := r.services[name]
	if !known {
		s = &service{}
		r.services[name] = s
	}
	r.tune(s, name)
	before := s.upstreams
	s.upstreams, s.capabilities, s.ownCount, s.suspects, s.recountEjected = make([]*upstream, 0, len(list)), nil, 0, 0, true
	r.listNumber++
	for _, entry := range list {
		u := r.upstreams[entry.Instance.Name]
		if u == nil {
			u = &upstream{Upstream: entry, salt: xxhash.Sum64String(entry.Instance.Name), service: s}
			r.upstreams[entry.Instance.Name] = u
			u.beginSlowStart(r.startTime(s, now, entry.Instance.Incarnation, known))
			if cold := entry.Instance.Cold; cold > 0 {
				u.coldFrom, u.coldUntil = now, now+cold
			}
		} else if u.lastList == r.listNumber {
			continue
		}
		u.service, u.lastList = s, r.listNumber
		u.listedBy++
		u.update(now, entry)
		u.capabilityBits = s.addCapabilities(entry.Capabilities)
		// The upstream may belong to an earlier service object of the same name, which
		// was deleted when its list was empty.
		s.coldUntil = max(s.coldUntil, u.coldUntil)
		if entry.Instance.Zone == r.self.Zone {
			s.ownCount++
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
	r.groupZones(s)
	for _, u := range before {
		u.listedBy--
		if u.listedBy == 0 && u.zone != spill.Home {
			u.zone = spill.Unlisted // the index may stand for another zone now
		}
		r.removeIfUnused(u)
	}
	if len(s.upstreams) == 0 {
		delete(r.services, name)
	}
}

// startTime returns, on this process's clock, when an upstream that is new to the
// router started. An incarnation contains the start time, so the difference of the
// upstream's and this node's incarnations gives it, except for the difference of
// the two hosts' clocks. It is capped at now. If an incarnation is unknown, the
// upstream counts as just started if the service was already known. Otherwise
// this sender is new rather than the upstream, which counts as warm.
func (r *Router) startTime(s *service, now gypsumrail.Millis, incarnation gypsumrail.Incarnation, known bool) gypsumrail.Millis {
	const incarnationBits = 20 // number of bits below the milliseconds
	switch {
	case incarnation != 0 && r.self.Incarnation != 0:
		after := gypsumrail.Millis(incarnation>>incarnationBits) - gypsumrail.Millis(r.self.Incarnation>>incarnationBits)
		return min(r.startedAt+after, now)
	case known:
		return now
	}
	return now - s.coldStart
}

// tune sets the values of a service from Settings.
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

// update applies an entry of a new list. The list lags: a report may already have
// given a later incarnation, which is kept. Leaving is final within one
// incarnation.
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
