package core

import "github.com/gypsumrail/gypsumrail"

// askQuiet asks the nodes of upstreams whose answers are overdue whether they live.
func (n *Node) askQuiet() {
	if n.detector == nil {
		return
	}
	n.quiet = n.detector.Overdue(n.now, n.quiet[:0])
	for _, upstream := range n.quiet {
		n.sendExchange(upstream, 0, false, nil)
	}
}

// upstreamSeen takes a control message of an upstream's node.
func (n *Node) upstreamSeen(name string) {
	if n.detector != nil && n.detector.Seen(n.now, name) {
		n.notice(gypsumrail.NoticeUpstreamBack, name, gypsumrail.ReasonNone)
	}
}

// upstreamLost takes a question that an upstream's node did not answer. Right
// after a pause of this process, its own timers are what expired.
func (n *Node) upstreamLost(name string) {
	if n.detector == nil || n.clocks.resumed != noTick && n.now-n.clocks.resumed <= pauseGap {
		return
	}
	if !n.detector.Lost(n.now, name) {
		return
	}
	n.notice(gypsumrail.NoticeUpstreamLost, name, gypsumrail.ReasonSilent)
	n.moveCalls(name)
}

// moveCalls tries the calls that wait for an upstream elsewhere. A call that may
// not be repeated, or has no other upstream or no retry left, goes on waiting:
// its answer may still come.
func (n *Node) moveCalls(name string) {
	for _, call := range sortedCalls(n.sends) {
		s := n.sends[call]
		if s == nil || s.answering || s.class == nil || !s.class.Repeatable || s.keyText != "" || len(s.tries) == 0 {
			continue
		}
		t := &s.tries[len(s.tries)-1]
		if !t.open || t.local || t.upstream.Name != name {
			continue
		}
		if _, reason := n.parts.Router.Choose(n.now, n.choice(s)); reason != gypsumrail.ReasonNone {
			continue
		}
		if !n.mayRetry(s, gypsumrail.ReasonSilent) {
			continue
		}
		t.open = false
		n.parts.Router.Failed(n.now, name, gypsumrail.ReasonSilent)
		n.emit(gypsumrail.Effect{Kind: gypsumrail.CancelAttempt, Call: call, Attempt: len(s.tries)})
		s.mayHaveRun = true
		n.retry(s, gypsumrail.ReasonSilent)
	}
}
