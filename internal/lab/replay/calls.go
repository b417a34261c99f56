package replay

import (
	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/lab/fakes"
	"github.com/gypsumrail/gypsumrail/internal/lab/loads"
)

// call is one call at one node, with the state that the shell of a running node
// keeps for it. A forwarded call has one of these at the sender role and, for each
// attempt, another one at the receiver role.
type call struct {
	id             gypsumrail.CallID
	node           *node
	request        *loads.Request
	index          int // of the call in the request's tree
	origin         gypsumrail.Origin
	clientTry      int // number of the caller's try, from 1; always 1 for a target's call
	hop            int // depth in the call tree, 0 for a client's call
	arrivedAt      loads.Micros
	key            string           // idempotency key
	reply          func(callResult) // reports the result to the client or the target; nil at the receiver role
	sender         *call            // at the receiver role: the call at the sender role
	senderAttempt  int              // at the receiver role: number of the sender's attempt
	attempts       map[int]*call    // at the sender role: the forwarded calls, by attempt
	attemptStatus  map[int]int      // at the sender role: status of the answer, by attempt
	targetStatus   int              // of the answer of the node's own target
	run            *fakes.Run       // on the node's own target; nil before and after
	outgoing       []*call          // calls of the run to other services
	joined         []*call          // resends that get the result of this call
	attemptsSent   int              // attempts at any target so far
	done           bool             // answered, refused, or its caller disconnected
	ran            bool             // started on a target
	reportedNotRun bool             // the caller received the outcome NotRun
}

// callResult is the result of a call as its caller receives it.
type callResult struct {
	status     int // 0 if no target answered
	outcome    gypsumrail.Outcome
	reason     gypsumrail.Reason
	retryAfter gypsumrail.Millis
	keys       []string // idempotency keys for the client
}

func (r callResult) ok() bool { return r.status == 200 }

func (n *node) newCall(c call) *call {
	c.id = n.simulation.newID()
	c.node = n
	c.arrivedAt = n.simulation.now
	n.simulation.calls[c.id] = &c
	return &c
}

func (c *call) service() string { return c.request.Tree.Calls[c.index].Service }

// release removes a call from the simulation if it is done and has no run on the
// target.
func (c *call) release() {
	if c.done && c.run == nil {
		delete(c.node.simulation.calls, c.id)
	}
}

// arrive passes a new call to the reducer of its node. It fills in the fields of
// the arrival that follow from the call.
func (c *call) arrive(arrival gypsumrail.Arrival) {
	arrival.Origin = c.origin
	arrival.Service = c.service()
	arrival.Class = c.request.Tree.Class.Name
	arrival.Account = c.request.Phase.Account
	arrival.Request = c.request.ID
	arrival.Fingerprint = uint64(c.request.Index) + 1
	arrival.Attempt = c.clientTry
	arrival.Hop = c.hop
	c.node.step(gypsumrail.Event{Kind: gypsumrail.CallArrived, Call: c.id, Arrival: &arrival})
}

// disconnect tells the node that the caller closed the connection.
func (c *call) disconnect() {
	if c.done {
		return
	}
	c.done = true
	c.node.step(gypsumrail.Event{Kind: gypsumrail.CallerGone, Call: c.id})
	c.release()
}

// markRan records that a call started on a target. For an attempt, it also marks
// the call at the sender role.
func (c *call) markRan() {
	for ; c != nil; c = c.sender {
		if c.ran {
			continue
		}
		c.ran = true
		if c.reportedNotRun {
			c.node.simulation.tally.RanAfterNotRun(c.node.simulation.now)
		}
	}
}

// markNotRun records that the caller received the outcome NotRun.
func (c *call) markNotRun() {
	if c.ran && !c.reportedNotRun {
		c.node.simulation.tally.RanAfterNotRun(c.node.simulation.now)
	}
	c.reportedNotRun = true
}

// The methods below implement fakes.Host.

// Now returns the virtual time.
func (n *node) Now() loads.Micros { return n.simulation.now }

// After runs f after a delay of virtual time.
func (n *node) After(delay loads.Micros, f func()) { n.simulation.after(delay, f) }

// CallOut sends an outgoing call of a run to the node, as a target does through
// the egress port.
func (n *node) CallOut(run *fakes.Run, index int, callback func(ok bool)) {
	parent := n.simulation.calls[run.Call]
	c := n.newCall(call{
		request: run.Request, index: index, origin: gypsumrail.FromTarget, clientTry: 1, hop: parent.hop + 1,
		reply: func(r callResult) { callback(r.ok()) },
	})
	parent.outgoing = append(parent.outgoing, c)
	n.simulation.after(0, func() {
		if !c.done {
			c.arrive(gypsumrail.Arrival{Parent: run.Call})
		}
	})
}

// CancelCalls disconnects the outgoing calls of a run.
func (n *node) CancelCalls(run *fakes.Run) {
	if parent := n.simulation.calls[run.Call]; parent != nil {
		for _, child := range parent.outgoing {
			n.simulation.after(0, child.disconnect)
		}
		parent.outgoing = nil
	}
}

// Started records that a run got a slot of the target.
func (n *node) Started(run *fakes.Run) {
	n.simulation.tally.Started(run.Request, run.Index, n.simulation.now)
	n.simulation.calls[run.Call].markRan()
}

// Worked adds the time that the target worked on a run to its user request.
func (n *node) Worked(run *fakes.Run, spent loads.Micros) {
	n.simulation.tally.ByRequest[run.Request.Index].Worked += spent
}

// Ended passes the end of a run to the reducer.
func (n *node) Ended(run *fakes.Run, answered bool, result gypsumrail.Result) {
	c := n.simulation.calls[run.Call]
	if !answered {
		n.simulation.after(0, func() {
			c.run = nil
			n.step(gypsumrail.Event{Kind: gypsumrail.TargetFailed, Call: c.id, Result: &result})
			c.release()
		})
		return
	}
	c.targetStatus = result.Status
	if c.key != "" {
		n.keyedStatus[c.key] = result.Status
	}
	// The node cannot tell a refusal by the target from another answer except by
	// its status, so the outcome is always Ran.
	head := gypsumrail.Result{Outcome: gypsumrail.Ran, Status: result.Status}
	n.simulation.after(0, func() {
		n.step(gypsumrail.Event{Kind: gypsumrail.TargetAnswered, Call: c.id, Result: &head})
	})
	n.simulation.after(0, func() {
		c.run = nil
		n.step(gypsumrail.Event{Kind: gypsumrail.TargetDone, Call: c.id, Result: &gypsumrail.Result{Outcome: gypsumrail.Ran}})
		c.release()
	})
}
