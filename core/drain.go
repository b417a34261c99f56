package core

import (
	"cmp"
	"maps"
	"slices"

	"github.com/gypsumrail/gypsumrail"
)

const (
	// drainMin is how long a draining node still answers, so that callers that have
	// not heard of it yet are refused as NotRun and go elsewhere.
	drainMin = gypsumrail.Second
	// drainMax ends a drain that calls hold up. It is the cap of any deadline.
	drainMax = 30 * gypsumrail.Second
)

// drain announces that the instance leaves and refuses new calls from now on.
// Calls that run or wait here are finished.
func (n *Node) drain() {
	if n.draining {
		return
	}
	n.draining = true
	n.drainAt = n.now
	n.parts.Directory.Leave(n.now)
	n.self = n.parts.Directory.Self()
	n.notice(gypsumrail.NoticeDrainStarted, n.self.Name, gypsumrail.ReasonNone)
	for _, name := range slices.Sorted(maps.Keys(n.callers)) {
		if peer, ok := n.parts.Directory.Lookup(name); ok && n.now-n.callers[name] <= callerLife {
			n.sendExchange(peer, 0, false, nil)
		}
	}
}

// finishDrain stops the node once nothing is left to finish.
func (n *Node) finishDrain() {
	if !n.draining || n.stopped {
		return
	}
	elapsed := n.now - n.drainAt
	idle := len(n.sends) == 0 && len(n.serves) == 0
	if elapsed >= n.settings.DrainMax || idle && elapsed >= n.settings.DrainMin {
		n.stopped = true
		n.notice(gypsumrail.NoticeDrainComplete, n.self.Name, gypsumrail.ReasonNone)
		n.emit(gypsumrail.Effect{Kind: gypsumrail.Stop})
	}
}

// sortedCalls returns the calls of a map in order, so that the effects of a
// step do not depend on the map's iteration order.
func sortedCalls[T any](calls map[gypsumrail.CallID]T) []gypsumrail.CallID {
	return slices.SortedFunc(maps.Keys(calls), cmp.Compare[gypsumrail.CallID])
}

// finishesInDrain tells whether a new call is surely over before the drain ends.
func (n *Node) finishesInDrain(deadline gypsumrail.Millis) bool {
	return n.settings.ServeDraining && deadline <= n.drainAt+n.settings.DrainMax
}
