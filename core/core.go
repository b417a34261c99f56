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
//
// A call has up to two roles at a node. The sender role (send.go, tries.go)
// holds a call of an external caller or of the own target until it is answered.
// The receiver role (serve.go, target.go) holds a call for the own target from
// its admission until the target is done with it. A call that its sender routes
// to the own target has both under the same CallID.
package core

import (
	"math/rand/v2"

	"github.com/google/btree"

	"github.com/gypsumrail/gypsumrail"
)

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
	detector gypsumrail.Detector // nil if the router has none
	self     gypsumrail.Instance
	records  *gypsumrail.Records

	now    gypsumrail.Millis
	random *rand.PCG // seeded anew by each event
	out    []gypsumrail.Effect

	sends    map[gypsumrail.CallID]*send
	serves   map[gypsumrail.CallID]*serve
	requests map[string]gypsumrail.CallID // running calls of external callers by request identity
	aliases  map[gypsumrail.CallID]gypsumrail.CallID
	due      *btree.BTreeG[due]
	sendPool []*send
	pool     []*serve
	running  int
	times    map[string]*timing
	reserve  reserve

	report   gypsumrail.Report
	reported bool // report was made in this step
	hints    []gypsumrail.Hint
	sequence uint64
	expired  []gypsumrail.Waiting

	epochs  map[string]epoch
	tickets map[gypsumrail.CallID]ticket

	generation uint64
	callers    map[string]gypsumrail.Millis // peers that forwarded calls, by name
	reader     bool
	defaults   bool
	clocks     clocks
	listed     list                // the list of instances that was read last; nil before
	away       bool                // reads of the platform fail
	splits     map[string]*split   // by class
	uses       map[string]*uses    // by class
	held       []gypsumrail.CallID // forwarded calls held while bootstrapping
	quiet      []gypsumrail.Instance
	awaiting   []gypsumrail.CallID // calls of the own target that wait for an upstream
	draining   bool
	drainAt    gypsumrail.Millis
	stopped    bool
	counts     Counts
}

// New returns a node for the instance that parts.Directory.Self describes.
func New(settings Settings, parts Parts) *Node {
	detector, _ := parts.Router.(gypsumrail.Detector)
	return &Node{
		settings: settings.withDefaults(),
		parts:    parts,
		detector: detector,
		self:     parts.Directory.Self(),
		random:   rand.NewPCG(0, 0),
		sends:    make(map[gypsumrail.CallID]*send),
		serves:   make(map[gypsumrail.CallID]*serve),
		requests: make(map[string]gypsumrail.CallID),
		aliases:  make(map[gypsumrail.CallID]gypsumrail.CallID),
		due:      btree.NewG(dueDegree, dueLess),
		times:    make(map[string]*timing),
		epochs:   make(map[string]epoch),
		tickets:  make(map[gypsumrail.CallID]ticket),
		callers:  make(map[string]gypsumrail.Millis),
		splits:   make(map[string]*split),
		uses:     make(map[string]*uses),
		clocks:   clocks{tick: noTick, began: noTick, resumed: noTick, upstreams: -upstreamsEvery},
	}
}

// Step takes one event and returns its effects in order. The returned slice and
// what it points to are valid until the next step. Events must not go back in
// time; an earlier At is taken as the time of the event before it. Events for
// calls that the node does not know are counted and dropped.
func (n *Node) Step(event *gypsumrail.Event) []gypsumrail.Effect {
	n.begin(event)
	switch event.Kind {
	case gypsumrail.CallArrived:
		n.callArrived(event)
	case gypsumrail.CallerGone:
		n.callerGone(n.resolveAlias(event.Call))
	case gypsumrail.AttemptAnswered:
		n.attemptAnswered(event)
	case gypsumrail.AttemptFailed:
		n.attemptFailed(event)
	case gypsumrail.AnswerDone:
		n.answerDone(n.resolveAlias(event.Call))
	case gypsumrail.TargetAnswered:
		n.targetAnswered(event)
	case gypsumrail.TargetFailed:
		n.targetFailed(event)
	case gypsumrail.TargetDone:
		n.targetDone(event)
	case gypsumrail.TargetReported:
		n.parts.Limiter.Reported(n.now, event.Slots)
	case gypsumrail.Tick:
		n.tick()
	case gypsumrail.RecordsRead:
		n.recordsRead(event)
	case gypsumrail.ValueRefused:
		n.parts.Values.Refuse(n.now, event.Value)
	case gypsumrail.InstancesRead:
		n.instancesRead(event)
	case gypsumrail.Exchanged:
		n.exchanged(event)
	case gypsumrail.PeerFailed:
		n.peerFailed(event.Peer)
	case gypsumrail.PeerCalled:
		n.parts.Directory.Observe(n.now, event.Peer)
	case gypsumrail.ResolveAsked:
		n.resolveAsked(event)
	case gypsumrail.Resolved:
		n.resolved(event)
	case gypsumrail.TicketsAsked:
		n.ticketsAsked(event)
	case gypsumrail.DrainAsked:
		n.drain()
	case gypsumrail.PlatformLost, gypsumrail.PlatformFound:
		n.platformContact(event.Kind == gypsumrail.PlatformFound)
	default:
		n.counts.Dropped++
	}
	n.refreshUpstreams()
	return n.out
}

// begin clears what belongs to the step before.
func (n *Node) begin(event *gypsumrail.Event) {
	n.out = n.out[:0]
	n.hints = n.hints[:0]
	n.reported = false
	n.now = max(n.now, event.At)
	if n.clocks.began == noTick {
		n.clocks.began = n.now
	}
	n.random.Seed(event.Random, uint64(event.Call))
}

func (n *Node) emit(effect gypsumrail.Effect) {
	n.out = append(n.out, effect)
}

func (n *Node) notice(notice gypsumrail.Notice, subject string, reason gypsumrail.Reason) {
	n.emit(gypsumrail.Effect{Kind: gypsumrail.Log, Notice: notice, Subject: subject, Reason: reason})
}

// Records returns the records in force, or nil.
func (n *Node) Records() *gypsumrail.Records { return n.records }
