package replay

import (
	"net/http"
	"slices"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/lab/fakes"
)

// perform does what the shell of a node does for one effect.
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
	c := n.world.calls[e.Call]
	if c == nil {
		// Values and notices have no call; calls that are over need nothing more.
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
		if onto := n.world.calls[e.Onto]; onto != nil {
			onto.joined = append(onto.joined, c)
		}
	case gypsumrail.CancelAttempt:
		if attempt := c.attempts[e.Attempt]; attempt != nil {
			n.world.after(n.delay(attempt.node), attempt.hangup)
		}
	case gypsumrail.CancelTarget:
		if c.run != nil {
			n.target.Cancel(c.run)
		}
	case gypsumrail.Tickets:
		c.finish(ended{outcome: gypsumrail.NotRun, reason: e.Reason, keys: slices.Clone(e.Keys)})
	}
}

func (n *node) forward(c *call, e *gypsumrail.Effect) {
	to := n.world.byName[e.To.Name]
	n.countAttempt(c)
	child := to.newCall(call{
		request: c.request, index: c.index, origin: gypsumrail.FromPeer, attempt: c.attempt, hop: c.hop,
		key: e.Key, sender: c, number: e.Attempt,
	})
	if c.attempts == nil {
		c.attempts, c.statuses = map[int]*call{}, map[int]int{}
	}
	c.attempts[e.Attempt] = child
	arrival := gypsumrail.Arrival{
		Remaining: e.Deadline - n.world.now.Millis(), Key: e.Key, HomeAttempt: e.HomeAttempt,
		Importance: e.Importance, Allowance: e.Allowance, Invested: e.Invested, From: n.self.Name,
	}
	n.world.after(n.delay(to), func() {
		if !child.over {
			child.since = n.world.now
			child.arrive(arrival)
		}
	})
}

// countAttempt counts a call that the sender role sent to any target.
func (n *node) countAttempt(c *call) {
	c.sent++
	n.world.tally.Attempt(c.request, n.world.now, c.sent > 1)
	n.world.tally.Admitted(n.self.Name, c.service(), false, c.request.Tree.Class, n.world.now)
}

func (n *node) runTarget(c *call, e *gypsumrail.Effect) {
	if c.origin != gypsumrail.FromPeer {
		n.countAttempt(c)
	}
	n.world.tally.Admitted(n.self.Name, c.service(), true, c.request.Tree.Class, n.world.now)
	c.key = e.Key
	c.run = &fakes.Run{Call: c.id, Request: c.request, Index: c.index}
	n.target.Run(c.run)
}

// answer passes an answer of a target on to the caller.
func (n *node) answer(c *call, e *gypsumrail.Effect) {
	if c.origin == gypsumrail.FromPeer {
		c.respond(gypsumrail.Result{Outcome: gypsumrail.Ran, Status: c.status}, e)
		return
	}
	status := c.status
	if e.Attempt > 0 {
		status = c.statuses[e.Attempt]
	}
	c.finishAll(ended{status: status, outcome: gypsumrail.Ran})
	n.world.after(0, func() {
		n.step(gypsumrail.Event{Kind: gypsumrail.AnswerDone, Call: c.id, Result: &gypsumrail.Result{Outcome: gypsumrail.Ran}})
	})
}

func (n *node) refuse(c *call, e *gypsumrail.Effect) {
	n.countRefusal(c, e)
	if e.Outcome == gypsumrail.NotRun {
		c.markNotRun()
	}
	status, kept := n.kept[e.Key]
	kept = kept && e.Key != "" && e.Outcome == gypsumrail.Ran
	if c.origin == gypsumrail.FromPeer {
		result := gypsumrail.Result{
			Outcome: e.Outcome, Reason: e.Reason, Status: http.StatusServiceUnavailable, RetryAfter: e.RetryAfter,
		}
		if kept {
			result = gypsumrail.Result{Outcome: gypsumrail.Ran, Status: status}
		}
		c.respond(result, e)
		return
	}
	end := ended{outcome: e.Outcome, reason: e.Reason, retryAfter: e.RetryAfter, keys: slices.Clone(e.Keys)}
	if kept {
		end.status = status
	}
	c.finishAll(end)
}

// countRefusal counts a refusal unless it only passes on what an upstream decided.
func (n *node) countRefusal(c *call, e *gypsumrail.Effect) {
	switch n.event.Kind {
	case gypsumrail.AttemptAnswered, gypsumrail.AttemptFailed, gypsumrail.Resolved, gypsumrail.TargetFailed:
		if n.event.Call == e.Call {
			return
		}
	}
	if c.origin != gypsumrail.FromPeer && c.sent > 0 {
		// The call is under way; its deadline passed or its caller left.
		return
	}
	n.world.tally.Refused(n.self.Name, c.service(), c.origin == gypsumrail.FromPeer, c.request.Tree.Class,
		e.Reason, c.since < n.world.now, n.world.now)
}

// respond sends the head of an answer to the sender of a forwarded call.
func (c *call) respond(result gypsumrail.Result, e *gypsumrail.Effect) {
	if c.over {
		return // The sender closed the connection.
	}
	c.over = true
	result.AllowanceLeft = e.Allowance
	result.Hints = slices.Clone(e.Hints)
	if e.Report != nil {
		report := *e.Report
		result.Report = &report
	}
	sender := c.sender
	c.node.world.after(c.node.delay(sender.node), func() {
		sender.statuses[c.number] = result.Status
		sender.node.step(gypsumrail.Event{
			Kind: gypsumrail.AttemptAnswered, Call: sender.id, Attempt: c.number, Result: &result,
		})
	})
	c.release()
}

// finishAll ends a call and the resends that were joined to it.
func (c *call) finishAll(end ended) {
	for _, joined := range c.joined {
		if end.outcome == gypsumrail.NotRun {
			joined.markNotRun()
		}
		joined.finish(end)
	}
	c.joined = nil
	c.finish(end)
}

// finish tells the client or the target how its call ended.
func (c *call) finish(end ended) {
	if !c.over {
		c.over = true
		delay := c.node.world.client
		if c.origin == gypsumrail.FromTarget {
			delay = 0
		}
		c.node.world.after(delay, func() { c.reply(end) })
	}
	c.release()
}
