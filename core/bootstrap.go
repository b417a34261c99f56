package core

import (
	"slices"

	"github.com/gypsumrail/gypsumrail"
)

// bootstrapMax bounds the time since the node's first step during which it waits
// for its records and the instance list. After that the node serves calls without
// them.
const bootstrapMax = 5 * gypsumrail.Second

// bootstrapping reports whether a new node lacks its records, or lacks the instance
// list and the class uses services other than the node's own. Without the list, a
// call that ran here would fail at its first outgoing call, while other nodes can
// serve it.
func (n *Node) bootstrapping(class *gypsumrail.Class) bool {
	if n.listedStates != nil && n.records != nil || n.now-n.clocks.began >= bootstrapMax {
		return false
	}
	if n.records == nil {
		return !n.defaultsInUse
	}
	for _, service := range class.Uses {
		if service != n.self.Service {
			return true
		}
	}
	return false
}

// holdUntilReady holds a forwarded call until the node is no longer bootstrapping.
// A refusal would cost the sender a retry, and a resend by a client has no
// retries.
func (n *Node) holdUntilReady(v *receiverCall) {
	n.addReceiverCall(v)
	n.heldCalls = append(n.heldCalls, v.call)
}

// admitHeld admits the held calls whose class no longer waits for bootstrapping.
func (n *Node) admitHeld() {
	if len(n.heldCalls) == 0 {
		return
	}
	n.heldCalls = slices.DeleteFunc(n.heldCalls, func(call gypsumrail.CallID) bool {
		v := n.receiverCalls[call]
		if v == nil || v.running {
			return true
		}
		if n.bootstrapping(v.class) {
			return false
		}
		delete(n.receiverCalls, call)
		n.deadlines.Delete(deadlineEntry{v.deadline, call})
		n.admit(v)
		return true
	})
}

// upstreamWaitMax bounds the time that a call of the own target waits for an
// upstream, from its arrival. While a service is replaced instance by instance,
// the node learns that the old instances leave before it learns of the new ones.
const upstreamWaitMax = gypsumrail.Second

// awaitUpstream makes a call of the own target that has no attempt yet wait for an
// upstream. It reports false if the call may not wait.
func (n *Node) awaitUpstream(s *senderCall) bool {
	if s.origin != gypsumrail.FromTarget || len(s.attempts) > 0 || n.now-s.arrived >= upstreamWaitMax || s.deadline <= n.now || !n.isBeingReplaced(s.service) {
		return false
	}
	n.awaitingUpstream = append(n.awaitingUpstream, s.call)
	return true
}

// isBeingReplaced reports whether an instance of the service is leaving, or no
// instance is known. Otherwise the service is down, and a wait would only delay the
// target.
func (n *Node) isBeingReplaced(service string) bool {
	entries := n.parts.Directory.Upstreams(service)
	return len(entries) == 0 || slices.ContainsFunc(entries, func(entry gypsumrail.Instance) bool {
		return entry.State == gypsumrail.Leaving
	})
}

// dispatchAwaiting dispatches the calls that wait for an upstream.
func (n *Node) dispatchAwaiting() {
	calls := n.awaitingUpstream
	n.awaitingUpstream = nil
	for _, call := range calls {
		if s := n.senderCalls[call]; s != nil && len(s.attempts) == 0 && !s.resolving {
			s.epochAsks = 0
			n.dispatch(s)
		}
	}
}
