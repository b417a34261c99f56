package feed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gypsumrail/gypsumrail"
)

// Pauses after faults: they double from the first to the last, and each is
// spread by half of itself to both sides so that the fleet does not return to a
// recovering platform at once.
const (
	pauseFirst = 250 * time.Millisecond
	pauseLast  = 10 * time.Second
)

// Take gets each value that was read, and each fault. It runs on the watching goroutine.
type Take func(value Value, err error)

// First reads a value until it was read once or done tells that it came from
// elsewhere. It returns when ctx ends.
func (c *Client) First(ctx context.Context, name gypsumrail.ValueName, done func() bool, take Take) {
	pause := pauseFirst
	for ctx.Err() == nil && !done() {
		value, found, err := c.Read(ctx, name, 0, 0)
		if ctx.Err() != nil {
			return
		}
		if found || err != nil {
			take(value, err)
		}
		if found {
			return
		}
		pause = rest(ctx, pause)
	}
}

// Watch follows a value until ctx ends, from the revision that after returns.
func (c *Client) Watch(ctx context.Context, name gypsumrail.ValueName, after func() gypsumrail.Revision, take Take) {
	pause := pauseFirst
	var seen gypsumrail.Revision
	for ctx.Err() == nil {
		// A revision that was read but not accepted must not be read again at once.
		seen = max(seen, after())
		value, found, err := c.Read(ctx, name, seen, WatchTime)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			take(Value{}, err)
			pause = rest(ctx, pause)
		case found:
			seen = value.Version.Revision
			take(value, nil)
			pause = pauseFirst
		case value.Version.Revision != 0:
			// The platform answered at once with an older revision.
			pause = rest(ctx, pause)
		default:
			pause = pauseFirst
		}
	}
}

// rest waits for a pause and returns the next one.
func rest(ctx context.Context, pause time.Duration) time.Duration {
	t := time.NewTimer(pause/2 + rand.N(pause)) //nolint:gosec // spreads load, guards nothing
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	return min(2*pause, pauseLast)
}
