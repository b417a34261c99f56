// Package relay performs the effects of a node's reducer for plain HTTP/1.1
// requests. Their clients and targets do not use gypsumrail's headers; host and
// path determine the class of a request.
//
// Package shell is its counterpart for callers that use gypsumrail's own headers.
// Like shell, the relay owns sockets, timers, the clock and randomness, and makes
// no admission or routing decisions; the reducer does. The relay buffers whole
// requests and answers. It therefore detects a truncated answer before it passes
// on any of it, can repeat a rejected attempt with the same bytes, and frees the
// slot of a target as soon as the answer is received, however slowly the client
// reads. In exchange, the size of bodies is bounded.
//
// A request passes the node beside its client and the node beside the target that
// runs it, or only the first if that node chooses its own target. On every
// connection one HTTP/1.1 exchange (a request and its answer) runs at a time, so
// closing a connection cancels exactly one exchange.
//
// One mutex serializes the steps of the reducer and guards the table of calls.
// No network I/O happens while it is held: a step collects answers, and its
// caller writes them after it has released the mutex.
package relay

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/client"
	"github.com/gypsumrail/gypsumrail/internal/node/events"
	"github.com/gypsumrail/gypsumrail/internal/node/fetch"
	"github.com/gypsumrail/gypsumrail/internal/node/loop"
	"github.com/gypsumrail/gypsumrail/internal/node/mirror"
	"github.com/gypsumrail/gypsumrail/internal/node/peer"
	"github.com/gypsumrail/gypsumrail/internal/node/pool"
	"github.com/gypsumrail/gypsumrail/internal/node/quota"
	"github.com/gypsumrail/gypsumrail/internal/node/shell"
)

const (
	// targetIdleTimeout is how long an idle connection to the target is kept, unless
	// the target states another time in a Keep-Alive header.
	targetIdleTimeout = 8 * time.Second
	// Idle timeouts of connections between nodes, at the node that opened one and at
	// the node that accepted it. The first is shorter, so that the opening side
	// closes first.
	peerIdleTimeout         = 20 * time.Second
	acceptedPeerIdleTimeout = 60 * time.Second
	// sweepInterval is the time between two removals of expired idle connections.
	sweepInterval = 2 * time.Second
	// Concurrent control messages that this node sends and that it serves.
	outgoingControlMax  = 16
	incomingControlMax  = 32
	controlConnsPerPeer = 2 // connections for control messages
)

// Settings are the addresses and header names of one node.
type Settings struct {
	Self    gypsumrail.Instance // Address is the peers port as other nodes reach it
	Target  string              // IP address and port of this node's target
	Headers Headers

	DrainMax gypsumrail.Millis // see core.Settings
	// ConfigApply is how long ago the store may have confirmed the records in force when a
	// key that is not in them counts as unknown.
	ConfigApply gypsumrail.Millis
}

// Parts are the components that a relay uses. Status and Metrics may be nil.
type Parts struct {
	Reducer loop.Reducer
	Status  func() any // the field Node of /status; called under the mutex, between steps
	Store   gypsumrail.Store
	Catalog gypsumrail.Catalog
	Logger  shell.Logger
	Meter   shell.Meter
	Metrics http.Handler
	// These bound the memory of the bodies that the node holds: of answers, and of requests.
	Answers, Requests *quota.Quota
	Clock             gypsumrail.Clock
}

// Relay runs one node for plain requests. It is safe for concurrent use.
type Relay struct {
	settings  Settings
	parts     Parts
	listeners *Listeners

	base          context.Context // context of all work that is not bound to one connection
	cancel        context.CancelFunc
	stopped       chan struct{} // closed by the Stop effect
	peers         *pool.Pool
	targets       *pool.Pool
	control       *peer.Client
	controlPool   *client.Pool
	values        *fetch.Store
	follower      *mirror.Follower
	log           *events.Log
	faults        shell.Faults
	controlSlots  chan struct{} // one element for each control message being sent
	records       atomic.Pointer[gypsumrail.Records]
	instances     atomic.Pointer[instanceList]
	instancesRead atomic.Bool  // a valid instance list was received since the start
	platformLost  atomic.Bool  // the last read of the platform failed
	draining      atomic.Bool  // Drain was called
	stopBy        atomic.Int64 // end of the time for the last answers of a drain, in Unix nanoseconds
	unwritten     atomic.Int64 // replies that the reducer has decided on and that are not written yet
	keysKnown     atomic.Bool  // records with keys were in force since the start, so credentials are removed from requests
	copyInForce   atomic.Bool  // no newer records than those in force are in the copy of the store
	// The last time at which a read of the store was sent that showed no newer records than
	// those in force; nil if there was none. It is set under the mutex.
	confirmed     atomic.Pointer[gypsumrail.Millis]
	pullScheduled atomic.Bool // checkPeerRevisions has started its timer
	conns         connSet
	offerMu       sync.Mutex   // serializes offers, so that values reach the reducer in order; locked before mu
	loadLoggedAt  atomic.Int64 // time of the last log event about a malformed load, in Unix nanoseconds

	mu         sync.Mutex // serializes steps and guards the fields below
	loop       *loop.Driver
	lastCall   gypsumrail.CallID
	calls      map[gypsumrail.CallID]*call
	running    map[string]*call                               // calls running on this node's target, by request identity
	waiters    map[gypsumrail.CallID]chan gypsumrail.Exchange // peers waiting for the reducer's answer
	deliveries []delivery                                     // collected by the current step
	followUps  []gypsumrail.Event                             // caused by the effects of the current step
	grantReply *gypsumrail.GrantReply                         // of the current step
	stopping   bool
}

// New returns a relay that serves the given open listeners once Run is called.
func New(settings Settings, parts Parts, listeners *Listeners) *Relay {
	base, cancel := context.WithCancel(context.Background())
	r := &Relay{
		settings: settings, parts: parts, listeners: listeners,
		base: base, cancel: cancel, stopped: make(chan struct{}),
		peers: pool.New(peerIdleTimeout), targets: pool.New(targetIdleTimeout), controlPool: client.NewPool(),
		values: fetch.NewStore(), controlSlots: make(chan struct{}, outgoingControlMax),
		calls:   make(map[gypsumrail.CallID]*call),
		running: make(map[string]*call),
		waiters: make(map[gypsumrail.CallID]chan gypsumrail.Exchange),
	}
	r.conns.open = make(map[*conn]struct{})
	r.log = events.NewLog(parts.Logger, shell.NoticeLinesDropped)
	r.controlPool.SetConns(controlConnsPerPeer)
	r.faults = shell.Faults{Log: r.log, Meter: parts.Meter}
	r.controlPool.Observe(r.faults.Observer(shell.HopControl))
	r.control = peer.NewClient(r.controlPool, client.NewUnpooled(r.faults.Observer(shell.HopControl)))
	r.follower = r.newFollower()
	r.loop = loop.New(parts.Reducer, parts.Clock, r.perform, parts.Meter.RecordStep)
	return r
}

// Run serves until the reducer's Stop effect completes a drain or ctx ends. It then
// closes all connections and returns nil.
func (r *Relay) Run(ctx context.Context) error {
	defer r.cancel()
	r.log.Put(shell.NoticeNodeStarted, r.settings.Self.Name, gypsumrail.ReasonNone, r.settingsDetail())
	var work sync.WaitGroup
	work.Go(r.tick)
	work.Go(func() { r.follower.Run(r.base) })
	servers := r.serve()
	select {
	case <-r.stopped:
		r.listeners.close()
		r.awaitWrites()
	case <-ctx.Done():
	}
	r.loop.Close()
	r.listeners.close()
	for _, server := range servers {
		_ = server.Close()
	}
	r.conns.closeAll()
	r.cancel()
	work.Wait()
	r.peers.Close()
	r.targets.Close()
	r.controlPool.Close()
	r.mu.Lock()
	left := len(r.calls)
	r.mu.Unlock()
	r.log.Put(shell.NoticeNodeStopped, r.settings.Self.Name, gypsumrail.ReasonNone, countField("CallsInFlight", left))
	r.log.Close()
	return nil
}

// Drain starts a graceful shutdown. The readiness probe fails at once. The node
// finishes the calls in flight and closes each client's connection after its next
// answer. Run returns when the reducer returns a Stop effect. Further calls do nothing.
func (r *Relay) Drain() {
	if r.draining.CompareAndSwap(false, true) {
		r.stopBy.Store(time.Now().Add(r.settings.DrainMax.Duration() + stopWriteTime).UnixNano())
	}
	r.post(&gypsumrail.Event{Kind: gypsumrail.DrainAsked})
}

// LogNotice logs an event of the process, such as a reload of its settings.
func (r *Relay) LogNotice(notice gypsumrail.Notice, detail string) {
	r.log.Put(notice, r.settings.Self.Name, gypsumrail.ReasonNone, detail)
}

// LogForcedExit logs that a second signal ends the process, and returns once the log is
// written. The command calls it just before it exits.
func (r *Relay) LogForcedExit() {
	r.LogNotice(shell.NoticeSecondSignal, "")
	r.log.Close()
}

// tick gives the reducer a Tick event at the driver's intervals and closes expired
// idle connections.
func (r *Relay) tick() {
	swept := time.Now()
	for {
		select {
		case now := <-r.loop.Ticks():
			r.post(&gypsumrail.Event{Kind: gypsumrail.Tick})
			if now.Sub(swept) >= sweepInterval {
				swept = now
				r.peers.CloseExpired()
				r.targets.CloseExpired()
			}
		case <-r.base.Done():
			return
		}
	}
}
