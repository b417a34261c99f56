// Package relay performs the effects of a node's reducer for plain HTTP/1.1
// requests: those of clients and targets that know nothing of gypsumrail and
// whose class follows from host and path.
//
// It is the counterpart of package shell, which serves callers that speak
// gypsumrail's own headers. Like it, the relay owns sockets, timers, the clock
// and randomness, and decides nothing about a call. Requests and answers are
// held whole: an answer that breaks off is noticed before any of it was passed
// on, a send that was refused can be made again with the same bytes, and the
// slot of a target is free as soon as its answer is in, however slowly the client
// reads. In exchange the size of bodies is bounded.
//
// A request takes two hops, from the node beside its client to the node beside
// the target that runs it. Both hops are HTTP/1.1 with one exchange at a time on
// a connection, so that closing a connection cancels exactly one exchange.
//
// One mutex serializes the steps of the reducer and guards the table of calls.
// Nothing waits for the network under it: answers are collected during a step
// and written after it.
package relay

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/drive"
	"github.com/gypsumrail/gypsumrail/internal/node/events"
	"github.com/gypsumrail/gypsumrail/internal/node/feed"
	"github.com/gypsumrail/gypsumrail/internal/node/link"
	"github.com/gypsumrail/gypsumrail/internal/node/peer"
	"github.com/gypsumrail/gypsumrail/internal/node/pool"
	"github.com/gypsumrail/gypsumrail/internal/node/shell"
)

const (
	// targetIdle is how long a connection to the target is kept without use unless
	// the target states a time of its own.
	targetIdle = 8 * time.Second
	// peerIdle is below peerPatience, so that the sending side closes first.
	peerIdle     = 20 * time.Second
	peerPatience = 60 * time.Second
	// sweepEvery is the time between two searches for old idle connections.
	sweepEvery = 2 * time.Second
	// controlMax bounds the control messages under way, servedMax those answered at once.
	controlMax = 16
	servedMax  = 32
	// controlConns bounds the connections for control messages to one peer.
	controlConns = 2
)

// Settings of a relay.
type Settings struct {
	Self    gypsumrail.Instance // Address is that of the peers port as others reach it
	Target  string              // IP address and port of the own target
	Headers Headers
}

// Parts are what a relay needs besides its settings.
type Parts struct {
	Reducer drive.Reducer
	Status  func() any // what /status shows; called between two steps
	Store   gypsumrail.Store
	Catalog gypsumrail.Catalog
	Logger  shell.Logger
	Meter   shell.Meter
	Metrics http.Handler
	Clock   gypsumrail.Clock
}

// Relay runs one node. It is safe for concurrent use.
type Relay struct {
	settings  Settings
	parts     Parts
	listeners *Listeners

	base      context.Context // of all work that outlives a connection
	cancel    context.CancelFunc
	stopped   chan struct{} // closed by the Stop effect
	peers     *pool.Pool
	targets   *pool.Pool
	control   *peer.Client
	quiet     *link.Pool
	values    *feed.Store
	lines     *events.Log
	limit     chan struct{} // control messages under way
	records   atomic.Pointer[gypsumrail.Records]
	instances atomic.Pointer[instanceList]
	listed    atomic.Bool
	away      atomic.Bool // the platform cannot be read
	leaving   atomic.Bool
	held      atomic.Int64 // bytes of large bodies
	behind    atomic.Bool  // a stamp of a peer told of newer values, which are about to be fetched
	conns     connSet
	applied   sync.Mutex // orders the values that are offered to the reducer

	mu       sync.Mutex // serializes steps and guards what follows
	drive    *drive.Driver
	lastCall gypsumrail.CallID
	calls    map[gypsumrail.CallID]*call
	running  map[string]*call // on the own target, by identity of the request
	waiters  map[gypsumrail.CallID]chan gypsumrail.Exchange
	out      []delivery
	next     []gypsumrail.Event // that follow from the present one
	stopping bool
}

// New returns a relay for open listeners. Run starts it.
func New(settings Settings, parts Parts, listeners *Listeners) *Relay {
	base, cancel := context.WithCancel(context.Background())
	r := &Relay{
		settings: settings, parts: parts, listeners: listeners,
		base: base, cancel: cancel, stopped: make(chan struct{}),
		peers: pool.New(peerIdle), targets: pool.New(targetIdle), quiet: link.NewPool(),
		values: feed.NewStore(), limit: make(chan struct{}, controlMax),
		calls:   make(map[gypsumrail.CallID]*call),
		running: make(map[string]*call),
		waiters: make(map[gypsumrail.CallID]chan gypsumrail.Exchange),
	}
	r.conns.open = make(map[*conn]struct{})
	r.lines = events.NewLog(parts.Logger, shell.NoticeLinesDropped)
	r.quiet.SetConns(controlConns)
	r.control = peer.NewClient(r.quiet, link.NewFresh())
	r.drive = drive.New(parts.Reducer, parts.Clock, r.perform, parts.Meter.Stepped)
	return r
}

// Run serves until the reducer says that the drain is complete or ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	defer r.cancel()
	r.lines.Put(shell.NoticeNodeStarted, r.settings.Self.Name, gypsumrail.ReasonNone, r.describe())
	var work sync.WaitGroup
	work.Go(r.tick)
	r.follow(&work)
	servers := r.serve()
	select {
	case <-r.stopped:
	case <-ctx.Done():
	}
	r.drive.Close()
	r.listeners.close()
	for _, server := range servers {
		_ = server.Close()
	}
	r.conns.closeAll()
	r.cancel()
	work.Wait()
	r.peers.Close()
	r.targets.Close()
	r.quiet.Close()
	r.mu.Lock()
	left := len(r.calls)
	r.mu.Unlock()
	r.lines.Put(shell.NoticeNodeStopped, r.settings.Self.Name, gypsumrail.ReasonNone, countOf("CallsInFlight", left))
	r.lines.Close()
	return nil
}

// Drain starts a graceful shutdown. The node stops being ready at once, finishes
// what runs and closes each client's connection with its next answer; Run returns
// when the reducer finds nothing left to finish.
func (r *Relay) Drain() {
	r.leaving.Store(true)
	r.post(&gypsumrail.Event{Kind: gypsumrail.DrainAsked})
}

// Note logs an event of the process, such as a reload.
func (r *Relay) Note(notice gypsumrail.Notice, detail string) {
	r.lines.Put(notice, r.settings.Self.Name, gypsumrail.ReasonNone, detail)
}

func (r *Relay) tick() {
	swept := time.Now()
	for {
		select {
		case now := <-r.drive.Ticks():
			r.post(&gypsumrail.Event{Kind: gypsumrail.Tick})
			if now.Sub(swept) >= sweepEvery {
				swept = now
				r.peers.Sweep()
				r.targets.Sweep()
			}
		case <-r.base.Done():
			return
		}
	}
}
