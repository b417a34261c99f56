// Package route chooses the upstream of each call.
//
// A sender does not know the exact load of the upstreams: their reports are old
// on arrival and may be wrong, and all senders see the same reports. If each
// sender chose the upstream that looks best, all would choose the same one. The
// router therefore draws a few candidates at random and chooses the one with the
// smallest expected delay among them. That avoids slow and loaded upstreams
// nearly as well as a full comparison, bounds the share of calls that any one
// upstream can attract, and costs the same for 10 and for 640 upstreams.
//
// The expected delay is (own calls outstanding + calls of other senders) / limit
// × observed latency. The sender's own observations have priority: it always
// uses its outstanding calls and its latencies, while the weight of a reported
// load falls to zero within a second. In addition the router
//
//   - stays in its own zone unless another zone is faster by more than the delay
//     between the zones, or as package spill decides (Settings.Balance),
//   - gives cold upstreams a share that grows during the service's slow start,
//   - ejects upstreams that cannot be reached, and those that fail repeatedly unless
//     most of the service fails,
//   - skips upstreams whose reported threshold refuses the level.
package route

import (
	"math/rand/v2"

	"github.com/gypsumrail/gypsumrail"
)

// candidatesMax is the number of candidates of a choice. Two already avoid most of
// the queueing. With three, two are left to compare when one is slow.
const candidatesMax = 3

// Settings of a Router.
type Settings struct {
	// Tuning returns the values of a service from the records in force. Only
	// SetUpstreams calls it. If it is nil or returns zeros, the defaults apply.
	Tuning func(service string) Tuning
	// LeavingTime is how long an upstream gets no calls after it reports that it is
	// leaving. Zero means until it reports a later incarnation. Set it if the
	// directory tells when an upstream has left: then a report of leaving may only
	// mean that its node restarts.
	LeavingTime gypsumrail.Millis
	// ZoneFactor is the factor by which the expected delay in another zone must be
	// shorter, in addition to the delay between zones, before a call leaves its own
	// zone. Default and minimum 1.
	ZoneFactor float64
	// Balance decides which calls leave the own zone. If it is nil, ZoneFactor and the
	// expected delays of two upstreams decide for each call.
	Balance *Balance
	// ProbeAfter is the time without an answer, in addition to the time expected
	// for the outstanding calls, after which DueProbes returns the upstream so
	// that its node is probed. Zero disables probing.
	ProbeAfter gypsumrail.Millis
}

// Tuning holds the values of one service. Zero stands for the default.
type Tuning struct {
	ColdStart gypsumrail.Millis // duration of the slow start of a cold upstream; default 10 s
	ZoneDelay gypsumrail.Millis // one-way delay between zones; default 1 ms
}

// Both defaults are those of docs/design.md, sections 1 and 5.7.
const (
	defaultColdStart = 10 * gypsumrail.Second
	defaultZoneDelay = 1 * gypsumrail.Millis(1)
)

// Router implements gypsumrail.Router. It is not safe for concurrent use.
type Router struct {
	self       gypsumrail.Instance
	settings   Settings
	latest     gypsumrail.Millis // latest time given; an earlier one is replaced by it
	startedAt  gypsumrail.Millis // first time given; stands for the start of this instance
	clockSet   bool
	listNumber uint64 // number of calls of SetUpstreams
	services   map[string]*service
	// upstreams holds, by name, each upstream that is listed or has calls outstanding.
	upstreams map[string]*upstream
}

var _ gypsumrail.Router = (*Router)(nil)

// New returns a router without upstreams. Self is the instance that sends the calls.
func New(self gypsumrail.Instance, settings Settings) *Router {
	return &Router{
		self:      self,
		settings:  settings,
		services:  make(map[string]*service),
		upstreams: make(map[string]*upstream),
	}
}

// advance returns the time to use for a call with the given time. It never goes back.
func (r *Router) advance(now gypsumrail.Millis) gypsumrail.Millis {
	if !r.clockSet {
		r.clockSet, r.startedAt, r.latest = true, now, now
	}
	r.latest = max(r.latest, now)
	return r.latest
}

// query is a choice prepared for comparing candidates: capabilities as bits, and
// which upstreams are accepted.
type query struct {
	now             gypsumrail.Millis
	level           gypsumrail.Level
	capabilities    uint64 // bits, see service.capabilityBits
	exclude         []string
	random          uint64
	skipDown        bool // do not choose upstreams that are down
	skipEjected     bool // do not choose ejected upstreams
	allowSuspect    bool // choose suspect upstreams too
	ignoreSlowStart bool // give cold upstreams their full share

	router        *Router
	home          bool // with Balance: stay in the own zone
	bytes         int
	servicesBelow []string
}

// Choose returns the upstream with the smallest expected delay among random
// candidates. If none is usable, the reason is ReasonShed if there are upstreams
// that have the capabilities, are not leaving and are not excluded, and all of
// them refuse the level. Otherwise it is ReasonNoUpstream.
func (r *Router) Choose(now gypsumrail.Millis, choice gypsumrail.Choice) (gypsumrail.Instance, gypsumrail.Reason) {
	s, q, ok := r.newQuery(now, &choice)
	if !ok {
		return gypsumrail.Instance{}, gypsumrail.ReasonNoUpstream
	}
	if s.zones != nil {
		s.rebalance(q.now)
	}
	var random rand.PCG
	random.Seed(choice.Random, 0)
	best := s.best(&q, &random)
	if best == nil && s.mostEjectedOrLost(&q) {
		q.skipEjected, q.skipDown = false, false
		best = s.best(&q, &random)
	}
	if best == nil && s.suspects > 0 {
		q.allowSuspect = true
		best = s.best(&q, &random)
	}
	if best == nil {
		return gypsumrail.Instance{}, s.reason(&q)
	}
	return best.Instance, gypsumrail.ReasonNone
}

// HasRoom reports whether a usable upstream outside choice.Exclude has a free slot.
// Its last report must be younger than a second and show an empty queue, and the
// calls of others that it reported plus the own outstanding calls must be below
// its limit.
func (r *Router) HasRoom(now gypsumrail.Millis, choice gypsumrail.Choice) bool {
	s, q, ok := r.newQuery(now, &choice)
	if !ok {
		return false
	}
	for _, u := range s.upstreams {
		if u.usable(&q) && u.hasRoom(q.now) && s.mayUse(u, &q) {
			return true
		}
	}
	return false
}

func (r *Router) newQuery(now gypsumrail.Millis, choice *gypsumrail.Choice) (*service, query, bool) {
	now = r.advance(now)
	s := r.services[choice.Service]
	if s == nil {
		return nil, query{}, false
	}
	need, ok := s.capabilityBits(choice.Capabilities)
	return s, query{
		now: now, level: choice.Level, capabilities: need, exclude: choice.Exclude, random: choice.Random,
		skipDown: true, skipEjected: s.checkEjections(now),
		router: r, home: choice.Home, bytes: choice.Bytes, servicesBelow: choice.Below,
	}, ok
}

// best returns the better of the best candidate of the own zone and that of the
// other zones, or nil if neither has one.
func (s *service) best(q *query, random *rand.PCG) *upstream {
	if s.zones != nil {
		return s.bestBalanced(q, random)
	}
	own, ownDelay := pick(s.upstreams[:s.ownCount], q, random)
	if own != nil && ownDelay <= s.zoneDelay {
		return own // no other zone can be better by more than the delay between zones
	}
	other, otherDelay := pick(s.upstreams[s.ownCount:], q, random)
	if own == nil && other == nil && !q.ignoreSlowStart && q.now < s.coldUntil {
		q.ignoreSlowStart = true // all usable upstreams are cold
		return s.best(q, random)
	}
	factor := s.zoneFactor
	if own != nil && other != nil && own.isFull(q.now) && !other.isFull(q.now) {
		factor = 1 // waiting for a slot costs more than the delay to a free one
	}
	if own == nil || other != nil && ownDelay > otherDelay*factor+s.zoneDelay {
		return other
	}
	return own
}

// reason returns why no upstream is usable: ReasonShed or ReasonNoUpstream.
func (s *service) reason(q *query) gypsumrail.Reason {
	if s.zones != nil && len(s.zones.groups) > 0 && s.refusedAtHome(q) {
		return gypsumrail.ReasonShed
	}
	reason := gypsumrail.ReasonNoUpstream
	for _, u := range s.upstreams {
		switch {
		case !u.capable(q) || u.excluded(q):
		case u.refuses(q):
			reason = gypsumrail.ReasonShed
		default:
			return gypsumrail.ReasonNoUpstream
		}
	}
	return reason
}
