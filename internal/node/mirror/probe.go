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
	// checkAfter is the age of a watch from which one probe is a fresh read. A watch that
	// began while the store notified nobody misses what changed until then, and stale reads
	// may lag by more than a change may take to come into force.
	checkAfter = 1200 * time.Millisecond
)

// errWatchLost means that a watch did not return a change that the store has.
var errWatchLost = errors.New("the watch did not return a change that a probe saw")

// probe reads the store's revision at intervals while a watch waits, until ctx ends. Each
// answer confirms the copy. It ends the watch by stop, with the cause, if there is no
// answer, or if the watch does not return a change that the store has.
//
// Most probes are stale reads, which are cheap, unless the age of the copy matters. One that is older than the copy shows
// that stale reads lag, so the next one is a fresh read. A fresh read of the revision of the
// delivered copy proves that it is complete.
func (f *Follower) probe(ctx context.Context, stop context.CancelCauseFunc) {
	began, checked := time.Now(), false
	for {
		wait(ctx, f.probePause())
		if ctx.Err() != nil {
			return
		}
		check := !checked && time.Since(began) >= checkAfter
		sent := f.clock.Now()
		fresh := check || f.isLagging() || f.isFresh()
		revision, err := f.probeOnce(ctx, !fresh)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			stop(err)
			return
		case revision > f.knownRevision():
			if fresh {
				f.proveRevision(revision, sent)
			}
			sleep(ctx, lostAfter)
			if ctx.Err() == nil { // else the watch has ended by itself, and the next probe tells
				f.setProbed(revision)
				stop(errWatchLost)
			}
			return
		}
		checked = checked || check
		f.setLagging(revision < f.knownRevision())
		f.confirm()
		if fresh {
			f.proveRevision(revision, sent)
		}
	}
}

func (f *Follower) probeOnce(ctx context.Context, stale bool) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, responseTimeoutMin)
	defer cancel()
	return f.settings.Store.Revision(ctx, stale) //nolint:wrapcheck // as in watch
}

// knownRevision returns the revision up to which the copy is complete, or that of the
// last probe that ended a watch. A listing follows such a probe. If it shows nothing up to
// that revision, the probe saw changes below other prefixes.
func (f *Follower) knownRevision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.revision, f.probed)
}

// isLagging reports whether the last probe was older than the copy.
func (f *Follower) isLagging() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lagging
}

func (f *Follower) setLagging(lagging bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lagging = lagging
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
