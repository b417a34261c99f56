package core

import "github.com/gypsumrail/gypsumrail"

// probeOverdue sends an exchange as a probe to the nodes of upstreams whose answers
// are overdue. It runs every observeEvery.
func (n *Node) probeOverdue() {
	if n.detector == nil {
		return
	}
	n.dueProbes = n.detector.DueProbes(n.now, n.dueProbes[:0])
	for _, upstream := range n.dueProbes {
		n.sendExchange(upstream, 0, false, nil, gypsumrail.Evidence{})
	}
}

// upstreamResponded records that a control message of an upstream's node arrived. It
// logs the recovery if the upstream was lost.
func (n *Node) upstreamResponded(name string) {
	if n.detector != nil && n.detector.NodeAnswered(n.now, name) {
		n.notice(gypsumrail.NoticeUpstreamBack, name, gypsumrail.ReasonNone)
	}
}

// probeFailed records that an upstream's node did not answer a control message. If
// the detector then marks it as lost, the calls that wait for it are retried. Failures
// within pauseGap after a pause of this process do not count: its own timers
// expired during the pause.
func (n *Node) probeFailed(name string) {
	if n.detector == nil || n.clocks.resumed != noTime && n.now-n.clocks.resumed <= pauseGap {
		return
	}
	if !n.detector.ProbeFailed(n.now, name) {
		return
	}
	n.notice(gypsumrail.NoticeUpstreamLost, name, gypsumrail.ReasonSilent)
	n.retryCallsTo(name)
}

// retryCallsTo retries calls that wait for an answer of this upstream, each at
// another one. A call that is not repeatable, has a key, or has no other upstream or
// no retry left continues to wait, because its answer may still arrive.
func (n *Node) retryCallsTo(name string) {
	for _, call := range sortedCalls(n.senderCalls) {
		s := n.senderCalls[call]
		if s == nil || s.answering || s.class == nil || !s.class.Repeatable || s.keyText != "" || len(s.attempts) == 0 {
			continue
		}
		t := &s.attempts[len(s.attempts)-1]
		if !t.open || t.local || t.upstream.Name != name {
			continue
		}
		if _, reason := n.parts.Router.Choose(n.now, n.callChoice(s)); reason != gypsumrail.ReasonNone {
			continue
		}
		if !n.mayRetry(s, gypsumrail.Unknown, gypsumrail.ReasonSilent) {
			continue
		}
		t.open = false
		n.parts.Router.Failed(n.now, name, gypsumrail.ReasonSilent)
		n.emit(gypsumrail.Effect{Kind: gypsumrail.CancelAttempt, Call: call, Attempt: len(s.attempts)})
		s.mayHaveRun = true
		n.retry(s, gypsumrail.Unknown, gypsumrail.ReasonSilent)
	}
}
