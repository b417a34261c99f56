// Package loop is the part of the event loop that all kinds of nodes share. It passes
// events to the reducer of a node, sets the time and a random number in each, sends
// ticks and publishes the stream of events. The node's own code performs the effects.
package loop

import (
	cryptorand "crypto/rand"
	"math/rand/v2"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/events"
)

const (
	// tickInterval is the time between two ticks while the node serves calls.
	tickInterval = 10 * time.Millisecond
	// idleTickInterval is the time between two ticks while it serves none: waking
	// up every 10 ms took two thirds of the processor time of an idle node. The
	// reducer updates the admission threshold at the first tick after 100 ms. Three
	// idle ticks take 102 ms, so the threshold falls as fast as under load.
	idleTickInterval = 34 * time.Millisecond
	// pauseGap is the time without a tick after which the process is assumed to
	// have been paused. The reducer then gets a tick before any other event, so
	// that it rechecks its state before it handles what queued up in the sockets.
	pauseGap = gypsumrail.Second / 2
)

// Reducer decides on the effects of an event. Step is never called concurrently. The
// effects that it returns are valid until the next call.
type Reducer interface {
	Step(event *gypsumrail.Event) []gypsumrail.Effect
}

// Perform starts the work of an effect. It must neither block nor call Step. The
// effect is valid only until it returns.
type Perform func(now gypsumrail.Millis, effect *gypsumrail.Effect)

// RecordStep records the duration of one step, including Perform of its effects.
type RecordStep func(kind gypsumrail.EventKind, took time.Duration)

// Driver passes events to one reducer. Only Ticks and Events are safe for concurrent use.
type Driver struct {
	reducer    Reducer
	clock      gypsumrail.Clock
	perform    Perform
	recordStep RecordStep
	stream     *events.Stream
	random     *rand.Rand
	lastTick   gypsumrail.Millis
	ticker     *time.Ticker
	idle       bool
}

// New returns a driver and starts its ticker. Close stops it.
func New(reducer Reducer, clock gypsumrail.Clock, perform Perform, recordStep RecordStep) *Driver {
	var seed [32]byte
	_, _ = cryptorand.Read(seed[:]) // never fails
	return &Driver{
		reducer: reducer, clock: clock, perform: perform, recordStep: recordStep, stream: events.NewStream(),
		random:   rand.New(rand.NewChaCha8(seed)), //nolint:gosec // decisions only; tokens use crypto/rand
		lastTick: clock.Now(), ticker: time.NewTicker(tickInterval),
	}
}

// Close stops the ticker and closes the stream of events.
func (d *Driver) Close() {
	d.ticker.Stop()
	d.stream.Close()
}

// Events returns the stream of all events that the reducer was given.
func (d *Driver) Events() *events.Stream { return d.stream }

// Ticks returns the channel of ticks. For each, the node must pass a Tick event to Step.
func (d *Driver) Ticks() <-chan time.Time { return d.ticker.C }

// Step sets the time and random number of an event, passes it to the reducer and
// performs the effects. After a pause of the process it does so with a Tick first.
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
	d.recordStep(event.Kind, time.Since(began))
}

// Idle returns whether the ticks come at the interval of an idle node.
func (d *Driver) Idle() bool { return d.idle }

// SetIdle sets the tick interval of an idle node (on) or of a busy one. It resets
// the ticker only on a change: a reset with each call would postpone the next
// tick for as long as calls keep arriving.
func (d *Driver) SetIdle(on bool) {
	if d.idle == on {
		return
	}
	d.idle = on
	if on {
		d.ticker.Reset(idleTickInterval)
	} else {
		d.ticker.Reset(tickInterval)
	}
}
