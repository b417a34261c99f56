package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

const (
	// probeInterval is the mean time between two probes of the store during a watch. A
	// watch alone shows only at its end whether the store can still be reached.
	probeInterval = 600 * time.Millisecond
	// lostAfter is how long after a probe returned a revision the watch may take to
	// return it. A watch whose answer was lost would wait to its end.
	lostAfter = 200 * time.Millisecond
)

// errWatchLost means that a watch did not return a change that the store has.
var errWatchLost = errors.New("the watch did not return a change that a probe saw")

// probe reads the store's revision at intervals while a watch waits, until ctx ends. Each
// answer confirms the copy. It ends the watch by stop, with the cause, if there is no
// answer, or if the watch does not return a change that the store has.
func (f *Follower) probe(ctx context.Context, stop context.CancelCauseFunc) {
	for {
		sleep(ctx, probeInterval)
		if ctx.Err() != nil {
			return
		}
		revision, err := f.probeOnce(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			stop(err)
			return
		case revision > f.knownRevision():
			sleep(ctx, lostAfter)
			f.setProbed(revision)
			stop(errWatchLost)
			return
		}
		f.confirm()
	}
}

func (f *Follower) probeOnce(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, responseTimeoutMin)
	defer cancel()
	return f.settings.Store.Revision(ctx) //nolint:wrapcheck // as in watch
}

// knownRevision returns the revision up to which the copy is complete, or that of the
// last probe that ended a watch. The next watch reads what was missing. If that was
// nothing, the probe saw changes below other prefixes.
func (f *Follower) knownRevision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.revision, f.probed)
}

func (f *Follower) setProbed(revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.probed = revision
}

// confirm records that the store answered.
func (f *Follower) confirm() {
	f.mu.Lock()
	defer f.mu.Unlock()
	wake := !f.confirmedLocked()
	f.confirmed, f.storeLost = time.Now(), false
	if wake {
		f.signal()
	}
}

// jitter returns a random time between half of d and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1) //nolint:gosec // spreads load; needs no secure randomness
}
