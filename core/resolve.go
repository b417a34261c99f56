package core

import (
	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/ledger"
)

// askResolve asks the home of a key for the outcome of an attempt whose answer
// did not arrive. If the attempt has not started, the home refuses it for good,
// so that the outcome it returns stays true.
func (n *Node) askResolve(s *senderCall, attempt int) {
	t := &s.attempts[attempt-1]
	s.resolving = true
	n.counts.Resolves++
	if t.local {
		outcome, reason := n.refuseAttempt(s.key, t.homeAttempt)
		n.attemptResolved(s, attempt, outcome, reason)
		return
	}
	n.emit(gypsumrail.Effect{
		Kind: gypsumrail.AskResolve, Call: s.call, Attempt: attempt, To: t.upstream, Key: s.keyText, HomeAttempt: t.homeAttempt,
	})
}

// epochAsksMax bounds the upstreams that are asked for their epoch for one
// call. One is not enough, because it may be leaving.
const epochAsksMax = 3

// askEpoch asks an upstream for its epoch and reports whether it did. A key
// that names the upstream as home needs its epoch.
func (n *Node) askEpoch(s *senderCall) bool {
	if s.epochAsks >= epochAsksMax {
		return false
	}
	home, reason := n.parts.Router.Choose(n.now, n.callChoice(s))
	if reason != gypsumrail.ReasonNone {
		return false
	}
	s.epochAsks++
	s.resolving = true
	n.emit(gypsumrail.Effect{Kind: gypsumrail.AskResolve, Call: s.call, To: home})
	return true
}

// resolved handles the answer to an AskResolve: an epoch for waiting tickets,
// an epoch for a call that has no key yet, or the outcome of an attempt.
func (n *Node) resolved(event *gypsumrail.Event) {
	if event.Result == nil {
		n.counts.Dropped++
		return
	}
	if event.Result.Report != nil {
		n.recordEpoch(event.Result.Report)
	}
	if waiting, ok := n.tickets[event.Call]; ok {
		n.issueTickets(event.Call, waiting)
		return
	}
	s := n.senderCalls[event.Call]
	if s != nil && s.resolving && event.Attempt == 0 {
		s.resolving = false
		n.dispatch(s)
		return
	}
	if s == nil || !s.resolving || event.Attempt < 1 || event.Attempt > len(s.attempts) {
		n.counts.Dropped++
		return
	}
	n.attemptResolved(s, event.Attempt, event.Result.Outcome, event.Result.Reason)
}

// issueTickets answers a request for keys after the home was asked for its
// epoch.
func (n *Node) issueTickets(call gypsumrail.CallID, waiting ticket) {
	delete(n.tickets, call)
	effect := gypsumrail.Effect{Kind: gypsumrail.Tickets, Call: call}
	effect.Keys = n.freshKeys(waiting.service, waiting.class, waiting.count)
	if len(effect.Keys) == 0 {
		effect.Reason = gypsumrail.ReasonNoUpstream
	}
	n.emit(effect)
}

// attemptResolved continues a call with the outcome of an attempt that its home
// returned. Only after NotRun may another attempt follow, because the home no
// longer starts the attempt.
func (n *Node) attemptResolved(s *senderCall, attempt int, outcome gypsumrail.Outcome, reason gypsumrail.Reason) {
	s.resolving = false
	switch outcome {
	case gypsumrail.NotRun:
		s.knownNotRun = true
		if n.mayRetry(s, gypsumrail.NotRun, gypsumrail.ReasonBroken) {
			n.retry(s, gypsumrail.NotRun, gypsumrail.ReasonBroken)
			return
		}
		n.refuseSenderCall(s, gypsumrail.ReasonBroken)
	case gypsumrail.Ran:
		s.attempts[attempt-1].open = false
		n.refuseWithOutcome(s, gypsumrail.Ran, gypsumrail.ReasonKeyDone)
	default:
		s.mayHaveRun = true
		if reason == gypsumrail.ReasonNone {
			reason = gypsumrail.ReasonHomeGone
		}
		n.refuseSenderCall(s, reason)
	}
}

// resolveAsked answers another node that asks for the outcome of one attempt,
// or, without a key, only for the report.
func (n *Node) resolveAsked(event *gypsumrail.Event) {
	effect := gypsumrail.Effect{Kind: gypsumrail.ResolveReply, Call: event.Call, Report: n.ownReport()}
	if event.Key != "" {
		key, err := ledger.ParseKey(event.Key)
		if err != nil {
			effect.Outcome, effect.Reason = gypsumrail.Unknown, gypsumrail.ReasonKeyRequired
		} else {
			effect.Outcome, effect.Reason = n.refuseAttempt(key, event.HomeAttempt)
		}
	}
	n.emit(effect)
}

// refuseAttempt refuses an attempt for good unless it started, and returns its
// outcome.
func (n *Node) refuseAttempt(key gypsumrail.Key, attempt gypsumrail.HomeAttempt) (gypsumrail.Outcome, gypsumrail.Reason) {
	return verdictOutcome(n.parts.Ledger.Refuse(n.now, key, attempt))
}
