package core

import (
	"cmp"
	"maps"
	"slices"

	"github.com/gypsumrail/gypsumrail"
)

const (
	// drainMin is the default of Settings.DrainMin. For that time an idle node still
	// answers, so that callers that do not know of the drain yet get a refusal with
	// outcome NotRun and use another node.
	drainMin = gypsumrail.Second
	// drainMax is the default of Settings.DrainMax, after which a drain ends although
	// calls still run. It is the maximum of any deadline.
	drainMax = 30 * gypsumrail.Second
	// drainAnswerTime is the part of DrainMax that is left for answers to the calls that
	// did not end in time.
	drainAnswerTime = gypsumrail.Second / 10
)

// drain starts the drain: it marks the instance as leaving and informs recent callers
// directly. From then on new calls are refused, except those of finishesInDrain.
// Calls that run or wait here are finished.
func (n *Node) drain() {
	if n.draining {
		return
	}
	n.draining = true
	n.drainStarted = n.now
	n.parts.Directory.Leave(n.now)
	n.self = n.parts.Directory.Self()
	n.notice(gypsumrail.NoticeDrainStarted, n.self.Name, gypsumrail.ReasonNone)
	for _, name := range slices.Sorted(maps.Keys(n.callers)) {
		if peer, ok := n.parts.Directory.Lookup(name); ok && n.now-n.callers[name] <= callerTTL {
			n.sendExchange(peer, 0, false, nil, gypsumrail.Evidence{})
		}
	}
}

// finishDrain stops a draining node that has no calls left, after DrainMin at the
// earliest, and any draining node after DrainMax. Shortly before that it answers the calls
// that are left, so that their callers need not take a closed connection for an answer.
func (n *Node) finishDrain() {
	if !n.draining || n.stopped {
		return
	}
	elapsed := n.now - n.drainStarted
	if elapsed >= n.settings.DrainMax-drainAnswerTime && !n.answersDrain {
		n.answersDrain = true
		n.refuseRemaining()
	}
	idle := len(n.senderCalls) == 0 && len(n.receiverCalls) == 0
	if elapsed >= n.settings.DrainMax || idle && elapsed >= n.settings.DrainMin {
		n.stopped = true
		n.notice(gypsumrail.NoticeDrainComplete, n.self.Name, gypsumrail.ReasonNone)
		n.emit(gypsumrail.Effect{Kind: gypsumrail.Stop})
	}
}

// refuseRemaining refuses the calls that do not end within the drain: as not run those that
// wait, otherwise as calls that may have run.
func (n *Node) refuseRemaining() {
	for _, call := range sortedCalls(n.senderCalls) {
		s := n.senderCalls[call]
		if s == nil || s.answering {
			continue
		}
		n.noteOpenAttempts(s)
		reason := gypsumrail.ReasonDraining
		if s.mayHaveRun {
			reason = gypsumrail.ReasonDeadline
		}
		n.refuseSenderCall(s, reason)
	}
	for _, call := range sortedCalls(n.receiverCalls) {
		if v := n.receiverCalls[call]; v != nil && !v.local && !v.running {
			n.parts.Queue.Remove(v.call)
			n.refuseReceiverCall(v, gypsumrail.NotRun, gypsumrail.ReasonDraining)
		}
	}
}

// sortedCalls returns the keys of a map in ascending order, so that the effects of
// a step do not depend on the iteration order of the map.
func sortedCalls[T any](calls map[gypsumrail.CallID]T) []gypsumrail.CallID {
	return slices.SortedFunc(maps.Keys(calls), cmp.Compare[gypsumrail.CallID])
}

// finishesInDrain reports whether a draining node may serve a call with this
// deadline, because the call ends before refuseRemaining.
func (n *Node) finishesInDrain(deadline gypsumrail.Millis) bool {
	return n.settings.ServeDraining && deadline <= n.drainStarted+n.settings.DrainMax-drainAnswerTime
}
