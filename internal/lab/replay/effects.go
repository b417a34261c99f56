package replay

import (
	"net/http"
	"slices"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/lab/fakes"
)

// perform carries out one effect, as the shell of a running node does.
func (n *node) perform(e *gypsumrail.Effect) {
	switch e.Kind {
	case gypsumrail.AskResolve:
		n.askResolve(e)
		return
	case gypsumrail.ResolveReply:
		n.resolveReply(e)
		return
	case gypsumrail.SendExchange:
		n.sendExchange(e)
		return
	}
	c := n.simulation.calls[e.Call]
	if c == nil {
		// Effects that concern values or notices have no call. A call that was
		// removed needs no further effects.
		return
	}
	switch e.Kind {
	case gypsumrail.Forward:
		n.forward(c, e)
	case gypsumrail.RunTarget:
		n.runTarget(c, e)
	case gypsumrail.Answer:
		n.answer(c, e)
	case gypsumrail.Refuse:
		n.refuse(c, e)
	case gypsumrail.Join:
		if onto := n.simulation.calls[e.Onto]; onto != nil {
			onto.joined = append(onto.joined, c)
		}
	case gypsumrail.CancelAttempt:
		if attempt := c.attempts[e.Attempt]; attempt != nil {
			n.simulation.after(n.delay(attempt.node), attempt.disconnect)
		}
	case gypsumrail.CancelTarget:
		if c.run != nil {
			n.target.Cancel(c.run)
		}
	case gypsumrail.Tickets:
		c.finish(callResult{outcome: gypsumrail.NotRun, reason: e.Reason, keys: slices.Clone(e.Keys)})
	}
}

// forward sends an attempt to the node of another target.
func (n *node) forward(c *call, e *gypsumrail.Effect) {
	to := n.simulation.byName[e.To.Name]
	n.countAttempt(c)
	child := to.newCall(call{
		request: c.request, index: c.index, origin: gypsumrail.FromPeer, clientTry: c.clientTry, hop: c.hop,
		key: e.Key, sender: c, senderAttempt: e.Attempt,
	})
	if c.attempts == nil {
		c.attempts, c.attemptStatus = map[int]*call{}, map[int]int{}
	}
	c.attempts[e.Attempt] = child
	arrival := gypsumrail.Arrival{
		Remaining: e.Deadline - n.simulation.now.Millis(), Key: e.Key, HomeAttempt: e.HomeAttempt,
		Importance: e.Importance, Level: e.Level, Allowance: e.Allowance, Invested: e.Invested, From: n.self.Name,
	}
	n.simulation.after(n.delay(to), func() {
		if !child.done {
			child.arrivedAt = n.simulation.now
			child.arrive(arrival)
		}
	})
}

// countAttempt counts an attempt of the sender role, at its own or another target.
func (n *node) countAttempt(c *call) {
	c.attemptsSent++
	n.simulation.tally.Attempt(c.request, n.simulation.now, c.attemptsSent > 1)
	n.simulation.tally.Admitted(n.self.Name, c.service(), false, c.request.Tree.Class, n.simulation.now)
}

func (n *node) runTarget(c *call, e *gypsumrail.Effect) {
	if c.origin != gypsumrail.FromPeer {
		n.countAttempt(c)
	}
	n.simulation.tally.Admitted(n.self.Name, c.service(), true, c.request.Tree.Class, n.simulation.now)
	c.key = e.Key
	c.run = &fakes.Run{Call: c.id, Request: c.request, Index: c.index}
	n.target.Run(c.run)
}

// answer passes the answer of a target on to the caller.
func (n *node) answer(c *call, e *gypsumrail.Effect) {
	if c.origin == gypsumrail.FromPeer {
		c.respond(gypsumrail.Result{Outcome: gypsumrail.Ran, Status: c.targetStatus}, e)
		return
	}
	status := c.targetStatus
	if e.Attempt > 0 {
		status = c.attemptStatus[e.Attempt]
	}
	c.finishAll(callResult{status: status, outcome: gypsumrail.Ran})
	n.simulation.after(0, func() {
		n.step(gypsumrail.Event{Kind: gypsumrail.AnswerDone, Call: c.id, Result: &gypsumrail.Result{Outcome: gypsumrail.Ran}})
	})
}

// refuse reports a refusal to the caller. If the call ran before under the same
// idempotency key, the caller gets the status of that run.
func (n *node) refuse(c *call, e *gypsumrail.Effect) {
	n.countRefusal(c, e)
	if e.Outcome == gypsumrail.NotRun {
		c.markNotRun()
	}
	status, known := n.keyedStatus[e.Key]
	known = known && e.Key != "" && e.Outcome == gypsumrail.Ran
	if c.origin == gypsumrail.FromPeer {
		result := gypsumrail.Result{
			Outcome: e.Outcome, Reason: e.Reason, Status: http.StatusServiceUnavailable, RetryAfter: e.RetryAfter,
		}
		if known {
			result = gypsumrail.Result{Outcome: gypsumrail.Ran, Status: status}
		}
		c.respond(result, e)
		return
	}
	toCaller := callResult{outcome: e.Outcome, reason: e.Reason, retryAfter: e.RetryAfter, keys: slices.Clone(e.Keys)}
	if known {
		toCaller.status = status
	}
	c.finishAll(toCaller)
}

// countRefusal counts a refusal that this node decided. It ignores one that only
// passes on the result of an attempt or of the target.
func (n *node) countRefusal(c *call, e *gypsumrail.Effect) {
	switch n.event.Kind {
	case gypsumrail.AttemptAnswered, gypsumrail.AttemptFailed, gypsumrail.Resolved, gypsumrail.TargetFailed:
		if n.event.Call == e.Call {
			return
		}
	}
	if c.origin != gypsumrail.FromPeer && c.attemptsSent > 0 {
		// An attempt was sent. The refusal follows from the deadline or from a caller
		// that disconnected.
		return
	}
	n.simulation.tally.Refused(n.self.Name, c.service(), c.origin == gypsumrail.FromPeer, c.request.Tree.Class,
		e.Reason, c.arrivedAt < n.simulation.now, n.simulation.now)
}

// respond sends the result of a forwarded call to its sender role.
func (c *call) respond(result gypsumrail.Result, e *gypsumrail.Effect) {
	if c.done {
		return // The sender role closed the connection.
	}
	c.done = true
	result.AllowanceLeft = e.Allowance
	result.Hints = slices.Clone(e.Hints)
	if e.Report != nil {
		report := *e.Report
		result.Report = &report
	}
	sender := c.sender
	c.node.simulation.after(c.node.delay(sender.node), func() {
		sender.attemptStatus[c.senderAttempt] = result.Status
		sender.node.step(gypsumrail.Event{
			Kind: gypsumrail.AttemptAnswered, Call: sender.id, Attempt: c.senderAttempt, Result: &result,
		})
	})
	c.release()
}

// finishAll finishes a call and the resends that were joined to it.
func (c *call) finishAll(result callResult) {
	for _, joined := range c.joined {
		if result.outcome == gypsumrail.NotRun {
			joined.markNotRun()
		}
		joined.finish(result)
	}
	c.joined = nil
	c.finish(result)
}

// finish reports the result of a call to the client or the target that made it.
func (c *call) finish(result callResult) {
	if !c.done {
		c.done = true
		delay := c.node.simulation.clientDelay
		if c.origin == gypsumrail.FromTarget {
			delay = 0
		}
		c.node.simulation.after(delay, func() { c.reply(result) })
	}
	c.release()
}
