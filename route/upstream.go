package route

import (
	"slices"

	"github.com/gypsumrail/gypsumrail"
)

const (
	// reportAge is the age at which reported load has no weight any more and a
	// reported threshold expires, so that a recovered upstream gets calls again
	// without a message.
	reportAge = gypsumrail.Second
	// limitAge is the age at which a reported limit is replaced by that of the
	// records. It is longer because limits change slowly and the two may differ much.
	limitAge = 10 * gypsumrail.Second
	// idleAge is the time without calls in which the latency of an upstream moves
	// to that of its service. Without it, an upstream that was slow once would
	// never be chosen again while there is little traffic.
	idleAge = 10 * gypsumrail.Second
	// latencyMin stands for latencies that round down to 0 ms. It keeps their
	// expected delays comparable by load.
	latencyMin = 0.5
	// latencyShare is the weight of a new latency in the moving average.
	latencyShare = 1.0 / 8
	// coldShare is the least share of a cold upstream. Some calls are needed to warm it.
	coldShare = 0.1
)

// upstream is what a sender knows of one instance.
type upstream struct {
	gypsumrail.Upstream
	service *service
	listed  int    // services that list it
	list    uint64 // number of the last list that has it
	offers  uint64 // bits of its capabilities
	salt    uint64 // hash of the name
	leaving bool
	suspect bool

	outstanding int
	quiet       quiet
	latency     float64 // ms, moving average; 0 if unknown
	usedAt      gypsumrail.Millis

	coldFrom  gypsumrail.Millis
	coldUntil gypsumrail.Millis

	reported   bool
	reportedAt gypsumrail.Millis
	sequence   uint64
	limit      int
	others     float64 // calls that other senders had on it
	queued     int
	threshold  gypsumrail.Level

	failures     int // consecutive
	ejections    int // consecutive
	ejectedUntil gypsumrail.Millis
}

// capable tells whether an upstream counts for a choice at all.
func (u *upstream) capable(q *query) bool { return !u.leaving && u.offers&q.need == q.need }

func (u *upstream) refuses(q *query) bool {
	return u.threshold > q.level && u.reported && q.now-u.reportedAt < reportAge
}

func (u *upstream) ejected(now gypsumrail.Millis) bool { return u.ejectedUntil > now }

func (u *upstream) excluded(q *query) bool {
	return len(q.exclude) > 0 && slices.Contains(q.exclude, u.Instance.Name)
}

func (u *upstream) usable(q *query) bool {
	return u.capable(q) &&
		!u.quiet.lost &&
		(q.suspect || !u.suspect) &&
		(!q.eject || !u.ejected(q.now)) &&
		!u.refuses(q) &&
		!u.excluded(q)
}

// share is the part of its full load that a cold upstream should get.
func (u *upstream) share(now gypsumrail.Millis) float64 {
	if now >= u.coldUntil {
		return 1
	}
	return max(coldShare, float64(now-u.coldFrom)/float64(u.coldUntil-u.coldFrom))
}

// warmEnough lets a cold upstream be a candidate in only its share of the
// choices. The smaller limit in expected does not suffice: many senders that
// each have no call outstanding would all see an idle upstream.
func (u *upstream) warmEnough(q *query) bool {
	if q.warm || q.now >= u.coldUntil {
		return true
	}
	const golden = 0x9E3779B97F4A7C15 // odd, so that all bits reach the upper half
	coin := (q.random ^ u.salt) * golden
	return float64(coin>>11)/(1<<53) < u.share(q.now)
}

// expected returns the expected delay of one more call in milliseconds. The
// floor is the least load of other senders per slot.
func (u *upstream) expected(now gypsumrail.Millis, floor float64) float64 {
	limit := float64(u.limitAt(now))
	others := max(u.reportedOthers(now), floor*limit)
	return (float64(u.outstanding) + others + 1) / (limit * u.share(now)) * u.latencyAt(now)
}

// isFull tells whether one more call would wait for a slot.
func (u *upstream) isFull(now gypsumrail.Millis) bool {
	return float64(u.outstanding)+u.reportedOthers(now) >= float64(u.limitAt(now))
}

// reportedOthers returns the calls of other senders, aged.
func (u *upstream) reportedOthers(now gypsumrail.Millis) float64 {
	age := now - u.reportedAt
	if !u.reported || age >= reportAge {
		return 0
	}
	return u.others * (1 - float64(age)/float64(reportAge))
}

// limitAt returns the reported limit, at most that of the records, or the
// latter if there is no report of late.
func (u *upstream) limitAt(now gypsumrail.Millis) int {
	if !u.reported || u.limit <= 0 || now-u.reportedAt >= limitAge {
		return max(u.Slots, 1)
	}
	if u.Slots > 0 {
		return min(u.limit, u.Slots)
	}
	return u.limit
}

// latencyAt returns the observed latency. While no call is outstanding it moves
// to that of the service; an upstream with calls outstanding that answers none
// is not idle.
func (u *upstream) latencyAt(now gypsumrail.Millis) float64 {
	usual := max(u.service.latency, latencyMin)
	if u.latency == 0 {
		return usual
	}
	idle := now - u.usedAt
	if u.outstanding > 0 || idle <= 0 {
		return u.latency
	}
	if idle >= idleAge {
		return usual
	}
	return u.latency + (usual-u.latency)*float64(idle)/float64(idleAge)
}

func (u *upstream) hasRoom(now gypsumrail.Millis) bool {
	return u.reported && now-u.reportedAt < reportAge && u.queued == 0 &&
		float64(u.outstanding)+u.others < float64(u.limitAt(now))
}
