package core

import (
	"strconv"

	"github.com/gypsumrail/gypsumrail"
)

// statement is what the own target states about itself.
type statement struct {
	rateLimit float64           // calls a second; 0 if it states no rate limit
	rateAt    gypsumrail.Millis // time of the last answer with a rate limit
	leaving   bool
}

// recordStated records what the own target stated in the answer to a run that started
// at the given time. A run ends the rate limit only if it started after the last answer
// with one: answers that were made before it may arrive after it.
func (n *Node) recordStated(started gypsumrail.Millis, stated *gypsumrail.Stated) {
	if stated == nil {
		return
	}
	if stated.Leaving && !n.stated.leaving {
		n.stated.leaving = true
		n.notice(gypsumrail.NoticeTargetLeaving, n.self.Name, gypsumrail.ReasonNone)
	}
	switch {
	case stated.Unreadable:
	case stated.RateLimited:
		n.stated.rateAt = n.now
		n.setRateLimit(stated.RateLimit)
	case n.stated.rateLimit > 0 && started > n.stated.rateAt:
		n.stated.rateLimit = 0
		n.notice(gypsumrail.NoticeRateUnlimited, n.self.Name, gypsumrail.ReasonNone)
	}
}

// rateLimitMin is the least rate limit that is applied, in calls a second. Only an
// answer shows that the target takes more again, so it must get a call now and then.
const rateLimitMin = 0.5

// setRateLimit sets the rate limit of the own target.
func (n *Node) setRateLimit(perSecond float64) {
	perSecond = max(perSecond, rateLimitMin)
	if perSecond == n.stated.rateLimit {
		return
	}
	n.stated.rateLimit = perSecond
	n.emit(gypsumrail.Effect{
		Kind: gypsumrail.Log, Notice: gypsumrail.NoticeRateLimited, Subject: n.self.Name,
		Detail: "RateLimit=" + strconv.FormatFloat(perSecond, 'f', -1, 64),
	})
}
