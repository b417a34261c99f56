// Package core is the reducer of a node: one function over all events that
// returns effects as data.
//
// All decisions about calls, membership and configuration meet here, because
// they depend on each other: whether a call is retried depends on the
// allowance, on what the directory says of the upstream and on what the ledger
// of its home recorded. Keeping them in one place that reads no clock, opens no
// socket and starts no goroutine means that a recorded sequence of events
// always gives the same effects, so that an incident can be replayed.
//
// The parts behind the reducer (limit, queue, shed, route, retry, ledger,
// member, revise) are given to New and can be replaced one by one.
package core

import "github.com/gypsumrail/gypsumrail"

// Parts are the decision parts of a node. All are required.
type Parts struct {
	Limiter   gypsumrail.Limiter
	Queue     gypsumrail.Queue
	Shedder   gypsumrail.Shedder
	Router    gypsumrail.Router
	Budget    gypsumrail.Budget
	Ledger    gypsumrail.Ledger
	Directory gypsumrail.Directory
	Values    gypsumrail.Values
}

// Node is the state of one node. It is not safe for concurrent use: the shell
// serializes the events.
type Node struct {
	settings Settings
	parts    Parts
	out      []gypsumrail.Effect
}

// New returns a node for the instance that parts.Directory.Self describes.
func New(settings Settings, parts Parts) *Node {
	return &Node{settings: settings.withDefaults(), parts: parts}
}

// Step takes one event and returns its effects in order. The returned slice and
// what it points to are valid until the next step. Events must not go back in
// time; an earlier At is taken as the time of the event before it.
func (n *Node) Step(event *gypsumrail.Event) []gypsumrail.Effect {
	n.out = n.out[:0]
	return n.out
}
