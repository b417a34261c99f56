package replay

import (
	"slices"

	"github.com/gypsumrail/gypsumrail"
)

// pendingResolve is a Resolve message whose reply has not been sent.
type pendingResolve struct {
	sender  *node
	call    gypsumrail.CallID
	attempt int
}

// askResolve sends a Resolve message to a home node. It asks for the outcome of an
// attempt, or, without a key, only for the report of the node.
func (n *node) askResolve(e *gypsumrail.Effect) {
	to := n.simulation.byName[e.To.Name]
	asked := gypsumrail.Event{
		Kind: gypsumrail.ResolveAsked, Call: n.simulation.newID(), Key: e.Key, HomeAttempt: e.HomeAttempt,
	}
	n.simulation.pendingResolves[asked.Call] = pendingResolve{n, e.Call, e.Attempt}
	n.simulation.after(n.delay(to), func() { to.step(asked) })
}

// resolveReply returns the reply to the node that sent the Resolve message.
func (n *node) resolveReply(e *gypsumrail.Effect) {
	pending := n.simulation.pendingResolves[e.Call]
	delete(n.simulation.pendingResolves, e.Call)
	result := gypsumrail.Result{Outcome: e.Outcome, Reason: e.Reason}
	if e.Report != nil {
		report := *e.Report
		result.Report = &report
	}
	n.simulation.after(n.delay(pending.sender), func() {
		pending.sender.step(gypsumrail.Event{Kind: gypsumrail.Resolved, Call: pending.call, Attempt: pending.attempt, Result: &result})
	})
}

// sendExchange delivers a gossip message. The transport's empty reply to the last
// message of an exchange is not simulated.
func (n *node) sendExchange(e *gypsumrail.Effect) {
	to := n.simulation.byName[e.To.Name]
	if to == nil {
		return
	}
	message := *e.Exchange
	message.Digest.Values = slices.Clone(message.Digest.Values)
	message.Entries = slices.Clone(message.Entries)
	n.simulation.after(n.delay(to), func() {
		to.step(gypsumrail.Event{Kind: gypsumrail.Exchanged, Peer: n.self, Exchange: &message})
	})
}
