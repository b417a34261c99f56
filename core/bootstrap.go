package core

import (
	"slices"

	"github.com/gypsumrail/gypsumrail"
)

// bootstrapMax is how long a new node waits for the list of instances, as it does
// for its records. After that it serves what it can.
const bootstrapMax = 5 * gypsumrail.Second

// bootstrapping tells whether a new node has no records yet, or no list of instances
// while the class uses other services than the own. A call that ran here would
// fail at its first outgoing call, while other nodes can serve it.
func (n *Node) bootstrapping(class *gypsumrail.Class) bool {
	if n.listed != nil && n.records != nil || n.now-n.clocks.began >= bootstrapMax {
		return false
	}
	if n.records == nil {
		return !n.defaults
	}
	for _, service := range class.Uses {
		if service != n.self.Service {
			return true
		}
	}
	return false
}

// holdUntilReady keeps a forwarded call until this node knows what it needs to run
// it. Refusing it would cost its sender a retry, and a resend has none.
func (n *Node) holdUntilReady(v *serve) {
	n.hold(v)
	n.held = append(n.held, v.call)
}

// admitHeld admits the calls that were held, once the node is no longer bootstrapping.
func (n *Node) admitHeld() {
	if len(n.held) == 0 {
		return
	}
	n.held = slices.DeleteFunc(n.held, func(call gypsumrail.CallID) bool {
		v := n.serves[call]
		if v == nil || v.running {
			return true
		}
		if n.bootstrapping(v.class) {
			return false
		}
		delete(n.serves, call)
		n.due.Delete(due{v.deadline, call})
		n.admit(v)
		return true
	})
}

// upstreamWaitMax is how long a call of the own target waits for an upstream to
// appear. While a service is replaced instance by instance, the old ones are
// known as leaving before the new ones are known at all.
const upstreamWaitMax = gypsumrail.Second

// awaitUpstream lets a call of the own target that was never tried wait for an
// upstream, and reports whether it does.
func (n *Node) awaitUpstream(s *send) bool {
	if s.origin != gypsumrail.FromTarget || len(s.tries) > 0 || n.now-s.arrived >= upstreamWaitMax || s.deadline <= n.now || !n.isReplaced(s.service) {
		return false
	}
	n.awaiting = append(n.awaiting, s.call)
	return true
}

// isReplaced tells whether instances of a service are leaving or none is known.
// In any other case waiting would only hold up the target while a service is down.
func (n *Node) isReplaced(service string) bool {
	entries := n.parts.Directory.Upstreams(service)
	return len(entries) == 0 || slices.ContainsFunc(entries, func(entry gypsumrail.Instance) bool {
		return entry.State == gypsumrail.Leaving
	})
}

// retryAwaiting tries the calls that wait for an upstream again.
func (n *Node) retryAwaiting() {
	waiting := n.awaiting
	n.awaiting = nil
	for _, call := range waiting {
		if s := n.sends[call]; s != nil && len(s.tries) == 0 && !s.resolving {
			s.epochAsks = 0
			n.dispatch(s)
		}
	}
}
