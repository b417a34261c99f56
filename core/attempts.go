package core

import (
	"net/http"

	"github.com/gypsumrail/gypsumrail"
)

// noLatency is the latency of a refusal for the router. Refusals are fast, and
// their latency would make a loaded upstream look fast.
const noLatency = gypsumrail.Millis(-1)

// attemptAnswered handles the head of an answer from an upstream's node: the
// answer of its target or a refusal.
func (n *Node) attemptAnswered(event *gypsumrail.Event) {
	s := n.senderCalls[event.Call]
	if s == nil || event.Result == nil || s.openAttempt(event.Attempt) == nil || s.answering {
		n.notice(gypsumrail.NoticeUnknownAnswer, "", gypsumrail.ReasonNone)
		n.counts.Dropped++
		return
	}
	t := s.openAttempt(event.Attempt)
	result := event.Result
	// A refusal by the upstream's node has a reason, an answer of its target has
	// none.
	answered := result.Outcome == gypsumrail.Ran && result.Reason == gypsumrail.ReasonNone
	t.open = answered
	t.slowed = result.Report != nil && result.Report.Slowdown > 1
	s.allowance.Return(&t.portion, result.AllowanceLeft)
	n.recordAnswer(t.upstream, s.service, s.class.Name, result)
	if result.Reason == gypsumrail.ReasonCrashed {
		n.recordCrash(t.upstream.Address, s.fingerprint, t.onTrial)
	}
	if result.Stated != nil && result.Stated.Leaving {
		n.recordLeaving(t.upstream)
	}
	switch {
	case answered:
		n.parts.Router.Answered(n.now, t.upstream.Name, latencyOf(result.Status, n.now-t.sent), result.Report)
	case result.Reason == gypsumrail.ReasonTargetFailed, result.Reason == gypsumrail.ReasonMisdirected, result.Reason == gypsumrail.ReasonCrashed:
		// The node works but its target does not. Counting these fast refusals as
		// answers would attract more calls.
		n.parts.Router.Failed(n.now, t.upstream.Name, result.Reason)
	default:
		n.parts.Router.Answered(n.now, t.upstream.Name, noLatency, result.Report)
	}
	n.recordZone(s, t.upstream.Name, result)
	if answered {
		n.attemptRan(s, event.Attempt, result)
		return
	}
	n.attemptEnded(s, event.Attempt, result.Outcome, result.Reason)
}

// attemptRan passes on the answer of an upstream's target. If the target
// answered that it is overloaded, the call is repeatable and a retry is
// allowed, it retries the call instead.
func (n *Node) attemptRan(s *senderCall, attempt int, result *gypsumrail.Result) {
	overloaded := isOverloadStatus(result.Status)
	// TargetBusy is not a free refusal: the attempt put load on a target.
	if overloaded && s.class.Repeatable && n.parts.Router.HasRoom(n.now, n.callChoice(s)) && n.mayRetry(s, gypsumrail.Ran, gypsumrail.ReasonTargetBusy) {
		s.attempts[attempt-1].open = false
		n.emit(gypsumrail.Effect{Kind: gypsumrail.CancelAttempt, Call: s.call, Attempt: attempt})
		s.mayHaveRun = true
		n.retry(s, gypsumrail.Ran, gypsumrail.ReasonTargetBusy)
		return
	}
	if result.TargetFault && n.retryFault(s, attempt) {
		return
	}
	if result.Status < http.StatusInternalServerError {
		n.parts.Budget.Succeeded(n.now, s.service)
		n.markAnswered(s)
	} else {
		n.markChildFailed(s)
	}
	n.passAnswer(s, attempt)
}

// retryFault retries a repeatable call that a target failed by itself at another upstream,
// and reports whether it did. A failure that comes from further down would repeat. Without
// another upstream the caller gets the target's answer and not a refusal in its place.
func (n *Node) retryFault(s *senderCall, attempt int) bool {
	if !s.class.Repeatable || !attemptsLeft(s) {
		return false
	}
	if _, reason := n.parts.Router.Choose(n.now, n.callChoice(s)); reason != gypsumrail.ReasonNone {
		return false
	}
	if !n.mayRetry(s, gypsumrail.Ran, gypsumrail.ReasonTargetFailed) {
		return false
	}
	t := &s.attempts[attempt-1]
	t.open = false
	if !t.local {
		n.emit(gypsumrail.Effect{Kind: gypsumrail.CancelAttempt, Call: s.call, Attempt: attempt})
	}
	s.mayHaveRun = true
	n.retry(s, gypsumrail.Ran, gypsumrail.ReasonTargetFailed)
	return true
}

// passAnswer passes the answer of an attempt on to the caller. From here on the
// call has no deadline, because cutting an answer short would waste the work
// behind it.
func (n *Node) passAnswer(s *senderCall, attempt int) {
	s.answering = true
	n.deadlines.Delete(deadlineEntry{s.deadline, s.call})
	if attempt >= 1 && s.attempts[attempt-1].local {
		attempt = 0
	}
	n.emit(gypsumrail.Effect{Kind: gypsumrail.Answer, Call: s.call, Attempt: attempt, Hints: n.allHints()})
}

// isOverloadStatus reports whether the HTTP status of a target's answer means
// that the target shed the call.
func isOverloadStatus(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// attemptFailed handles the end of an attempt without an answer.
func (n *Node) attemptFailed(event *gypsumrail.Event) {
	s := n.senderCalls[event.Call]
	if s == nil || event.Result == nil || s.openAttempt(event.Attempt) == nil {
		n.counts.Dropped++
		return
	}
	if s.answering {
		// The body broke while it was passed on. The event AnswerDone ends the call.
		s.openAttempt(event.Attempt).open = false
		return
	}
	t := s.openAttempt(event.Attempt)
	t.open = false
	n.parts.Router.Failed(n.now, t.upstream.Name, event.Result.Reason)
	if event.Result.Reason == gypsumrail.ReasonSilent {
		n.counts.SilentConns++
		n.notice(gypsumrail.NoticeUpstreamSilent, t.upstream.Name, gypsumrail.ReasonSilent)
	}
	n.attemptEnded(s, event.Attempt, event.Result.Outcome, event.Result.Reason)
}

// attemptEnded handles an attempt without an answer that can be passed on. It
// asks the home for the outcome, retries the call, or refuses it.
func (n *Node) attemptEnded(s *senderCall, attempt int, outcome gypsumrail.Outcome, reason gypsumrail.Reason) {
	keyed := s.keyText != ""
	if outcome == gypsumrail.NotRun && reason != gypsumrail.ReasonConnect {
		s.knownNotRun = true
	}
	if outcome == gypsumrail.Ran {
		n.refuseWithOutcome(s, gypsumrail.Ran, reason)
		return
	}
	if outcome == gypsumrail.Unknown {
		if keyed && isAnswerLost(reason) {
			n.askResolve(s, attempt)
			return
		}
		s.mayHaveRun = true
		if keyed {
			n.refuseSenderCall(s, reason)
			return
		}
	}
	if n.mayRetry(s, outcome, reason) {
		n.retry(s, outcome, reason)
		return
	}
	n.refuseSenderCall(s, reason)
}

// isAnswerLost reports whether the outcome of an attempt is unknown only
// because its answer did not arrive. Its home can then still tell the outcome.
func isAnswerLost(reason gypsumrail.Reason) bool {
	return reason == gypsumrail.ReasonSilent || reason == gypsumrail.ReasonBroken || reason == gypsumrail.ReasonCrashed
}

// mayRetry reports whether another attempt is allowed after one that ended with the
// outcome and reason. With RetryChain it takes the retry from the retry budget, unless
// the refusal is free.
func (n *Node) mayRetry(s *senderCall, outcome gypsumrail.Outcome, reason gypsumrail.Reason) bool {
	elsewhere := s.mayFinishElsewhere(outcome, reason)
	if !isRetryable(reason) && !elsewhere || s.deadline <= n.now || n.isQuarantined(s.fingerprint) {
		return false
	}
	if s.mayHaveRun && !s.class.Repeatable {
		return false
	}
	pinned := s.keyText != "" && !s.ownKey
	if pinned && !isAnswerLost(reason) {
		return false
	}
	if reachedTarget(outcome, reason) && !attemptsLeft(s) {
		return false
	}
	if n.settings.FreeRefusals && s.home && isOverloadReason(reason) && n.refusedAbroad(s) {
		return true // the first attempt in the own zone
	}
	switch n.settings.Retry {
	case RetryNone:
		return false
	case RetryPerHop:
		return len(s.attempts) <= n.settings.RetriesPerHop
	}
	if n.settings.FreeRefusals && !reachedTarget(outcome, reason) {
		return s.freeRefusals < freeRefusalsMax && (!isOverloadReason(reason) || n.parts.Router.HasRoom(n.now, n.callChoice(s)))
	}
	if s.allowance.Left() < 1 {
		return false
	}
	if isOverloadReason(reason) && !n.parts.Router.HasRoom(n.now, n.callChoice(s)) {
		return false
	}
	return n.parts.Budget.Take(n.now, s.service)
}

// freeRefusalsMax bounds the refusals of one call that are free with FreeRefusals,
// so that a call does not go through all instances of a full service.
const freeRefusalsMax = 3

// reachedTarget reports whether an attempt that ended with the outcome and reason may
// have put load on a target. A refusal by the node and a failed connection, of the
// sender to the node or of the node to its target, put no load on it.
func reachedTarget(outcome gypsumrail.Outcome, reason gypsumrail.Reason) bool {
	switch reason {
	case gypsumrail.ReasonTargetFailed:
		return outcome != gypsumrail.NotRun
	case gypsumrail.ReasonTargetBusy, gypsumrail.ReasonBroken, gypsumrail.ReasonCrashed,
		gypsumrail.ReasonSilent, gypsumrail.ReasonMisdirected:
		return true
	}
	return false
}

// isRetryable reports whether another upstream could serve a call whose attempt
// ended for the reason.
func isRetryable(reason gypsumrail.Reason) bool {
	switch reason {
	case gypsumrail.ReasonUnknownName, gypsumrail.ReasonInvalidClass, gypsumrail.ReasonTooDeep, gypsumrail.ReasonDeadline,
		gypsumrail.ReasonKeyExpired, gypsumrail.ReasonKeyInUse, gypsumrail.ReasonKeyDone,
		gypsumrail.ReasonKeyRequired, gypsumrail.ReasonKeyRefused, gypsumrail.ReasonHomeGone,
		gypsumrail.ReasonCallerGone, gypsumrail.ReasonSuperseded,
		gypsumrail.ReasonQuarantined, gypsumrail.ReasonSuspected:
		return false
	}
	return true
}

// isOverloadReason reports whether the reason means that the service has no free capacity.
func isOverloadReason(reason gypsumrail.Reason) bool {
	return reason == gypsumrail.ReasonOverload || reason == gypsumrail.ReasonShed
}

// retry makes another attempt after mayRetry allowed it. With RetryChain it
// spends one retry of the allowance, unless the refusal is free.
func (n *Node) retry(s *senderCall, outcome gypsumrail.Outcome, reason gypsumrail.Reason) {
	switch {
	case n.settings.FreeRefusals && !reachedTarget(outcome, reason):
		s.freeRefusals++
	case n.settings.Retry == RetryChain:
		s.allowance.Spend()
	}
	n.counts.Retries++
	n.dispatch(s)
}

// answerDone ends a call whose answer was passed on whole or broke on the way.
func (n *Node) answerDone(call gypsumrail.CallID) {
	s := n.senderCalls[call]
	if s == nil {
		return
	}
	for i := range s.attempts {
		s.attempts[i].open = false
	}
	n.dropSenderCall(s)
}

// recordAnswer records what an answer reports about its upstream (threshold,
// epoch, state) and about the services below it (hints, uses).
func (n *Node) recordAnswer(upstream gypsumrail.Instance, service, class string, result *gypsumrail.Result) {
	if report := result.Report; report != nil && report.Instance == upstream.Name {
		n.parts.Shedder.RecordThreshold(n.now, service, upstream.Name, report.Threshold)
		n.recordEpoch(report)
		direct := upstream
		direct.Incarnation = report.Incarnation
		direct.State = gypsumrail.Live
		if report.Leaving {
			direct.State = gypsumrail.Leaving
		}
		if direct.State != upstream.State || direct.Incarnation != upstream.Incarnation {
			n.parts.Directory.RecordState(n.now, direct)
		}
	}
	for _, hint := range result.Hints {
		n.parts.Shedder.RecordHint(n.now, hint)
	}
	n.recordUse(class, result.Uses...)
}
