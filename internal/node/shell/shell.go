// Package shell performs the effects of a node's reducer.
//
// It owns everything that the reducer must not know: sockets, timers,
// goroutines, the clock and the source of randomness. It makes no decision
// about a call; where it must choose (a body that cannot be sent twice, a
// connection that went silent) it reports what happened and lets the reducer
// decide.
//
// A call is held by the handler of its caller, by each attempt to a peer and by
// its run on the own target, which end in any order. One mutex serializes the
// steps and guards the table of calls; effects are performed under it and only
// start work, so that a step never waits for the network.
package shell

import (
	"context"
	"net/http"
	"sync"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/cache"
	"github.com/gypsumrail/gypsumrail/internal/node/drive"
	"github.com/gypsumrail/gypsumrail/internal/node/events"
	"github.com/gypsumrail/gypsumrail/internal/node/feed"
	"github.com/gypsumrail/gypsumrail/internal/node/link"
	"github.com/gypsumrail/gypsumrail/internal/node/peer"
)

// Bounds of what a node holds.
const (
	callsMax   = 20000    // calls, above the reducer's own bound so that it decides first
	buffersMax = 32 << 20 // bytes of request bodies kept for another attempt
	seenMax    = 4096     // peers whose last state is remembered
	controlMax = 64       // control messages under way to peers
	servedMax  = 256      // control messages of peers answered at once
	// quietConnsMax bounds the connections to one host for control messages. They
	// do not share the connections of calls: waiting behind them under load would
	// make a busy peer look failed.
	quietConnsMax = 4
)

// Settings of a node's shell.
type Settings struct {
	Self     gypsumrail.Instance // Address is that of the peers port as others reach it
	Target   string              // IP address and port of the own target
	Platform string              // IP address and port of the platform
	Seeds    []string            // IP addresses and ports of peers to ask at the start
	Dial     link.Dial           // opens connections to peers and the platform; nil for the usual way
	Silence  link.Silence        // bounds the silence of peers; zero: link.NodeSilence
}

// Shell runs one node.
type Shell struct {
	settings  Settings
	parts     Parts
	listeners *Listeners

	base    context.Context // of all work that outlives a handler
	cancel  context.CancelFunc
	stopped chan struct{} // closed by the Stop effect
	targets *link.Pool
	peers   *link.Pool
	quiet   *link.Pool // control messages and the platform
	control *peer.Client
	feed    *feed.Client
	store   *feed.Store
	buffers *link.Buffers
	lines   *events.Log
	limit   chan struct{} // control messages under way
	ready   readiness
	applied sync.Mutex     // orders the values that are offered to the reducer
	servers []*http.Server // in the order of newServers

	mu       sync.Mutex // serializes steps and guards what follows
	drive    *drive.Driver
	lastCall gypsumrail.CallID
	calls    map[gypsumrail.CallID]*call
	tokens   map[string]*call
	waiters  map[gypsumrail.CallID]chan gypsumrail.Effect
	seen     map[string]gypsumrail.Instance
	self     gypsumrail.Instance
	kept     *cache.Answers
	watching context.CancelFunc // nil while the platform is not watched
	stopping bool
}

// New returns a shell for open listeners. Run starts it.
func New(settings Settings, parts Parts, listeners *Listeners) *Shell {
	base, cancel := context.WithCancel(context.Background())
	s := &Shell{
		settings: settings, parts: parts, listeners: listeners,
		base: base, cancel: cancel, stopped: make(chan struct{}),
		targets: link.NewPool(), peers: link.NewPoolVia(settings.Dial), quiet: link.NewPoolVia(settings.Dial),
		store: feed.NewStore(), buffers: link.NewBuffers(buffersMax),
		limit:   make(chan struct{}, controlMax),
		calls:   make(map[gypsumrail.CallID]*call),
		tokens:  make(map[string]*call),
		waiters: make(map[gypsumrail.CallID]chan gypsumrail.Effect),
		seen:    make(map[string]gypsumrail.Instance),
		self:    settings.Self,
		kept:    cache.New(),
	}
	s.lines = events.NewLog(parts.Logger, NoticeLinesDropped)
	s.quiet.SetConns(quietConnsMax)
	s.control = peer.NewClient(s.quiet, link.NewFreshVia(settings.Dial))
	s.feed = feed.NewClient(settings.Platform, s.quiet)
	s.drive = drive.New(parts.Reducer, parts.Clock, s.perform, parts.Meter.Stepped)
	s.servers = s.newServers()
	return s
}

// Run serves until the reducer says that the drain is complete or ctx ends.
// With the end of ctx open calls are cut off.
func (s *Shell) Run(ctx context.Context) error {
	defer s.cancel()
	s.serve()
	s.lines.Put(NoticeNodeStarted, s.settings.Self.Name, gypsumrail.ReasonNone, s.settings.Self.Address)
	var work sync.WaitGroup
	work.Go(s.tick)
	work.Go(s.start)
	select {
	case <-s.stopped:
	case <-ctx.Done():
	}
	s.shutdown()
	s.cancel()
	work.Wait()
	s.targets.Close()
	s.peers.Close()
	s.quiet.Close()
	s.lines.Put(NoticeNodeStopped, s.settings.Self.Name, gypsumrail.ReasonNone, "")
	s.lines.Close()
	return nil
}

// Drain starts a graceful shutdown: the reducer announces that the instance
// leaves, and Run returns when the calls in flight have ended. Connections of
// callers close with their next answer and not before: a call may already be on
// its way on one that looks idle here.
func (s *Shell) Drain() {
	s.ready.drain()
	s.post(&gypsumrail.Event{Kind: gypsumrail.DrainAsked})
}

// Exiting logs that a second signal ends the process. It returns when the log is written.
func (s *Shell) Exiting() {
	s.lines.Put(NoticeSecondSignal, s.settings.Self.Name, gypsumrail.ReasonNone, "")
	s.lines.Close()
}

func (s *Shell) tick() {
	for {
		select {
		case <-s.drive.Ticks():
			s.mu.Lock()
			s.step(&gypsumrail.Event{Kind: gypsumrail.Tick})
			s.drive.Rest(len(s.calls) == 0)
			s.mu.Unlock()
		case <-s.base.Done():
			return
		}
	}
}
