package core

import (
	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/ledger"
)

// askResolve asks the home of a key what became of an attempt whose answer did
// not arrive. The home refuses the attempt for good if it has not started, so
// that the answer stays true.
func (n *Node) askResolve(s *send, attempt int) {
	t := &s.tries[attempt-1]
	s.resolving = true
	n.counts.Resolves++
	if t.local {
		outcome, reason := n.settle(s.key, t.attempt)
		n.settled(s, attempt, outcome, reason)
		return
	}
	n.emit(gypsumrail.Effect{
		Kind: gypsumrail.AskResolve, Call: s.call, Attempt: attempt, To: t.upstream, Key: s.keyText, HomeAttempt: t.attempt,
	})
}

// epochAsksMax bounds the upstreams that are asked for their epoch for one call.
// One question is not enough: the upstream that was asked may be leaving.
const epochAsksMax = 3

// askEpoch asks an upstream for its epoch, without which a key cannot name it as
// the home of an outgoing call.
func (n *Node) askEpoch(s *send) bool {
	if s.epochAsks >= epochAsksMax {
		return false
	}
	home, reason := n.parts.Router.Choose(n.now, n.choice(s))
	if reason != gypsumrail.ReasonNone {
		return false
	}
	s.epochAsks++
	s.resolving = true
	n.emit(gypsumrail.Effect{Kind: gypsumrail.AskResolve, Call: s.call, To: home})
	return true
}

// resolved takes the answer of a home.
func (n *Node) resolved(event *gypsumrail.Event) {
	if event.Result == nil {
		n.counts.Dropped++
		return
	}
	if event.Result.Report != nil {
		n.learnEpoch(event.Result.Report)
	}
	if waiting, ok := n.tickets[event.Call]; ok {
		n.issueTickets(event.Call, waiting)
		return
	}
	s := n.sends[event.Call]
	if s != nil && s.resolving && event.Attempt == 0 {
		s.resolving = false
		n.dispatch(s)
		return
	}
	if s == nil || !s.resolving || event.Attempt < 1 || event.Attempt > len(s.tries) {
		n.counts.Dropped++
		return
	}
	n.settled(s, event.Attempt, event.Result.Outcome, event.Result.Reason)
}

func (n *Node) issueTickets(call gypsumrail.CallID, waiting ticket) {
	delete(n.tickets, call)
	effect := gypsumrail.Effect{Kind: gypsumrail.Tickets, Call: call}
	effect.Keys = n.freshKeys(waiting.service, waiting.class, waiting.count)
	if len(effect.Keys) == 0 {
		effect.Reason = gypsumrail.ReasonNoUpstream
	}
	n.emit(effect)
}

// settled goes on with a call once its home has answered. Only an attempt that
// did not run, and now never will, may be followed by another one.
func (n *Node) settled(s *send, attempt int, outcome gypsumrail.Outcome, reason gypsumrail.Reason) {
	s.resolving = false
	switch outcome {
	case gypsumrail.NotRun:
		s.homeSpoke = true
		if n.mayRetry(s, gypsumrail.ReasonBroken) {
			n.retry(s, gypsumrail.ReasonBroken)
			return
		}
		n.finishRefused(s, gypsumrail.ReasonBroken)
	case gypsumrail.Ran:
		s.tries[attempt-1].open = false
		n.finishWith(s, gypsumrail.Ran, gypsumrail.ReasonKeyDone)
	default:
		s.mayHaveRun = true
		if reason == gypsumrail.ReasonNone {
			reason = gypsumrail.ReasonHomeGone
		}
		n.finishRefused(s, reason)
	}
}

// resolveAsked answers the question of another node about one attempt.
func (n *Node) resolveAsked(event *gypsumrail.Event) {
	effect := gypsumrail.Effect{Kind: gypsumrail.ResolveReply, Call: event.Call, Report: n.ownReport()}
	if event.Key != "" {
		key, err := ledger.ParseKey(event.Key)
		if err != nil {
			effect.Outcome, effect.Reason = gypsumrail.Unknown, gypsumrail.ReasonKeyRequired
		} else {
			effect.Outcome, effect.Reason = n.settle(key, event.HomeAttempt)
		}
	}
	n.emit(effect)
}

// settle refuses an attempt for good unless it started, and returns its state.
func (n *Node) settle(key gypsumrail.Key, attempt gypsumrail.HomeAttempt) (gypsumrail.Outcome, gypsumrail.Reason) {
	return verdictOutcome(n.parts.Ledger.Refuse(n.now, key, attempt))
}
