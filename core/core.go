// Package core is the reducer of a node: one function over all events that
// returns effects as data.
//
// All decisions about calls, membership and configuration are made here,
// because they depend on each other. Whether a call is retried, for example,
// depends on its allowance, on the directory's state of the upstream and on the
// ledger of its home. The reducer reads no clock, opens no socket and starts no
// goroutine. A recorded sequence of events therefore always gives the same
// effects, and an incident can be replayed.
//
// The parts behind the reducer (limit, queue, shed, route, retry, ledger,
// member, internal/node/values) are given to New and can be replaced one by one.
//
// A call has up to two roles at a node. The sender role (send.go, attempts.go)
// holds a call of an external caller or of the own target until it is answered.
// The receiver role (serve.go, target.go) holds a call for the own target from
// its admission until the target is done with it. A call that the sender role
// routes to the own target has both roles under the same CallID.
package core

import (
	"math/rand/v2"

	"github.com/google/btree"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/spill"
)

// Parts are the replaceable parts of a node that make its decisions. All are
// required.
type Parts struct {
	Limiter    gypsumrail.Limiter
	Queue      gypsumrail.Queue
	Shedder    gypsumrail.Shedder
	Router     gypsumrail.Router
	Budget     gypsumrail.Budget
	Ledger     gypsumrail.Ledger
	Directory  gypsumrail.Directory
	Values     gypsumrail.Values
	Quarantine gypsumrail.Quarantine
	Grants     gypsumrail.Grants
	Accounts   gypsumrail.AccountUsage
}

// Node is the state of one node. It is not safe for concurrent use: the shell,
// which performs the effects, passes the events one at a time.
type Node struct {
	settings Settings
	parts    Parts
	detector gypsumrail.Detector     // nil if the router has none
	balancer gypsumrail.ZoneBalancer // nil if the router has none
	self     gypsumrail.Instance
	records  *gypsumrail.Records

	now     gypsumrail.Millis
	random  *rand.PCG // seeded anew by each event
	effects []gypsumrail.Effect

	senderCalls   map[gypsumrail.CallID]*senderCall
	receiverCalls map[gypsumrail.CallID]*receiverCall
	requests      map[string]gypsumrail.CallID            // running calls of external callers by request identity
	aliases       map[gypsumrail.CallID]gypsumrail.CallID // the running call to which a resend was joined, by that resend
	deadlines     *btree.BTreeG[deadlineEntry]            // deadlines of the open calls of both roles
	senderPool    []*senderCall
	receiverPool  []*receiverCall
	running       int                // calls that run on the target
	runTimes      map[string]*timing // by class
	reserve       reserve

	report     gypsumrail.Report
	reportMade bool                 // report was made in this step
	hints      []gypsumrail.Hint    // made in this step; empty before
	sequence   uint64               // of the last report
	expired    []gypsumrail.Waiting // buffer for calls that are removed from the queue

	epochs  map[string]epoch // by instance
	tickets map[gypsumrail.CallID]ticket

	generation       uint64                       // of the directory, when the router last got its upstreams
	callers          map[string]gypsumrail.Millis // time of the last call of each peer that forwarded calls, by name
	reader           bool                         // this node watches the platform for its zone
	defaultsInUse    bool                         // the default class is used, because no records were read in time
	clocks           clocks
	listedStates     instanceStates          // the last adopted instance list; nil if there is none yet
	platformLost     bool                    // the platform cannot be read
	splits           map[string]*split       // by class
	uses             map[string]*serviceUses // by class
	sizes            spill.Sizes
	zoneChanges      []gypsumrail.ZoneChange // buffer of reportZones
	heldCalls        []gypsumrail.CallID     // forwarded calls held while bootstrapping
	dueProbes        []gypsumrail.Instance   // upstreams whose nodes are to be probed now; buffer of probeOverdue
	awaitingUpstream []gypsumrail.CallID     // calls of the own target that wait for an upstream
	awaitingGrant    []gypsumrail.CallID     // calls of callers that wait for a token, in order of arrival
	grantBroker      string                  // that holds this node's share of the rate limits, as last logged
	draining         bool
	drainStarted     gypsumrail.Millis // start of the drain
	answersDrain     bool              // the drain is about to end; see finishDrain
	stopped          bool              // the drain is complete
	confirmation     confirmation      // of the records in force, by the store
	stated           statement         // of the own target
	faults           faults
	late             int // queued calls that refuseLate refused since the last observe
	suspicions       suspicions
	counts           Counts
}

// New returns a node for the instance that parts.Directory.Self describes.
func New(settings Settings, parts Parts) *Node {
	detector, _ := parts.Router.(gypsumrail.Detector)
	balancer, _ := parts.Router.(gypsumrail.ZoneBalancer)
	return &Node{
		settings:      settings.withDefaults(),
		parts:         parts,
		detector:      detector,
		balancer:      balancer,
		self:          parts.Directory.Self(),
		random:        rand.NewPCG(0, 0),
		senderCalls:   make(map[gypsumrail.CallID]*senderCall),
		receiverCalls: make(map[gypsumrail.CallID]*receiverCall),
		requests:      make(map[string]gypsumrail.CallID),
		aliases:       make(map[gypsumrail.CallID]gypsumrail.CallID),
		deadlines:     btree.NewG(deadlinesDegree, deadlineLess),
		runTimes:      make(map[string]*timing),
		epochs:        make(map[string]epoch),
		tickets:       make(map[gypsumrail.CallID]ticket),
		callers:       make(map[string]gypsumrail.Millis),
		splits:        make(map[string]*split),
		uses:          make(map[string]*serviceUses),
		suspicions:    suspicions{verdicts: make(map[uint64]bool)},
		clocks:        clocks{tick: noTime, began: noTime, resumed: noTime, upstreams: -upstreamsEvery},
	}
}

// Step applies one event and returns its effects in order. The returned slice
// and what it points to are valid until the next step. Time does not go back:
// an event with an earlier At gets the time of the event before it. Events for
// calls that the node does not know are dropped and, except CallerGone and
// AnswerDone, counted.
func (n *Node) Step(event *gypsumrail.Event) []gypsumrail.Effect {
	n.begin(event)
	switch event.Kind {
	case gypsumrail.CallArrived:
		n.callArrived(event)
	case gypsumrail.CallerGone:
		n.callerGone(n.followAlias(event.Call))
	case gypsumrail.AttemptAnswered:
		n.attemptAnswered(event)
	case gypsumrail.AttemptFailed:
		n.attemptFailed(event)
	case gypsumrail.AnswerDone:
		n.answerDone(n.followAlias(event.Call))
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
	case gypsumrail.RecordsConfirmed:
		n.recordsConfirmed(event)
	case gypsumrail.ValueRefused:
		n.parts.Values.Refuse(n.now, event.Value)
	case gypsumrail.InstancesRead:
		n.instancesRead(event)
	case gypsumrail.Exchanged:
		n.exchanged(event)
	case gypsumrail.PeerFailed:
		n.peerFailed(event.Peer)
	case gypsumrail.PeerCalled:
		n.parts.Directory.RecordState(n.now, event.Peer)
	case gypsumrail.ResolveAsked:
		n.resolveAsked(event)
	case gypsumrail.Resolved:
		n.resolved(event)
	case gypsumrail.TicketsAsked:
		n.ticketsAsked(event)
	case gypsumrail.DrainAsked:
		n.drain()
	case gypsumrail.ReleaseAsked:
		n.release(event.Fingerprint)
	case gypsumrail.GrantAsked:
		n.grantAsked(event)
	case gypsumrail.GrantReplied:
		n.grantReplied(event)
	case gypsumrail.PlatformLost, gypsumrail.PlatformFound:
		n.setPlatformReachable(event.Kind == gypsumrail.PlatformFound)
	default:
		n.counts.Dropped++
	}
	n.refreshUpstreams()
	return n.effects
}

// begin starts a step: it clears the results of the step before, advances the
// time and seeds the random numbers.
func (n *Node) begin(event *gypsumrail.Event) {
	n.effects = n.effects[:0]
	n.hints = n.hints[:0]
	n.reportMade = false
	n.now = max(n.now, event.At)
	if n.clocks.began == noTime {
		n.clocks.began = n.now
	}
	n.random.Seed(event.Random, uint64(event.Call))
}

func (n *Node) emit(effect gypsumrail.Effect) {
	n.effects = append(n.effects, effect)
}

func (n *Node) notice(notice gypsumrail.Notice, subject string, reason gypsumrail.Reason) {
	n.emit(gypsumrail.Effect{Kind: gypsumrail.Log, Notice: notice, Subject: subject, Reason: reason})
}

// Records returns the records in force, or nil if there are none.
func (n *Node) Records() *gypsumrail.Records { return n.records }
