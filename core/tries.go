package core

import (
	"net/http"

	"github.com/gypsumrail/gypsumrail"
)

// noLatency tells the router that an answer did not run: refusals are fast and
// would make a loaded upstream look fast.
const noLatency = gypsumrail.Millis(-1)

// attemptAnswered takes the head of an answer from an upstream's node.
func (n *Node) attemptAnswered(event *gypsumrail.Event) {
	s := n.sends[event.Call]
	if s == nil || event.Result == nil || s.try(event.Attempt) == nil || s.answering {
		n.notice(gypsumrail.NoticeUnknownAnswer, "", gypsumrail.ReasonNone)
		n.counts.Dropped++
		return
	}
	t := s.try(event.Attempt)
	result := event.Result
	// An answer of the target has no reason; a refusal by its node has one.
	passes := result.Outcome == gypsumrail.Ran && result.Reason == gypsumrail.ReasonNone
	t.open = passes
	s.allowance.Return(&t.portion, result.AllowanceLeft)
	n.learn(t.upstream, s.service, s.class.Name, result)
	switch {
	case passes:
		n.parts.Router.Answered(n.now, t.upstream.Name, n.now-t.sent, result.Report)
	case result.Reason == gypsumrail.ReasonTargetFailed, result.Reason == gypsumrail.ReasonMisdirected:
		// The node lives but its target does not, so it must not attract calls by
		// refusing them fast.
		n.parts.Router.Failed(n.now, t.upstream.Name, result.Reason)
	default:
		n.parts.Router.Answered(n.now, t.upstream.Name, noLatency, result.Report)
	}
	if passes {
		n.ran(s, event.Attempt, result)
		return
	}
	n.ended(s, event.Attempt, result.Outcome, result.Reason)
}

// ran passes an answer of the target on, unless the target refused the call for
// load and another upstream can take it.
func (n *Node) ran(s *send, attempt int, result *gypsumrail.Result) {
	overloaded := isOverloadStatus(result.Status)
	if overloaded && s.class.Repeatable && n.mayRetry(s, gypsumrail.ReasonOverload) {
		s.tries[attempt-1].open = false
		n.emit(gypsumrail.Effect{Kind: gypsumrail.CancelAttempt, Call: s.call, Attempt: attempt})
		s.mayHaveRun = true
		n.retry(s, gypsumrail.ReasonOverload)
		return
	}
	if result.Status < http.StatusInternalServerError {
		n.parts.Budget.Succeeded(n.now, s.service)
		n.markUsed(s)
	} else {
		n.markChildFailed(s)
	}
	n.answer(s, attempt)
}

// answer passes the body of an attempt on to the caller. From here on the call
// has no deadline: cutting a whole answer short would waste all the work.
func (n *Node) answer(s *send, attempt int) {
	s.answering = true
	n.due.Delete(due{s.deadline, s.call})
	if attempt >= 1 && s.tries[attempt-1].local {
		attempt = 0
	}
	n.emit(gypsumrail.Effect{Kind: gypsumrail.Answer, Call: s.call, Attempt: attempt, Hints: n.allHints()})
}

// isOverloadStatus tells whether a target's answer means that it shed the call.
func isOverloadStatus(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// attemptFailed takes the end of an attempt that got no answer.
func (n *Node) attemptFailed(event *gypsumrail.Event) {
	s := n.sends[event.Call]
	if s == nil || event.Result == nil || s.try(event.Attempt) == nil {
		n.counts.Dropped++
		return
	}
	if s.answering {
		// The body broke while it was passed on; AnswerDone ends the call.
		s.try(event.Attempt).open = false
		return
	}
	t := s.try(event.Attempt)
	t.open = false
	n.parts.Router.Failed(n.now, t.upstream.Name, event.Result.Reason)
	if event.Result.Reason == gypsumrail.ReasonSilent {
		n.counts.SilentConns++
		n.notice(gypsumrail.NoticeUpstreamSilent, t.upstream.Name, gypsumrail.ReasonSilent)
	}
	n.ended(s, event.Attempt, event.Result.Outcome, event.Result.Reason)
}

// ended decides what follows an attempt that gave no answer.
func (n *Node) ended(s *send, attempt int, outcome gypsumrail.Outcome, reason gypsumrail.Reason) {
	keyed := s.keyText != ""
	if outcome == gypsumrail.NotRun && reason != gypsumrail.ReasonConnect {
		s.homeSpoke = true
	}
	if outcome == gypsumrail.Ran {
		n.finishWith(s, gypsumrail.Ran, reason)
		return
	}
	if outcome == gypsumrail.Unknown {
		if keyed && isLost(reason) {
			n.askResolve(s, attempt)
			return
		}
		s.mayHaveRun = true
		if keyed {
			n.finishRefused(s, reason)
			return
		}
	}
	if n.mayRetry(s, reason) {
		n.retry(s, reason)
		return
	}
	n.finishRefused(s, reason)
}

// isLost tells whether the outcome of an attempt is unknown because its answer
// did not arrive, so that its home can still say what became of it.
func isLost(reason gypsumrail.Reason) bool {
	return reason == gypsumrail.ReasonSilent || reason == gypsumrail.ReasonBroken
}

// mayRetry tells whether another attempt is allowed after one that ended for
// the reason. It takes the retry from the budget.
func (n *Node) mayRetry(s *send, reason gypsumrail.Reason) bool {
	if !isRetryable(reason) || s.deadline <= n.now {
		return false
	}
	if s.mayHaveRun && !s.class.Repeatable {
		return false
	}
	pinned := s.keyText != "" && !s.ownKey
	if pinned && reason != gypsumrail.ReasonSilent && reason != gypsumrail.ReasonBroken {
		return false
	}
	if reachedTarget(reason) && !mayUseAnother(s) {
		return false
	}
	switch n.settings.Retry {
	case RetryNone:
		return false
	case RetryPerHop:
		return len(s.tries) <= n.settings.RetriesPerHop
	}
	if n.settings.FreeRefusals && !reachedTarget(reason) {
		return s.refusals < refusalsMax && (!isLoad(reason) || n.parts.Router.HasRoom(n.now, n.choice(s)))
	}
	if s.allowance.Left() < 1 {
		return false
	}
	if isLoad(reason) && !n.parts.Router.HasRoom(n.now, n.choice(s)) {
		return false
	}
	return n.parts.Budget.Take(n.now, s.service)
}

// refusalsMax bounds the refusals of one call that are free with FreeRefusals, so
// that a call does not visit a whole service that is full.
const refusalsMax = 3

// reachedTarget tells whether an attempt that ended for the reason may have put
// load on a target. A node's own refusal and a connection that was not opened do not.
func reachedTarget(reason gypsumrail.Reason) bool {
	switch reason {
	case gypsumrail.ReasonTargetBusy, gypsumrail.ReasonTargetFailed, gypsumrail.ReasonBroken, gypsumrail.ReasonSilent,
		gypsumrail.ReasonMisdirected:
		return true
	}
	return false
}

// isRetryable tells whether another upstream could do better.
func isRetryable(reason gypsumrail.Reason) bool {
	switch reason {
	case gypsumrail.ReasonUnknownName, gypsumrail.ReasonTooDeep, gypsumrail.ReasonDeadline,
		gypsumrail.ReasonKeyExpired, gypsumrail.ReasonKeyInUse, gypsumrail.ReasonKeyDone,
		gypsumrail.ReasonKeyRequired, gypsumrail.ReasonKeyRefused, gypsumrail.ReasonHomeGone,
		gypsumrail.ReasonCallerGone, gypsumrail.ReasonSuperseded:
		return false
	}
	return true
}

// isLoad tells whether a refusal means that the service has no capacity to spare.
func isLoad(reason gypsumrail.Reason) bool {
	return reason == gypsumrail.ReasonOverload || reason == gypsumrail.ReasonShed
}

// retry spends one retry and sends the call again.
func (n *Node) retry(s *send, reason gypsumrail.Reason) {
	switch {
	case n.settings.FreeRefusals && !reachedTarget(reason):
		s.refusals++
	case n.settings.Retry == RetryChain:
		s.allowance.Spend()
	}
	n.counts.Retries++
	n.dispatch(s)
}

// answerDone ends a call whose body was passed on, or broke on the way.
func (n *Node) answerDone(call gypsumrail.CallID) {
	s := n.sends[call]
	if s == nil {
		return
	}
	for i := range s.tries {
		s.tries[i].open = false
	}
	n.dropSend(s)
}

// learn takes what an answer says of its upstream and of the services below it.
func (n *Node) learn(upstream gypsumrail.Instance, service, class string, result *gypsumrail.Result) {
	if report := result.Report; report != nil && report.Instance == upstream.Name {
		n.parts.Shedder.Learn(n.now, service, upstream.Name, report.Threshold)
		n.learnEpoch(report)
		direct := upstream
		direct.Incarnation = report.Incarnation
		direct.State = gypsumrail.Live
		if report.Leaving {
			direct.State = gypsumrail.Leaving
		}
		if direct.State != upstream.State || direct.Incarnation != upstream.Incarnation {
			n.parts.Directory.Observe(n.now, direct)
		}
	}
	for _, hint := range result.Hints {
		n.parts.Shedder.LearnHint(n.now, hint)
	}
	n.noteUse(class, result.Uses...)
}
