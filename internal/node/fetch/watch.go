package fetch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gypsumrail/gypsumrail"
)

// Bounds of the backoff after an error or a stale response. The pause doubles from the
// lower to the upper bound, and jitter of half of it to both sides keeps the fleet from
// returning to a recovering platform all at once.
const (
	pauseMin = 250 * time.Millisecond
	pauseMax = 10 * time.Second
)

// Receiver is called with each value that was read, and with each error of a read. It
// runs on the goroutine of ReadFirst or Watch.
type Receiver func(value Value, err error)

// ReadFirst reads the current value of a name and retries with backoff until a read
// succeeds, done returns true because the value came from a peer, or ctx ends. A
// starting node calls it before Watch.
func (c *Client) ReadFirst(ctx context.Context, name gypsumrail.ValueName, done func() bool, receive Receiver) {
	pause := pauseMin
	for ctx.Err() == nil && !done() {
		value, found, err := c.Read(ctx, name, 0, 0)
		if ctx.Err() != nil {
			return
		}
		if found || err != nil {
			receive(value, err)
		}
		if found {
			return
		}
		pause = backOff(ctx, pause)
	}
}

// Watch calls receive with each newer version of a value until ctx ends. The function
// after returns the revision in force; Watch skips all up to it.
func (c *Client) Watch(ctx context.Context, name gypsumrail.ValueName, after func() gypsumrail.Revision, receive Receiver) {
	pause := pauseMin
	var seen gypsumrail.Revision
	for ctx.Err() == nil {
		// Skip a revision that was read but not accepted: the platform would return it
		// again at once, in a loop without a pause.
		seen = max(seen, after())
		value, found, err := c.Read(ctx, name, seen, WatchWait)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			receive(Value{}, err)
			pause = backOff(ctx, pause)
		case found:
			seen = value.Version.Revision
			receive(value, nil)
			pause = pauseMin
		case value.Version.Revision != 0:
			// The platform answered at once with a revision that is not newer. Without a
			// pause this would loop.
			pause = backOff(ctx, pause)
		default:
			pause = pauseMin
		}
	}
}

// backOff sleeps for the pause with jitter, or until ctx ends, and returns the next pause.
func backOff(ctx context.Context, pause time.Duration) time.Duration {
	t := time.NewTimer(pause/2 + rand.N(pause)) //nolint:gosec // spreads load; needs no secure randomness
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	return min(2*pause, pauseMax)
}
