package route

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/spill"
)

// Balance makes a Router decide with package spill when calls leave the own zone.
type Balance struct {
	PricePerKB float64 // ms that a call must gain for each KB that it sends to another zone and back
}

// zoneGroup holds the upstreams of a service in one zone other than the own.
type zoneGroup struct {
	name      string
	upstreams []*upstream
}

// zoneState is the state of a service with a Balance.
type zoneState struct {
	price    float64
	balance  spill.Balance
	groups   []zoneGroup // by name
	offers   []spill.Zone
	traffic  map[string]*traffic // by zone; kept while the service has upstreams
	bytes    float64             // of all calls, both ways
	calls    float64
	leaving  bool // the begin of leaving was reported
	leftLast gypsumrail.Millis
}

// traffic counts what was exchanged with one other zone.
type traffic struct{ calls, bytes uint64 }

// unlistedZone stands for the zones beyond spill.ZonesMax in the counts.
const unlistedZone = "other"

var _ gypsumrail.ZoneBalancer = (*Router)(nil)

// groupZones groups the upstreams of a service by zone. It does nothing without a Balance.
func (r *Router) groupZones(s *service) {
	if r.settings.Balance == nil {
		return
	}
	if s.zones == nil {
		s.zones = &zoneState{price: r.settings.Balance.PricePerKB, traffic: make(map[string]*traffic)}
	}
	z := s.zones
	z.groups = z.groups[:0]
	for _, u := range s.upstreams[:s.ownCount] {
		u.zone = spill.Home
	}
	others := slices.Clone(s.upstreams[s.ownCount:])
	slices.SortStableFunc(others, func(a, b *upstream) int { return cmp.Compare(a.Instance.Zone, b.Instance.Zone) })
	for _, u := range others {
		last := len(z.groups) - 1
		if last < 0 || z.groups[last].name != u.Instance.Zone {
			z.groups = append(z.groups, zoneGroup{name: u.Instance.Zone})
			last++
		}
		u.zone = last
		z.groups[last].upstreams = append(z.groups[last].upstreams, u)
	}
	names := make([]string, len(z.groups))
	for i := range z.groups {
		names[i] = z.groups[i].name
	}
	z.balance.SetZones(names)
}

// rebalance updates the fractions of a service if that is due.
func (s *service) rebalance(now gypsumrail.Millis) {
	z := s.zones
	if !z.balance.Due(now) {
		return
	}
	z.offers = z.offers[:0]
	for i := range z.groups[:min(len(z.groups), spill.ZonesMax)] {
		z.offers = append(z.offers, offerOf(z.groups[i].upstreams, now))
	}
	z.balance.Update(now, offerOf(s.upstreams[:s.ownCount], now), z.offers)
	if z.balance.Fraction() > 0 {
		z.leftLast = now
	}
}

// offerOf sums the limits of the upstreams of one zone that get calls. Targets that fail by
// themselves look idle but are no room.
func offerOf(group []*upstream, now gypsumrail.Millis) spill.Zone {
	var offer spill.Zone
	for _, u := range group {
		if !u.leaving && !u.suspect && !u.detector.lost && !u.ejected(now) && !u.fails(now) {
			offer.Usable = true
			offer.Slots += float64(u.limitAt(now))
		}
	}
	return offer
}

// reportLoad passes the last report of an upstream to the balance of its service.
func (u *upstream) reportLoad(now gypsumrail.Millis, inFlight int, refused bool) {
	if u.service.zones != nil {
		u.service.zones.balance.Report(now, u.zone, spill.Report{
			Calls: max(inFlight, 0) + u.queued, Limit: float64(u.limitAt(now)), Refuses: u.threshold > 0, Refused: refused,
		})
	}
}

// bestBalanced is best for a service with a Balance.
func (s *service) bestBalanced(q *query, random *rand.PCG) *upstream {
	z := s.zones
	own, _ := pick(s.upstreams[:s.ownCount], q, random)
	if own == nil && !s.refusedAtHome(q) {
		return s.bestAbroad(q, random)
	}
	if !q.home {
		if other := s.bestOfWorking(own, q, random); other != nil {
			return other
		}
		if i, probe := z.balance.Pick(q.random, own == nil); i != spill.Home {
			if other, _ := pick(z.groups[i].upstreams, q, random); other != nil && (probe || s.worthwhile(own, other, q)) {
				return other
			}
		}
	}
	if own != nil && !q.home {
		if other := s.relief(own, q, random); other != nil {
			return other
		}
	}
	return own
}

// slowFactor is how many times longer than usual calls must take at the best upstream of the
// own zone for the zone to count as slow.
const slowFactor = 2

// relief returns an upstream of another zone for a call that the own zone would serve late,
// whatever the fraction. A zone with one or two targets has no other one to even out a burst,
// or a target that has become slow, and the fraction follows too slowly for either. It returns
// nil if the call should stay.
func (s *service) relief(own *upstream, q *query, random *rand.PCG) *upstream {
	if s.ownCount >= candidatesMax {
		return nil
	}
	ownTime := own.latencyAt(q.now)
	if !own.isFull(q.now) && ownTime <= slowFactor*s.latency {
		return nil
	}
	other, _ := pick(s.upstreams[s.ownCount:], q, random)
	if other == nil || other.isFull(q.now) {
		return nil
	}
	stay := spill.Side{Wait: own.waitAt(q.now) + max(ownTime-other.latencyAt(q.now), 0)}
	if !spill.Worthwhile(stay, spill.Side{}, s.priceOf(own, other, q)) {
		return nil
	}
	return other
}

// bestOfWorking returns the best upstream of the other zones if the targets of all usable
// upstreams of the own zone fail by themselves and that of the other does not. Such a zone
// serves nothing but looks idle, so it is never short and no fraction of its calls leaves.
func (s *service) bestOfWorking(own *upstream, q *query, random *rand.PCG) *upstream {
	if own == nil || !own.fails(q.now) {
		return nil
	}
	if slices.ContainsFunc(s.upstreams[:s.ownCount], func(u *upstream) bool { return u.usable(q) && !u.fails(q.now) }) {
		return nil
	}
	other, _ := pick(s.upstreams[s.ownCount:], q, random)
	if other == nil || other.fails(q.now) {
		return nil
	}
	return other
}

// bestAbroad returns the best upstream of the other zones for a call without a usable one
// in the own zone.
func (s *service) bestAbroad(q *query, random *rand.PCG) *upstream {
	other, _ := pick(s.upstreams[s.ownCount:], q, random)
	if other == nil && !q.ignoreSlowStart && q.now < s.coldUntil {
		q.ignoreSlowStart = true // all usable upstreams are cold
		return s.best(q, random)
	}
	return other
}

// refusedAtHome reports whether the own zone has upstreams for a call and all of them
// refuse its level. Such a zone is short of capacity; it is not without upstreams.
func (s *service) refusedAtHome(q *query) bool {
	refused := false
	for _, u := range s.upstreams[:s.ownCount] {
		if !u.usableAtAnyLevel(q) {
			continue
		}
		if !u.refuses(q) {
			return false
		}
		refused = true
	}
	return refused
}

// worthwhile compares what a call costs at the upstream own, which is nil if all upstreams
// of the own zone refuse its level, and at one of another zone.
func (s *service) worthwhile(own, other *upstream, q *query) bool {
	// While thresholds refuse levels, a call that stays takes the slot of one that is refused.
	stay := spill.Side{Refuses: own == nil || s.zones.balance.Refuses()}
	if own != nil {
		stay.Wait = own.waitAt(q.now)
	}
	return spill.Worthwhile(stay, spill.Side{Wait: other.waitAt(q.now)}, s.priceOf(own, other, q))
}

// priceOf returns what a call loses by going to an upstream of another zone. The upstream
// own is nil if all upstreams of the own zone refuse its level.
func (s *service) priceOf(own, other *upstream, q *query) spill.Price {
	faults := other.faultDelay(q.now)
	if own != nil {
		faults = max(faults-own.faultDelay(q.now), 0)
	}
	return spill.Price{
		RoundTrip: 2 * s.zoneDelay, Bytes: q.bytes, PerKB: s.zones.price, Below: q.below(other.Instance.Zone), Faults: faults,
	}
}

// waitAt returns the expected time until one more call starts to run, in ms.
func (u *upstream) waitAt(now gypsumrail.Millis) float64 {
	calls := float64(u.outstanding) + u.reportedOthers(now) + 1
	return spill.Wait(calls/(float64(u.limitAt(now))*u.slowStartShare(now)), u.latencyAt(now))
}

// below returns the time that the calls below a call lose if they are made from another
// zone, in ms.
func (q *query) below(zone string) float64 {
	sum := 0.0
	for _, name := range q.servicesBelow {
		if s := q.router.services[name]; s != nil && s.zones != nil {
			sum += s.lossFrom(zone)
		}
	}
	return sum
}

// lossFrom returns what one call to the service loses on average by being made from
// another zone, in ms.
func (s *service) lossFrom(zone string) float64 {
	z := s.zones
	i, ok := z.balance.Index(zone)
	if !ok {
		mean := 0.0
		if z.calls > 0 {
			mean = z.bytes / z.calls
		}
		return 2*s.zoneDelay + z.price*mean/1000 // no upstream there: the call crosses zones
	}
	here, known := z.balance.In(spill.Home, s.latency)
	there, knownThere := z.balance.In(i, s.latency)
	if !known || !knownThere {
		return 0
	}
	return spill.Loss(here, there)
}

// countSent counts an attempt for the balance of its service.
func (u *upstream) countSent() {
	z := u.service.zones
	if z == nil {
		return
	}
	z.calls++
	z.balance.Sent(u.zone)
	if u.zone != spill.Home {
		z.trafficOf(u).calls++
	}
}

func (z *zoneState) trafficOf(u *upstream) *traffic {
	name := u.Instance.Zone
	if z.traffic[name] == nil {
		if len(z.traffic) >= spill.ZonesMax {
			name = unlistedZone
		}
		if z.traffic[name] == nil {
			z.traffic[name] = &traffic{}
		}
	}
	return z.traffic[name]
}

// Transferred counts bytes of a call to or from an upstream.
func (r *Router) Transferred(name string, bytes int) {
	u := r.upstreams[name]
	if u == nil || u.service.zones == nil || bytes <= 0 {
		return
	}
	u.service.zones.bytes += float64(bytes)
	if u.zone != spill.Home {
		u.service.zones.trafficOf(u).bytes += uint64(bytes)
	}
}

// RefusedAbroad records that an upstream refused a call for lack of capacity. It returns
// true if the upstream is in another zone and its service has a Balance: the call should
// then stay in its own zone.
func (r *Router) RefusedAbroad(now gypsumrail.Millis, name string) bool {
	u := r.upstreams[name]
	if u == nil || u.service.zones == nil || u.zone == spill.Home {
		return false
	}
	u.service.zones.balance.Refused(r.advance(now), u.zone)
	return true
}

// ZoneLoads returns the state of the other zones of a service, or nil without a Balance.
func (r *Router) ZoneLoads(service string) []gypsumrail.ZoneLoad {
	s := r.services[service]
	if s == nil || s.zones == nil {
		return nil
	}
	var loads []gypsumrail.ZoneLoad
	for _, state := range s.zones.balance.States() {
		load := gypsumrail.ZoneLoad{Zone: state.Zone, Known: state.Known, Utilization: state.Utilization, Fraction: state.Fraction}
		if t := s.zones.traffic[state.Zone]; t != nil {
			load.Calls, load.Bytes = t.calls, t.bytes
		}
		loads = append(loads, load)
	}
	if t := s.zones.traffic[unlistedZone]; t != nil {
		loads = append(loads, gypsumrail.ZoneLoad{Zone: unlistedZone, Calls: t.calls, Bytes: t.bytes})
	}
	return loads
}

// stoppedAfter is the time without a fraction after which a service counts as having
// stopped leaving its zone, so that a brief fall to 0 is not logged.
const stoppedAfter = gypsumrail.Second

// ZoneChanges updates the fractions that are due and appends to dst the services that began
// or stopped leaving the own zone, ordered by name.
func (r *Router) ZoneChanges(now gypsumrail.Millis, dst []gypsumrail.ZoneChange) []gypsumrail.ZoneChange {
	if r.settings.Balance == nil {
		return dst
	}
	now = r.advance(now)
	first := len(dst)
	for name, s := range r.services {
		s.rebalance(now)
		z := s.zones
		fraction := z.balance.Fraction()
		if began := fraction > 0; began != z.leaving && (began || now-z.leftLast >= stoppedAfter) {
			z.leaving = began
			dst = append(dst, gypsumrail.ZoneChange{Service: name, Leaves: began, Utilization: z.balance.Utilization(), Fraction: fraction})
		}
	}
	slices.SortFunc(dst[first:], func(a, b gypsumrail.ZoneChange) int { return cmp.Compare(a.Service, b.Service) })
	return dst
}

// mayUse reports whether a call may go to the upstream with regard to its zone.
func (s *service) mayUse(u *upstream, q *query) bool {
	if s.zones == nil || u.zone == spill.Home {
		return true
	}
	if s.ownCount == 0 || !slices.ContainsFunc(s.upstreams[:s.ownCount], func(u *upstream) bool { return u.usableAtAnyLevel(q) }) {
		return true
	}
	return !q.home && s.zones.balance.Fraction() > 0
}
