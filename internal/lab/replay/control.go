package replay

import (
	"slices"

	"github.com/gypsumrail/gypsumrail"
)

// question is a control message that waits for its reply.
type question struct {
	asker   *node
	call    gypsumrail.CallID
	attempt int
}

// askResolve asks a home about an attempt, or only for its report.
func (n *node) askResolve(e *gypsumrail.Effect) {
	to := n.world.byName[e.To.Name]
	asked := gypsumrail.Event{
		Kind: gypsumrail.ResolveAsked, Call: n.world.newID(), Key: e.Key, HomeAttempt: e.HomeAttempt,
	}
	n.world.questions[asked.Call] = question{n, e.Call, e.Attempt}
	n.world.after(n.delay(to), func() { to.step(asked) })
}

func (n *node) resolveReply(e *gypsumrail.Effect) {
	q := n.world.questions[e.Call]
	delete(n.world.questions, e.Call)
	result := gypsumrail.Result{Outcome: e.Outcome, Reason: e.Reason}
	if e.Report != nil {
		report := *e.Report
		result.Report = &report
	}
	n.world.after(n.delay(q.asker), func() {
		q.asker.step(gypsumrail.Event{Kind: gypsumrail.Resolved, Call: q.call, Attempt: q.attempt, Result: &result})
	})
}

// sendExchange delivers a gossip message. The transport's receipt for the last
// message of an exchange carries nothing and is left out.
func (n *node) sendExchange(e *gypsumrail.Effect) {
	to := n.world.byName[e.To.Name]
	if to == nil {
		return
	}
	message := *e.Exchange
	message.Digest.Values = slices.Clone(message.Digest.Values)
	message.Entries = slices.Clone(message.Entries)
	n.world.after(n.delay(to), func() {
		to.step(gypsumrail.Event{Kind: gypsumrail.Exchanged, Peer: n.self, Exchange: &message})
	})
}
