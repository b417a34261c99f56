// Package route chooses the upstream of each call.
//
// A sender does not know the load of the upstreams exactly: what they report is
// old on arrival and may be wrong, and all senders see the same reports. Always
// taking the upstream that looks best would send every sender to the same one.
// The router therefore draws a few candidates at random and takes the one with
// the smallest expected delay among them. That avoids slow and loaded upstreams
// nearly as well as a full comparison, keeps the share that any one upstream can
// attract bounded, and costs the same for 10 and for 640 upstreams.
//
// The expected delay is (own calls outstanding + calls of others) / limit ×
// observed latency. Own observation comes first: outstanding calls and latency
// are always used, while reported load loses its weight within a second. In
// addition the router
//
//   - stays in its own zone unless another zone is faster by more than the delay
//     between the zones,
//   - gives cold upstreams a share that grows over the service's cold start,
//   - ejects upstreams that fail repeatedly, unless most of the service fails,
//   - leaves out upstreams whose reported threshold refuses the level.
package route

import (
	"math/rand/v2"

	"github.com/gypsumrail/gypsumrail"
)

// choices is the number of candidates. Two already avoid most of the queueing;
// the third keeps one usable comparison when a candidate turns out to be slow.
const choices = 3

// Settings of a Router.
type Settings struct {
	// Tuning returns the values of a service from the records in force. It is
	// called in SetUpstreams only. If it is nil or returns zeros, the defaults apply.
	Tuning func(service string) Tuning
	// LeavingTime is how long an upstream that reports that it leaves gets no calls.
	// Zero means for good, until it reports a later incarnation; with a directory
	// that tells when an upstream has left, only its node may be restarting.
	LeavingTime gypsumrail.Millis
	// ZoneFactor is how many times shorter the expected delay in another zone must
	// be, besides the delay between zones, before a call leaves its own; default 1.
	ZoneFactor float64
	// QuietAfter is the time without an answer, beyond what the calls outstanding
	// let expect, from which the node of an upstream is asked whether it lives;
	// zero: never.
	QuietAfter gypsumrail.Millis
}

// Tuning are the values of one service. Zero values take the defaults.
type Tuning struct {
	ColdStart gypsumrail.Millis // time in which a cold upstream grows to its full share; default 10 s
	ZoneDelay gypsumrail.Millis // one-way delay between zones; default 1 ms
}

// Both defaults are those of docs/design.md, sections 1 and 5.7.
const (
	defaultColdStart = 10 * gypsumrail.Second
	defaultZoneDelay = 1 * gypsumrail.Millis(1)
)

// Router implements gypsumrail.Router. It is not safe for concurrent use.
type Router struct {
	self     gypsumrail.Instance
	settings Settings
	now      gypsumrail.Millis // highest seen; an earlier time counts as this one
	first    gypsumrail.Millis // first seen; stands for the start of this instance
	begun    bool
	lists    uint64 // lists taken by SetUpstreams
	services map[string]*service
	// upstreams has every upstream that is listed or has calls outstanding.
	upstreams map[string]*upstream
}

var _ gypsumrail.Router = (*Router)(nil)

// New returns a router without upstreams for the instance that sends.
func New(self gypsumrail.Instance, settings Settings) *Router {
	return &Router{
		self:      self,
		settings:  settings,
		services:  make(map[string]*service),
		upstreams: make(map[string]*upstream),
	}
}

func (r *Router) clock(now gypsumrail.Millis) gypsumrail.Millis {
	if !r.begun {
		r.begun, r.first, r.now = true, now, now
	}
	r.now = max(r.now, now)
	return r.now
}

// query is a choice with what does not change while candidates are compared.
type query struct {
	now     gypsumrail.Millis
	level   gypsumrail.Level
	need    uint64 // bits of the capabilities
	exclude []string
	random  uint64
	eject   bool // leave out ejected upstreams
	suspect bool // accept suspect upstreams
	warm    bool // treat cold upstreams as warm
}

// Choose returns the upstream with the smallest expected delay among random
// candidates. The reason is ReasonShed if every upstream that has the
// capabilities, is not leaving and is not excluded refuses the level, and
// ReasonNoUpstream if none is usable otherwise.
func (r *Router) Choose(now gypsumrail.Millis, choice gypsumrail.Choice) (gypsumrail.Instance, gypsumrail.Reason) {
	s, q, ok := r.query(now, &choice)
	if !ok {
		return gypsumrail.Instance{}, gypsumrail.ReasonNoUpstream
	}
	var random rand.PCG
	random.Seed(choice.Random, 0)
	best := s.best(&q, &random)
	if best == nil && q.eject && s.mostEjected(&q) {
		q.eject = false
		best = s.best(&q, &random)
	}
	if best == nil && s.suspects > 0 {
		q.suspect = true
		best = s.best(&q, &random)
	}
	if best == nil {
		return gypsumrail.Instance{}, s.reason(&q)
	}
	return best.Instance, gypsumrail.ReasonNone
}

// HasRoom tells whether a usable upstream outside choice.Exclude reported
// within the last second that it has no queue and, with the own calls since,
// fewer calls than its limit.
func (r *Router) HasRoom(now gypsumrail.Millis, choice gypsumrail.Choice) bool {
	s, q, ok := r.query(now, &choice)
	if !ok {
		return false
	}
	for _, u := range s.upstreams {
		if u.usable(&q) && u.hasRoom(q.now) {
			return true
		}
	}
	return false
}

func (r *Router) query(now gypsumrail.Millis, choice *gypsumrail.Choice) (*service, query, bool) {
	now = r.clock(now)
	s := r.services[choice.Service]
	if s == nil {
		return nil, query{}, false
	}
	need, ok := s.need(choice.Capabilities)
	return s, query{
		now: now, level: choice.Level, need: need, exclude: choice.Exclude, random: choice.Random,
		eject: s.ejects(now),
	}, ok
}

// best compares the best candidate of the own zone with that of the others.
func (s *service) best(q *query, random *rand.PCG) *upstream {
	own, ownDelay := pick(s.upstreams[:s.own], q, random)
	if own != nil && ownDelay <= s.zoneDelay {
		return own // no other zone can be better by more than the delay to it
	}
	other, otherDelay := pick(s.upstreams[s.own:], q, random)
	if own == nil && other == nil && !q.warm && q.now < s.coldUntil {
		q.warm = true // only cold upstreams are left
		return s.best(q, random)
	}
	factor := s.zoneFactor
	if own != nil && other != nil && own.isFull(q.now) && !other.isFull(q.now) {
		factor = 1 // waiting for a slot costs more than the way to a free one
	}
	if own == nil || other != nil && ownDelay > otherDelay*factor+s.zoneDelay {
		return other
	}
	return own
}

// reason tells why nothing is usable.
func (s *service) reason(q *query) gypsumrail.Reason {
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
