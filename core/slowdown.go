package core

import (
	"math"

	"github.com/gypsumrail/gypsumrail"
)

// workOf returns the normalized time that a run spent on the target, from its latency and
// the part of it in which it waited for outgoing calls. The waiting does not depend on the
// machine of the target.
func (n *Node) workOf(v *receiverCall, latency, wait gypsumrail.Millis) float64 {
	if latency <= wait {
		return 0
	}
	work := n.stated.slowdown.Work(n.now) - v.workStarted
	return float64(latency-wait) * (work / float64(latency))
}

// slowed reports whether the own target's machine is slower than usual. Only then calls are
// refused by the estimates of this file, so that nothing changes where targets state no load.
// A slowdown that rounds to 1 does not count: the senders would not see it in the report, and
// would give up the refused calls instead of resending them.
func (n *Node) slowed() bool { return !n.settings.NoDeadlines && n.reportedSlowdown() > 1 }

// isTooLate reports whether a call from the queue can no longer finish on a slowed machine.
func (n *Node) isTooLate(v *receiverCall) bool {
	return n.slowed() && n.now+n.need(n.now, v.class.Name) > v.deadline
}

// refuseLate refuses the queued calls that cannot finish on a slowed machine. When a machine
// slows down, the calls that were queued before would otherwise run although their callers
// no longer wait at their end, or be refused when no other upstream has the time to run them.
// A refused call no longer counts in the wait of those behind it.
func (n *Node) refuseLate() {
	if !n.slowed() || n.parts.Queue.Len() == 0 {
		return
	}
	var mean, work float64 // of the calls ahead, in this order of the queue
	n.expired = n.expired[:0]
	n.parts.Queue.Walk(func(waiting *gypsumrail.Waiting) {
		v := n.receiverCalls[waiting.Call]
		if v == nil {
			return
		}
		ownMean, ownWork := n.runTime(v.class.Name)
		slots := float64(n.limitFor(v.importance))
		begins := n.now + n.stretched(n.now, (mean+ownMean)/slots, (work+ownWork)/slots)
		if begins+n.need(begins, v.class.Name) > v.deadline {
			n.expired = append(n.expired, *waiting)
			return
		}
		mean, work = mean+ownMean, work+ownWork
	})
	for _, waiting := range n.expired {
		if v := n.receiverCalls[waiting.Call]; v != nil && n.parts.Queue.Remove(waiting.Call) {
			n.late++
			n.refuseReceiverCall(v, gypsumrail.NotRun, gypsumrail.ReasonDeadline)
		}
	}
}

// mayFinishElsewhere reports whether a call whose attempt ended with the outcome and reason
// was refused only because the upstream's machine is slow, so that another upstream may run
// it in time. The next receiver decides that again, before it runs the call.
func (s *senderCall) mayFinishElsewhere(outcome gypsumrail.Outcome, reason gypsumrail.Reason) bool {
	last := len(s.attempts) - 1
	return reason == gypsumrail.ReasonDeadline && outcome == gypsumrail.NotRun && last >= 0 && s.attempts[last].slowed
}

// slowdownStep is the precision of a reported slowdown. Without rounding, a machine whose
// figure varies by a few percent would add a header to each answer.
const slowdownStep = 0.05

// reportedSlowdown returns the slowdown of the own target's machine for the senders, or 0 if
// it is as usual.
func (n *Node) reportedSlowdown() float64 {
	slowdown := math.Round(n.stated.slowdown.At(n.now)/slowdownStep) * slowdownStep
	if slowdown == 1 {
		return 0
	}
	return slowdown
}
