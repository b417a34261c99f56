package route

import (
	"math"
	"slices"

	"github.com/gypsumrail/gypsumrail"
)

const (
	// reportMaxAge is the age at which a reported load no longer counts and a
	// reported threshold expires. Calls to a recovered upstream thus resume without
	// a message from it.
	reportMaxAge = gypsumrail.Second
	// limitMaxAge is the age at which the limit of the records replaces a reported
	// limit. It is longer because limits change slowly and the two may differ much.
	limitMaxAge = 10 * gypsumrail.Second
	// rateMaxAge is the age at which a reported rate limit expires. It covers the restart
	// of a node, which learns the limit of its target from its senders.
	rateMaxAge = 30 * gypsumrail.Second
	// idleTime is the time without calls over which the latency of an upstream moves
	// to that of its service. Otherwise an upstream that was slow once would never be
	// chosen again while there is little traffic.
	idleTime = 10 * gypsumrail.Second
	// latencyMin replaces latencies that round down to 0 ms, in ms. With 0 the
	// expected delays would be equal whatever the load.
	latencyMin = 0.5
	// latencyWeight is the weight of a new latency in the EWMA.
	latencyWeight = 1.0 / 8
	// coldShareMin is the smallest share of a cold upstream, which needs some calls
	// to become warm.
	coldShareMin = 0.1
)

// upstream holds what this sender knows about one instance.
type upstream struct {
	gypsumrail.Upstream
	service        *service
	listedBy       int    // number of services that list it
	lastList       uint64 // number of the last list that has it
	capabilityBits uint64 // see service.capabilityBits
	salt           uint64 // hash of the name
	leaving        bool
	suspect        bool
	zone           int // with Settings.Balance: index of its zone, or spill.Home

	outstanding int
	detector    detector
	latency     float64 // ms, EWMA, on a machine as usual; 0 if unknown
	lastEndAt   gypsumrail.Millis

	coldFrom  gypsumrail.Millis
	coldUntil gypsumrail.Millis

	reported   bool
	reportedAt gypsumrail.Millis
	sequence   uint64
	limit      int
	others     float64 // calls of other senders at reportedAt, running or queued
	queued     int
	threshold  gypsumrail.Level
	rateLimit  float64           // calls a second; 0 if the target states none
	faultShare float64           // see Report.FaultShare
	faultAt    gypsumrail.Millis // time of faultShare
	slowdown   float64           // of the target's machine at reportedAt; 0 as usual

	failures     int // consecutive
	ejections    int // consecutive
	ejectedUntil gypsumrail.Millis
	unreachable  bool // the last failure was that nothing accepts connections: the node or its target is down
}

// capable reports whether an upstream has the needed capabilities and is not leaving.
func (u *upstream) capable(q *query) bool {
	return !u.leaving && u.capabilityBits&q.capabilities == q.capabilities
}

func (u *upstream) refuses(q *query) bool {
	return u.threshold > q.level && u.reported && q.now-u.reportedAt < reportMaxAge
}

func (u *upstream) ejected(now gypsumrail.Millis) bool { return u.ejectedUntil > now }

// down reports whether an upstream is ejected because it cannot be reached. Unlike one
// that fails, it serves nothing, however many others are ejected.
func (u *upstream) down(now gypsumrail.Millis) bool { return u.unreachable && u.ejected(now) }

func (u *upstream) excluded(q *query) bool {
	return len(q.exclude) > 0 && slices.Contains(q.exclude, u.Instance.Name)
}

func (u *upstream) usable(q *query) bool {
	return u.usableAtAnyLevel(q) && !u.refuses(q)
}

// usableAtAnyLevel reports whether an upstream is usable except for its threshold.
func (u *upstream) usableAtAnyLevel(q *query) bool {
	return u.capable(q) &&
		!u.detector.lost &&
		(q.allowSuspect || !u.suspect) &&
		(!q.skipDown || !u.down(q.now)) &&
		(!q.skipEjected || !u.ejected(q.now)) &&
		!u.excluded(q)
}

// slowStartShare returns the fraction of its full load that an upstream should get:
// below 1 during its slow start.
func (u *upstream) slowStartShare(now gypsumrail.Millis) float64 {
	if now >= u.coldUntil {
		return 1
	}
	return max(coldShareMin, float64(now-u.coldFrom)/float64(u.coldUntil-u.coldFrom))
}

// passesSlowStart makes a cold upstream a candidate only in its slow start share of
// the choices. The smaller limit in expectedDelay is not enough: many senders
// without an outstanding call would all see an idle upstream.
func (u *upstream) passesSlowStart(q *query) bool {
	if q.ignoreSlowStart || q.now >= u.coldUntil {
		return true
	}
	const golden = 0x9E3779B97F4A7C15 // odd, so that all bits reach the upper half
	coin := (q.random ^ u.salt) * golden
	return float64(coin>>11)/(1<<53) < u.slowStartShare(q.now)
}

// expectedDelay returns the expected delay of one more call in milliseconds. The
// floor is the lowest load of other senders per slot to assume.
func (u *upstream) expectedDelay(now gypsumrail.Millis, floor float64) float64 {
	limit := float64(u.limitAt(now))
	others := max(u.reportedOthers(now), floor*limit)
	return (float64(u.outstanding)+others+1)/(limit*u.slowStartShare(now))*u.latencyAt(now) + u.faultDelay(now)
}

// isFull reports whether one more call would wait for a slot.
func (u *upstream) isFull(now gypsumrail.Millis) bool {
	return float64(u.outstanding)+u.reportedOthers(now) >= float64(u.limitAt(now))
}

// reportedOthers returns the calls of other senders in the last report. Their
// weight falls linearly to zero at reportMaxAge.
func (u *upstream) reportedOthers(now gypsumrail.Millis) float64 {
	age := now - u.reportedAt
	if !u.reported || age >= reportMaxAge {
		return 0
	}
	return u.others * (1 - float64(age)/float64(reportMaxAge))
}

// limitAt returns how many calls the upstream can have at once: its slots, or less if its
// target states a rate limit. By Little's law that allows rate × latency calls at once.
func (u *upstream) limitAt(now gypsumrail.Millis) int {
	slots := u.slotsAt(now)
	rate := u.rateLimitAt(now)
	if rate == 0 {
		return slots
	}
	return int(min(float64(slots), max(1, math.Ceil(rate*u.latencyAt(now)/float64(gypsumrail.Second)))))
}

// rateLimitAt returns the reported rate limit in calls a second, or 0.
func (u *upstream) rateLimitAt(now gypsumrail.Millis) float64 {
	if !u.reported || now-u.reportedAt >= rateMaxAge {
		return 0
	}
	return u.rateLimit
}

// slotsAt returns the reported limit, capped by that of the records. Without a
// report younger than limitMaxAge it returns the limit of the records.
func (u *upstream) slotsAt(now gypsumrail.Millis) int {
	if !u.reported || u.limit <= 0 || now-u.reportedAt >= limitMaxAge {
		return max(u.Slots, 1)
	}
	if u.Slots > 0 {
		return min(u.limit, u.Slots)
	}
	return u.limit
}

const (
	// faultCost is the delay in ms that a certain failure counts for. A failed call
	// wastes what the calls above it have done, and their callers start again.
	faultCost = 2000
	// faultHalfLife is the time without a report in which the share of faults halves, so
	// that a target that works again gets calls although nobody tells of it.
	faultHalfLife = gypsumrail.Second
	// faultShareMin is the share of faults that counts as none: services fail a few
	// requests in a thousand in normal operation.
	faultShareMin = 0.01
	// failsFrom is the share of faults from which a target counts as failing. Below it, calls
	// do not leave their zone, where three of four and more are served.
	failsFrom = 0.25
)

// fails reports whether the target fails a large part of its calls by itself.
func (u *upstream) fails(now gypsumrail.Millis) bool {
	return u.faultDelay(now) >= faultCost*failsFrom
}

// faultDelay returns what the faults of the target add to the expected delay, in ms. It
// keeps calls away from a target that fails fast and therefore looks idle.
func (u *upstream) faultDelay(now gypsumrail.Millis) float64 {
	if u.faultShare < faultShareMin {
		return 0
	}
	return faultCost * u.faultShare * math.Exp2(-float64(now-u.faultAt)/float64(faultHalfLife))
}

// slowdownTime is the time over which a reported slowdown decays to 1. Machines are slow for
// about that long at a time, so a report says less the older it is.
const slowdownTime = 600 * gypsumrail.Millis(1)

// slowdownAt returns the reported slowdown of the target's machine. It moves linearly to 1
// over slowdownTime.
func (u *upstream) slowdownAt(now gypsumrail.Millis) float64 {
	age := now - u.reportedAt
	if !u.reported || u.slowdown == 0 || age >= slowdownTime {
		return 1
	}
	return u.slowdown + (1-u.slowdown)*float64(age)/float64(slowdownTime)
}

// latencyAt returns the expected latency in milliseconds: the usual one, multiplied by the
// slowdown of the target's machine.
func (u *upstream) latencyAt(now gypsumrail.Millis) float64 {
	return u.usualLatencyAt(now) * u.slowdownAt(now)
}

// usualLatencyAt returns the observed latency in milliseconds, each divided by the
// slowdown under which it was observed. While no call is
// outstanding, it moves to that of the service. An upstream that does not answer
// its outstanding calls is not idle.
func (u *upstream) usualLatencyAt(now gypsumrail.Millis) float64 {
	usual := max(u.service.latency, latencyMin)
	if u.latency == 0 {
		return usual
	}
	idle := now - u.lastEndAt
	if u.outstanding > 0 || idle <= 0 {
		return u.latency
	}
	if idle >= idleTime {
		return usual
	}
	return u.latency + (usual-u.latency)*float64(idle)/float64(idleTime)
}

// hasRoom reports whether a report younger than reportMaxAge shows an empty queue and
// a free slot.
func (u *upstream) hasRoom(now gypsumrail.Millis) bool {
	return u.reported && now-u.reportedAt < reportMaxAge && u.queued == 0 &&
		float64(u.outstanding)+u.others < float64(u.limitAt(now))
}
