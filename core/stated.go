package core

import (
	"strconv"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/limit"
)

// statement is what the own target states about itself.
type statement struct {
	heard   bool // the target has answered since the node started
	rate    limit.Rate
	rateAt  gypsumrail.Millis // time of the last answer with a rate limit
	leaving bool
}

// recordStated records what the own target stated in the answer to a run that started
// at the given time. A run ends the rate limit only if it started after the last answer
// with one: answers that were made before it may arrive after it.
func (n *Node) recordStated(started gypsumrail.Millis, stated *gypsumrail.Stated) {
	if stated == nil {
		return
	}
	n.stated.heard = true
	if stated.Leaving && !n.stated.leaving {
		n.stated.leaving = true
		n.notice(gypsumrail.NoticeTargetLeaving, n.self.Name, gypsumrail.ReasonNone)
	}
	switch {
	case stated.Unreadable:
	case stated.RateLimited:
		n.setRateLimit(stated.RateLimit)
	case n.stated.rate.PerSecond() > 0 && started > n.stated.rateAt:
		n.stated.rate.Set(n.now, 0)
		n.notice(gypsumrail.NoticeRateUnlimited, n.self.Name, gypsumrail.ReasonNone)
	}
}

// recordPeerRateLimit applies the rate limit of the own target that a sender knows, until
// the target's first answer. Otherwise a restarted node would pass on whatever the senders
// of the whole fleet send until then.
func (n *Node) recordPeerRateLimit(perSecond float64) {
	if perSecond > 0 && !n.stated.heard {
		n.setRateLimit(perSecond)
	}
}

// rateLimitMin is the least rate limit that is applied, in calls a second. Only an
// answer shows that the target takes more again, so it must get a call now and then.
const rateLimitMin = 0.5

// setRateLimit sets the rate limit of the own target.
func (n *Node) setRateLimit(perSecond float64) {
	perSecond = max(perSecond, rateLimitMin)
	n.stated.rateAt = n.now
	if perSecond == n.stated.rate.PerSecond() {
		return
	}
	n.stated.rate.Set(n.now, perSecond)
	n.emit(gypsumrail.Effect{
		Kind: gypsumrail.Log, Notice: gypsumrail.NoticeRateLimited, Subject: n.self.Name,
		Detail: "RateLimit=" + strconv.FormatFloat(perSecond, 'g', -1, 64),
	})
}
