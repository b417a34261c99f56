package core

import (
	"net/http"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/retry"
)

// targetAnswered takes the head of the own target's answer.
func (n *Node) targetAnswered(event *gypsumrail.Event) {
	v := n.serves[event.Call]
	if v == nil || !v.running || v.answered || event.Result == nil {
		n.counts.Dropped++
		return
	}
	if v.canceled {
		return
	}
	v.answered = true
	// A target that passes on the refusal of a service below is not overloaded itself.
	v.refused = isOverloadStatus(event.Result.Status) && !v.childFailed
	left := v.allowance.Left()
	v.allowance = retry.Allowance{} // returned with the answer
	s := n.sends[v.call]
	if !v.local || s == nil || len(s.tries) == 0 {
		// A keyed call goes on without its caller, so that a resend finds the answer.
		if !v.local {
			n.due.Delete(due{v.deadline, v.call})
		}
		n.emit(gypsumrail.Effect{
			Kind: gypsumrail.Answer, Call: v.call, Allowance: left, Report: n.ownReport(), Hints: n.allHints(),
			Uses: n.usesOf(v.class.Name),
		})
		return
	}
	t := &s.tries[len(s.tries)-1]
	s.allowance.Return(&t.portion, left)
	n.parts.Router.Answered(n.now, t.upstream.Name, n.now-t.sent, n.ownReport())
	if event.Result.Status < http.StatusInternalServerError {
		n.parts.Budget.Succeeded(n.now, s.service)
		n.markUsed(s)
	}
	n.answer(s, len(s.tries))
}

// targetDone takes the end of the target's answer and frees the slot.
func (n *Node) targetDone(event *gypsumrail.Event) {
	v := n.serves[event.Call]
	if v == nil || !v.running {
		n.counts.Dropped++
		return
	}
	broken := event.Result != nil && event.Result.Outcome != gypsumrail.Ran
	n.endRun(v, broken && !v.canceled)
	if v.keyed {
		n.parts.Ledger.Finish(n.now, v.key, gypsumrail.Ran)
	}
	n.dropServe(v)
	n.pump()
}

// targetFailed takes the end of a run without an answer.
func (n *Node) targetFailed(event *gypsumrail.Event) {
	v := n.serves[event.Call]
	if v == nil || !v.running || event.Result == nil {
		n.counts.Dropped++
		return
	}
	outcome, reason := event.Result.Outcome, event.Result.Reason
	n.endRun(v, !v.canceled)
	if v.keyed {
		n.parts.Ledger.Finish(n.now, v.key, outcome)
	}
	n.cancelChildren(v)
	switch {
	case v.answered || v.canceled && (!v.local || n.sends[v.call] == nil):
		n.dropServe(v)
	default:
		n.replyServe(v, outcome, reason)
	}
	n.pump()
}

// endRun frees the slot of a call and lets the limiter learn from it.
func (n *Node) endRun(v *serve, failed bool) {
	n.running--
	v.running = false
	if v.importance >= gypsumrail.ImportanceReserved {
		n.reserve.running--
	}
	wait := v.childWait
	if len(v.children) > 0 {
		wait += n.now - v.childSince
	}
	latency := n.now - v.started
	if !failed && !v.canceled && !v.refused {
		n.learnTime(v.class.Name, latency)
	}
	if v.canceled {
		return
	}
	n.parts.Limiter.Completed(n.now, gypsumrail.Sample{
		Latency: latency, Self: max(0, latency-wait), InFlight: v.inFlight, Failed: failed, Refused: v.refused,
	})
}
