package replay

import (
	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/lab/fakes"
	"github.com/gypsumrail/gypsumrail/internal/lab/loads"
)

// call is one call at one node, with what the shell would hold for it.
type call struct {
	id       gypsumrail.CallID
	node     *node
	request  *loads.Request
	index    int // in the request's tree
	origin   gypsumrail.Origin
	attempt  int // the client's try
	hop      int
	since    loads.Micros
	key      string
	reply    func(ended)   // to the client or to the target; nil for a forwarded call
	sender   *call         // of a forwarded call
	number   int           // of the sender's attempt
	attempts map[int]*call // forwarded, by the sender's attempt
	statuses map[int]int
	status   int // of the own target's answer
	run      *fakes.Run
	children []*call
	joined   []*call
	sent     int  // attempts so far
	over     bool // answered, refused or given up
	ran      bool
	notRun   bool // the caller was told so
}

// ended is what a caller learns about its call.
type ended struct {
	status     int // 0 if there was no answer of the target
	outcome    gypsumrail.Outcome
	reason     gypsumrail.Reason
	retryAfter gypsumrail.Millis
	keys       []string
}

func (e ended) ok() bool { return e.status == 200 }

func (n *node) newCall(c call) *call {
	c.id = n.world.newID()
	c.node = n
	c.since = n.world.now
	n.world.calls[c.id] = &c
	return &c
}

func (c *call) service() string { return c.request.Tree.Calls[c.index].Service }

// release forgets a call that is over and has no run.
func (c *call) release() {
	if c.over && c.run == nil {
		delete(c.node.world.calls, c.id)
	}
}

// arrive gives a new call to its node.
func (c *call) arrive(arrival gypsumrail.Arrival) {
	arrival.Origin = c.origin
	arrival.Service = c.service()
	arrival.Class = c.request.Tree.Class.Name
	arrival.Tenant = c.request.Phase.Tenant
	arrival.Request = c.request.ID
	arrival.Fingerprint = uint64(c.request.Index) + 1
	arrival.Attempt = c.attempt
	arrival.Hop = c.hop
	c.node.step(gypsumrail.Event{Kind: gypsumrail.CallArrived, Call: c.id, Arrival: &arrival})
}

// hangup tells the node that the caller left.
func (c *call) hangup() {
	if c.over {
		return
	}
	c.over = true
	c.node.step(gypsumrail.Event{Kind: gypsumrail.CallerGone, Call: c.id})
	c.release()
}

// markRan notes that a call started on a target, for it and for the sender that
// made the attempt.
func (c *call) markRan() {
	for ; c != nil; c = c.sender {
		if c.ran {
			continue
		}
		c.ran = true
		if c.notRun {
			c.node.world.tally.RanAfterNotRun(c.node.world.now)
		}
	}
}

// markNotRun notes that the caller was told that a call did not run.
func (c *call) markNotRun() {
	if c.ran && !c.notRun {
		c.node.world.tally.RanAfterNotRun(c.node.world.now)
	}
	c.notRun = true
}

// The methods below make a node the host of its fake target.

// Now returns the virtual time.
func (n *node) Now() loads.Micros { return n.world.now }

// After runs f later.
func (n *node) After(delay loads.Micros, f func()) { n.world.after(delay, f) }

// CallOut makes an outgoing call of a run through the egress port.
func (n *node) CallOut(run *fakes.Run, index int, done func(ok bool)) {
	parent := n.world.calls[run.Call]
	c := n.newCall(call{
		request: run.Request, index: index, origin: gypsumrail.FromTarget, attempt: 1, hop: parent.hop + 1,
		reply: func(e ended) { done(e.ok()) },
	})
	parent.children = append(parent.children, c)
	n.world.after(0, func() {
		if !c.over {
			c.arrive(gypsumrail.Arrival{Parent: run.Call})
		}
	})
}

// Hangup ends the outgoing calls of a run.
func (n *node) Hangup(run *fakes.Run) {
	if parent := n.world.calls[run.Call]; parent != nil {
		for _, child := range parent.children {
			n.world.after(0, child.hangup)
		}
		parent.children = nil
	}
}

// Started notes that a run got a slot of the target.
func (n *node) Started(run *fakes.Run) {
	n.world.tally.Started(run.Request, run.Index, n.world.now)
	n.world.calls[run.Call].markRan()
}

// Worked notes the work of a target.
func (n *node) Worked(run *fakes.Run, spent loads.Micros) {
	n.world.tally.Users[run.Request.Index].Worked += spent
}

// Ended gives the end of a run to the node.
func (n *node) Ended(run *fakes.Run, answered bool, result gypsumrail.Result) {
	c := n.world.calls[run.Call]
	if !answered {
		n.world.after(0, func() {
			c.run = nil
			n.step(gypsumrail.Event{Kind: gypsumrail.TargetFailed, Call: c.id, Result: &result})
			c.release()
		})
		return
	}
	c.status = result.Status
	if c.key != "" {
		n.kept[c.key] = result.Status
	}
	// A refusal by the target is an answer like any other; only its status tells.
	head := gypsumrail.Result{Outcome: gypsumrail.Ran, Status: result.Status}
	n.world.after(0, func() {
		n.step(gypsumrail.Event{Kind: gypsumrail.TargetAnswered, Call: c.id, Result: &head})
	})
	n.world.after(0, func() {
		c.run = nil
		n.step(gypsumrail.Event{Kind: gypsumrail.TargetDone, Call: c.id, Result: &gypsumrail.Result{Outcome: gypsumrail.Ran}})
		c.release()
	})
}
