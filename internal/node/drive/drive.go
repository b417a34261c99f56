// Package drive gives events to the reducer of a node. The node's own code then
// only has to perform the effects: time, random numbers, ticks and the stream of
// events are the same for all kinds of nodes.
package drive

import (
	cryptorand "crypto/rand"
	"math/rand/v2"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/events"
)

const (
	// tickEvery is the time between two ticks while the node holds calls.
	tickEvery = 10 * time.Millisecond
	// restEvery is the time between two ticks while it holds none, because waking
	// up every 10 ms was two thirds of the processor time of an idle node. Three of
	// them are just over 100 ms, so the threshold falls as fast as under load.
	restEvery = 34 * time.Millisecond
	// pauseGap is the time without a tick from which the process counts as having
	// been paused. The reducer then gets a tick before any other event, so that it
	// rechecks what it held before it acts on what waited in the sockets.
	pauseGap = gypsumrail.Second / 2
)

// Reducer decides. It is called for one event at a time.
type Reducer interface {
	Step(event *gypsumrail.Event) []gypsumrail.Effect
}

// Perform starts what an effect asks for. It must neither wait nor step. The
// effect is valid only until it returns.
type Perform func(now gypsumrail.Millis, effect *gypsumrail.Effect)

// Stepped takes the time of one step with its effects.
type Stepped func(kind gypsumrail.EventKind, took time.Duration)

// Driver steps one reducer. It is not safe for concurrent use, but for Ticks and Events.
type Driver struct {
	reducer  Reducer
	clock    gypsumrail.Clock
	perform  Perform
	stepped  Stepped
	stream   *events.Stream
	random   *rand.Rand
	lastTick gypsumrail.Millis
	ticker   *time.Ticker
	resting  bool
}

// New returns a driver whose ticks have begun. Close ends them.
func New(reducer Reducer, clock gypsumrail.Clock, perform Perform, stepped Stepped) *Driver {
	var seed [32]byte
	_, _ = cryptorand.Read(seed[:]) // never fails
	return &Driver{
		reducer: reducer, clock: clock, perform: perform, stepped: stepped, stream: events.NewStream(),
		random:   rand.New(rand.NewChaCha8(seed)), //nolint:gosec // decisions only; tokens use crypto/rand
		lastTick: clock.Now(), ticker: time.NewTicker(tickEvery),
	}
}

// Close ends the ticks and the stream of events.
func (d *Driver) Close() {
	d.ticker.Stop()
	d.stream.Close()
}

// Events returns the stream of events.
func (d *Driver) Events() *events.Stream { return d.stream }

// Ticks tells when to step a Tick.
func (d *Driver) Ticks() <-chan time.Time { return d.ticker.C }

// Step gives one event to the reducer and performs the effects.
func (d *Driver) Step(event *gypsumrail.Event) {
	now := d.clock.Now()
	if event.Kind != gypsumrail.Tick && now-d.lastTick > pauseGap {
		d.step(now, &gypsumrail.Event{Kind: gypsumrail.Tick})
	}
	d.step(now, event)
}

func (d *Driver) step(now gypsumrail.Millis, event *gypsumrail.Event) {
	began := time.Now()
	if event.Kind == gypsumrail.Tick {
		d.lastTick = now
	}
	event.At = now
	event.Random = d.random.Uint64()
	d.stream.Publish(event)
	effects := d.reducer.Step(event)
	for i := range effects {
		d.perform(now, &effects[i])
	}
	d.stepped(event.Kind, time.Since(began))
}

// Resting tells whether ticks are slow.
func (d *Driver) Resting() bool { return d.resting }

// Rest slows the ticks down or brings them back. It resets the ticker only on a
// change: a reset with each call would put the next tick off for as long as
// calls keep coming.
func (d *Driver) Rest(on bool) {
	if d.resting == on {
		return
	}
	d.resting = on
	if on {
		d.ticker.Reset(restEvery)
	} else {
		d.ticker.Reset(tickEvery)
	}
}
