// Package shell performs the effects of a node's reducer.
//
// It owns the sockets, timers, goroutines, clock and source of randomness, so
// that the reducer has no side effects. It makes no decision about a call: if a
// body cannot be sent twice or a connection went silent, it reports that as an
// event and the reducer decides.
//
// The caller's handler, each attempt at a peer and the run on this node's target
// refer to a call. They end in any order, so the references are counted. One
// mutex serializes the steps and guards the table of calls. Effects are
// performed under that mutex and only start work, so that a step never waits
// for the network.
package shell

import (
	"context"
	"net/http"
	"sync"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/cache"
	"github.com/gypsumrail/gypsumrail/internal/node/client"
	"github.com/gypsumrail/gypsumrail/internal/node/events"
	"github.com/gypsumrail/gypsumrail/internal/node/fetch"
	"github.com/gypsumrail/gypsumrail/internal/node/loop"
	"github.com/gypsumrail/gypsumrail/internal/node/peer"
)

// Bounds of what a node holds in memory and sends at once.
const (
	callsMax           = 20000    // calls; above the reducer's own bound, so that the reducer decides first
	bufferedBytesMax   = 32 << 20 // bytes of request bodies, stored for a second attempt
	sendersMax         = 4096     // calling instances whose last state is stored
	outgoingControlMax = 64       // SendExchange and Pull effects in flight; AskResolve and contactSeed do not count
	incomingControlMax = 256      // control messages from peers that are served at once
	// controlConnsMax bounds the connections to one host for control messages.
	// They are separate from the connections of calls: if control messages queued
	// behind calls under load, the failure detector would suspect a busy peer.
	controlConnsMax = 4
)

// Settings of a node's shell.
type Settings struct {
	Self            gypsumrail.Instance    // Address is the peers port as other nodes reach it
	Target          string                 // IP address and port of the target beside this node
	Platform        string                 // IP address and port of the platform
	Seeds           []string               // IP addresses and ports of peers to contact at the start
	Dial            client.Dial            // opens connections to peers and the platform; nil: the default dialer
	ReceiptTimeouts client.ReceiptTimeouts // longest time without a receipt from a peer; zero: client.NodeReceiptTimeouts
}

// Shell runs one node.
type Shell struct {
	settings  Settings
	parts     Parts
	listeners *Listeners

	base           context.Context // of all work that outlives a handler
	cancel         context.CancelFunc
	stopped        chan struct{} // closed by the Stop effect
	targetPool     *client.Pool  // connections to this node's target
	peerPool       *client.Pool  // connections for calls to peers
	controlPool    *client.Pool  // connections for control messages and to the platform
	control        *peer.Client
	platformClient *fetch.Client
	store          *fetch.Store
	bufferBudget   *client.BufferBudget
	log            *events.Log
	controlSlots   chan struct{} // one element per SendExchange or Pull effect in flight
	ready          readiness
	offerMu        sync.Mutex     // serializes offer, so that values reach the reducer in order
	servers        []*http.Server // in the order of newServers

	mu        sync.Mutex // serializes steps and guards the fields below
	loop      *loop.Driver
	lastCall  gypsumrail.CallID
	calls     map[gypsumrail.CallID]*call
	tokens    map[string]*call                             // calls that run on this node's target, by the token of their run
	waiters   map[gypsumrail.CallID]chan gypsumrail.Effect // pending questions to the reducer
	senders   map[string]gypsumrail.Instance               // calling instances by name, as of their last call
	self      gypsumrail.Instance
	stored    *cache.Answers     // answers of calls with an idempotency key
	stopWatch context.CancelFunc // nil while the platform is not watched
	stopping  bool
}

// New returns a shell that serves on the given listeners once Run is called.
func New(settings Settings, parts Parts, listeners *Listeners) *Shell {
	base, cancel := context.WithCancel(context.Background())
	s := &Shell{
		settings: settings, parts: parts, listeners: listeners,
		base: base, cancel: cancel, stopped: make(chan struct{}),
		targetPool: client.NewPool(), peerPool: client.NewPoolWithDial(settings.Dial), controlPool: client.NewPoolWithDial(settings.Dial),
		store: fetch.NewStore(), bufferBudget: client.NewBufferBudget(bufferedBytesMax),
		controlSlots: make(chan struct{}, outgoingControlMax),
		calls:        make(map[gypsumrail.CallID]*call),
		tokens:       make(map[string]*call),
		waiters:      make(map[gypsumrail.CallID]chan gypsumrail.Effect),
		senders:      make(map[string]gypsumrail.Instance),
		self:         settings.Self,
		stored:       cache.New(),
	}
	s.log = events.NewLog(parts.Logger, NoticeLinesDropped)
	faults := Faults{Log: s.log, Meter: parts.Meter}
	s.targetPool.Observe(faults.Observer(HopTarget))
	s.peerPool.Observe(faults.Observer(HopPeer))
	s.controlPool.Observe(faults.Observer(HopControl))
	s.controlPool.SetConns(controlConnsMax)
	s.control = peer.NewClient(s.controlPool, client.NewUnpooledWithDial(settings.Dial, faults.Observer(HopControl)))
	s.platformClient = fetch.NewClient(settings.Platform, s.controlPool)
	s.loop = loop.New(parts.Reducer, parts.Clock, s.perform, parts.Meter.RecordStep)
	s.servers = s.newServers()
	return s
}

// Run serves until the reducer returns a Stop effect at the end of a drain, or
// until ctx ends, which aborts the calls in flight. It always returns nil.
func (s *Shell) Run(ctx context.Context) error {
	defer s.cancel()
	s.serve()
	s.log.Put(NoticeNodeStarted, s.settings.Self.Name, gypsumrail.ReasonNone, s.settings.Self.Address)
	var work sync.WaitGroup
	work.Go(s.tick)
	work.Go(s.fetchInitialValues)
	select {
	case <-s.stopped:
	case <-ctx.Done():
	}
	s.shutdown()
	s.cancel()
	work.Wait()
	s.targetPool.Close()
	s.peerPool.Close()
	s.controlPool.Close()
	s.log.Put(NoticeNodeStopped, s.settings.Self.Name, gypsumrail.ReasonNone, "")
	s.log.Close()
	return nil
}

// Drain starts a graceful shutdown: the reducer announces to the peers that the
// instance leaves, and Run returns when the calls in flight have ended. A
// caller's connection is closed with its next answer and not earlier, because a
// call may already be on its way on a connection that looks idle here.
func (s *Shell) Drain() {
	s.ready.setDraining()
	s.post(&gypsumrail.Event{Kind: gypsumrail.DrainAsked})
}

// LogNotice logs an event of the process, such as a signal.
func (s *Shell) LogNotice(notice gypsumrail.Notice, detail string) {
	s.log.Put(notice, s.settings.Self.Name, gypsumrail.ReasonNone, detail)
}

// LogForcedExit logs that a second signal ends the process, and returns once the log
// is written. The command calls it just before it exits.
func (s *Shell) LogForcedExit() {
	s.log.Put(NoticeSecondSignal, s.settings.Self.Name, gypsumrail.ReasonNone, "")
	s.log.Close()
}

// tick gives the reducer a Tick event at each interval, and lengthens the interval
// while the node serves no call.
func (s *Shell) tick() {
	for {
		select {
		case <-s.loop.Ticks():
			s.mu.Lock()
			s.step(&gypsumrail.Event{Kind: gypsumrail.Tick})
			s.loop.SetIdle(len(s.calls) == 0)
			s.mu.Unlock()
		case <-s.base.Done():
			return
		}
	}
}
