package core

import (
	"math"
	"net/http"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/retry"
)

// targetAnswered handles the head of the own target's answer.
func (n *Node) targetAnswered(event *gypsumrail.Event) {
	v := n.receiverCalls[event.Call]
	if v == nil || !v.running || v.answered || event.Result == nil {
		n.counts.Dropped++
		return
	}
	n.recordStated(v, event.Result.Stated)
	if v.canceled {
		return
	}
	v.answered = true
	// A target that passes on the refusal of a service below it is not overloaded
	// itself.
	v.overloaded = isOverloadStatus(event.Result.Status) && !v.childFailed
	v.succeeded = event.Result.Status < http.StatusInternalServerError
	fault := n.countFault(v, event.Result.Status)
	left := v.allowance.Left()
	v.allowance = retry.Allowance{} // what is left goes back with the answer
	s := n.senderCalls[v.call]
	if !v.local || s == nil || len(s.attempts) == 0 {
		// A local call without its sender role is keyed and ran on after its caller
		// left, so that a resend finds the answer.
		if !v.local {
			n.deadlines.Delete(deadlineEntry{v.deadline, v.call})
		}
		n.emit(gypsumrail.Effect{
			Kind: gypsumrail.Answer, Call: v.call, Allowance: left, Report: n.ownReport(), Hints: n.allHints(),
			Uses: n.usesOf(v.class.Name), TargetFault: fault,
		})
		return
	}
	t := &s.attempts[len(s.attempts)-1]
	s.allowance.Return(&t.portion, left)
	n.recordZone(s, t.upstream.Name, event.Result)
	n.parts.Router.Answered(n.now, t.upstream.Name, latencyOf(event.Result.Status, n.now-t.sent), n.ownReport())
	if fault && n.retryFault(s, len(s.attempts)) {
		return
	}
	if event.Result.Status < http.StatusInternalServerError {
		n.parts.Budget.Succeeded(n.now, s.service)
		n.markAnswered(s)
	} else {
		n.markChildFailed(s)
	}
	n.passAnswer(s, len(s.attempts))
}

// targetDone handles the end of the own target's answer and frees the slot.
func (n *Node) targetDone(event *gypsumrail.Event) {
	v := n.receiverCalls[event.Call]
	if v == nil || !v.running {
		n.counts.Dropped++
		return
	}
	end := runAnswered
	if event.Result != nil && event.Result.Outcome != gypsumrail.Ran {
		end = runFailed
	}
	n.endRun(v, end)
	if v.succeeded && end == runAnswered {
		n.parts.Quarantine.RecordCompletion(n.now, v.fingerprint)
	}
	if v.keyed {
		n.parts.Ledger.Finish(n.now, v.key, gypsumrail.Ran)
	}
	n.dropReceiverCall(v)
	n.startQueued()
}

// targetFailed handles a run on the own target that ended without an answer, and
// frees the slot.
func (n *Node) targetFailed(event *gypsumrail.Event) {
	v := n.receiverCalls[event.Call]
	if v == nil || !v.running || event.Result == nil {
		n.counts.Dropped++
		return
	}
	n.recordStated(v, event.Result.Stated)
	outcome, reason := event.Result.Outcome, event.Result.Reason
	switch {
	case reason == gypsumrail.ReasonCrashed:
		n.faults.share = 0 // the next target is another process
	case reason == gypsumrail.ReasonBroken && outcome != gypsumrail.NotRun && !v.canceled:
		n.recordRun(1)
	}
	end := runFailed
	if reason == gypsumrail.ReasonCrashed {
		end = runCrashed
	}
	n.endRun(v, end)
	switch {
	case end == runCrashed:
		n.recordOwnCrash(v)
	case reason == gypsumrail.ReasonTargetFailed && outcome == gypsumrail.NotRun:
		n.recordCanceled() // no other run was there to break
	}
	if v.keyed {
		n.parts.Ledger.Finish(n.now, v.key, outcome)
	}
	n.cancelChildren(v)
	switch {
	case v.answered || v.canceled && (!v.local || n.senderCalls[v.call] == nil):
		n.dropReceiverCall(v)
	default:
		n.replyReceiverCall(v, outcome, reason)
	}
	n.startQueued()
}

// runEnd is how a run on the own target ended.
type runEnd int

const (
	runAnswered runEnd = iota
	runFailed          // without a whole answer
	runCrashed         // the target ended, with all its runs
)

// endRun frees the slot of a call and passes the run to the limiter as a
// sample, unless the run was canceled or the target ended: it then says nothing about how
// many runs the target bears. The sample's Self leaves out the time spent waiting for
// outgoing calls. Its times are those of a machine as usual, because the limiter compares the
// times at several limits, and a slowdown of the machine is no effect of the limit.
func (n *Node) endRun(v *receiverCall, end runEnd) {
	n.running--
	v.running = false
	if n.suspicions.running == v.call {
		n.suspicions.running = 0
	}
	if v.importance >= gypsumrail.ImportanceReserved {
		n.reserve.running--
	}
	wait := v.childWait
	if len(v.children) > 0 {
		wait += n.now - v.childSince
	}
	latency := n.now - v.started
	work := n.workOf(v, latency, wait)
	if end == runAnswered && !v.canceled && !v.overloaded {
		n.recordRunTime(v.class.Name, work, float64(wait))
	}
	if v.canceled || end == runCrashed {
		return
	}
	n.parts.Limiter.Completed(n.now, gypsumrail.Sample{
		Latency: gypsumrail.Millis(math.Round(work)) + wait, Self: max(0, gypsumrail.Millis(math.Round(work))), InFlight: v.inFlight, Failed: end == runFailed, Refused: v.overloaded,
	})
}

// faultWeight is the weight of the last run in the share of faults. A target that begins
// to fail all runs shows a share of a half after 11 of them.
const faultWeight = 1.0 / 16

// countFault counts a run that the target answered with a status in the share of faults,
// and reports whether it is a fault of the target. An overload and a time-out are none,
// and a failed call of the target may explain any failure.
func (n *Node) countFault(v *receiverCall, status int) bool {
	switch {
	case isOverloadStatus(status), status == http.StatusGatewayTimeout:
		return false
	case status < http.StatusInternalServerError:
		n.recordRun(0)
		return false
	case v.childFailed:
		return false
	}
	n.recordRun(1)
	return true
}

// faultHalfLife is the time in which the share of faults halves. A target that all senders
// avoid has few runs that could show that it works again.
const faultHalfLife = gypsumrail.Second

// recordRun adds a run to the share of faults: 1 for a fault, 0 for a success.
func (n *Node) recordRun(fault float64) {
	share := n.faults.shareAt(n.now)
	n.faults = faults{share + (fault-share)*faultWeight, n.now}
}

// faults is the share of the last runs that the own target failed by itself.
type faults struct {
	share float64
	at    gypsumrail.Millis // time of the last run that counts
}

// shareAt returns the share at a time. It halves in each faultHalfLife without a run.
func (f *faults) shareAt(now gypsumrail.Millis) float64 {
	return f.share * math.Exp2(-float64(now-f.at)/float64(faultHalfLife))
}

// latencyOf returns the latency of an answer for the router. Targets in trouble often fail
// or refuse faster than they serve, so the latency of either would attract more calls.
func latencyOf(status int, latency gypsumrail.Millis) gypsumrail.Millis {
	if status >= http.StatusInternalServerError || isOverloadStatus(status) {
		return noLatency
	}
	return latency
}
