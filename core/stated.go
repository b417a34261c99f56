package core

import (
	"strconv"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/limit"
)

// statement is what the own target states about itself.
type statement struct {
	heard  bool // the target has answered since the node started
	rate   limit.Rate
	rateAt gypsumrail.Millis // time of the last answer with a rate limit

	slowdown limit.Slowdown
	load     gypsumrail.Stated // the last statement with a load
	loadAt   gypsumrail.Millis // time of that statement
}

// recordStated records what the own target stated in the answer to a call. A call ends the
// rate limit only if its run started after the last answer with one: answers that were made
// before it may arrive after it.
func (n *Node) recordStated(v *receiverCall, stated *gypsumrail.Stated) {
	if stated == nil {
		return
	}
	n.stated.heard = true
	if stated.Slowdown > 0 {
		n.stated.slowdown.Set(n.now, stated.Slowdown)
		n.stated.load, n.stated.loadAt = *stated, n.now
	}
	if stated.Leaving {
		upstream := n.self
		if v.local {
			upstream = v.chosen
		}
		n.recordLeaving(upstream)
	}
	switch {
	case stated.Unreadable:
	case stated.RateLimited:
		n.setRateLimit(stated.RateLimit)
	case n.stated.rate.PerSecond() > 0 && v.started > n.stated.rateAt:
		n.stated.rate.Set(n.now, 0)
		n.notice(gypsumrail.NoticeRateUnlimited, n.self.Name, gypsumrail.ReasonNone)
	}
}

// recordLeaving records that an upstream's target stated that it is leaving. From then on
// the router chooses it for no call, also while the platform's list is out of date.
func (n *Node) recordLeaving(upstream gypsumrail.Instance) {
	if n.parts.Directory.MarkLeaving(n.now, upstream.Name, upstream.Incarnation) {
		n.notice(gypsumrail.NoticeTargetLeaving, upstream.Name, gypsumrail.ReasonNone)
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

// statedLoad returns the last load that the own target stated, or nil. The figures besides the
// slowdown are for operators only: all calls of the target pass this node, so it knows them
// without a message.
func (n *Node) statedLoad() *Load {
	last := &n.stated.load
	if last.Slots == 0 {
		return nil
	}
	return &Load{
		Running: last.Running, Waiting: last.Waiting, Slots: last.Slots,
		Slowdown: n.stated.slowdown.At(n.now), Age: n.now - n.stated.loadAt,
	}
}
