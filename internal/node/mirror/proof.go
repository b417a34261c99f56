package mirror

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gypsumrail/gypsumrail"
)

// Bounds of the time between two fresh reads, where the age of the copy matters. The upper one
// is below confirmedMax. With peerWaitMax, the copies of nodes in touch are at most 1.9 s old:
// a node that refuses keys when its records are 4.9 s old begins 3 s after the loss of the
// store, from when on such refusals do not count as lost requests.
const (
	freshMin = 750 * time.Millisecond
	freshMax = 950 * time.Millisecond
)

// proof is the evidence that the delivered copy is complete.
type proof struct {
	delivered uint64            // revision up to which the copy is complete and delivered
	at        gypsumrail.Millis // all changes that the store acknowledged before are in the copy
	known     bool              // there is such a time
	sent      gypsumrail.Millis // last fresh read of the store's revision
	hasSent   bool
	// A fresh read that was sent at pendingAt showed the revision pending, which is above the
	// delivered one. It proves the copy once that is delivered.
	pending   uint64
	pendingAt gypsumrail.Millis
}

// delivered records that the parts were delivered, up to the revision of the copy.
func (f *Follower) delivered() {
	f.mu.Lock()
	p := &f.proof
	p.delivered = f.revision
	proved := p.pending > 0 && f.listed && p.covers(p.pending)
	if p.pending <= p.delivered {
		p.pending = 0 // also if the store is in a later era, in which the revision means nothing
	}
	at := p.pendingAt
	f.mu.Unlock()
	if proved {
		f.prove(at)
	}
}

// covers reports whether the delivered copy has all changes up to a revision of the same era.
// A later era may have lost some of them.
func (p *proof) covers(revision uint64) bool {
	era, _ := gypsumrail.SplitPosition(revision)
	own, _ := gypsumrail.SplitPosition(p.delivered)
	return era == own && revision <= p.delivered
}

// prove records and reports that all changes that the store acknowledged before a time are in
// the delivered copy.
func (f *Follower) prove(at gypsumrail.Millis) {
	f.mu.Lock()
	if p := &f.proof; !p.known || at > p.at {
		p.at, p.known = at, true
	}
	f.mu.Unlock()
	if f.settings.Confirmed != nil {
		f.settings.Confirmed(at)
	}
}

// proveRevision does so for a fresh read that was sent at a time and showed a revision.
func (f *Follower) proveRevision(revision uint64, sent gypsumrail.Millis) {
	f.readFresh(sent)
	f.mu.Lock()
	p := &f.proof
	complete := f.listed && revision == p.delivered
	if revision > p.delivered {
		p.pending, p.pendingAt = revision, sent
	}
	f.mu.Unlock()
	if complete {
		f.prove(sent)
	}
}

// readFresh records that a fresh read of the store was sent.
func (f *Follower) readFresh(sent gypsumrail.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proof.sent, f.proof.hasSent = sent, true
}

// isFreshDue reports whether a fresh read is due between two watches.
func (f *Follower) isFreshDue(now gypsumrail.Millis) bool {
	if !f.isFresh() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.proof.hasSent || now-f.proof.sent >= gypsumrail.MillisOf(freshMin)
}

// probePause returns the time until the next probe.
func (f *Follower) probePause() time.Duration {
	if !f.isFresh() {
		return probeInterval/2 + rand.N(probeInterval) //nolint:gosec // as in jitter
	}
	pause := freshMin + rand.N(freshMax-freshMin) //nolint:gosec // as in jitter
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.proof.hasSent {
		pause -= (f.clock.Now() - f.proof.sent).Duration()
	}
	return max(pause, 0)
}

func (f *Follower) isFresh() bool { return f.settings.Fresh != nil && f.settings.Fresh() }

// checkNow makes a fresh read if one is due. A failure shows at the next watch.
func (f *Follower) checkNow(ctx context.Context) {
	sent := f.clock.Now()
	if !f.isFreshDue(sent) {
		return
	}
	if revision, err := f.probeOnce(ctx, false); err == nil {
		f.proveRevision(revision, sent)
	}
}

// ageLocked returns the age of the copy, at the time at which a peer's request arrived, in the
// form of gypsumrail.Items. The peer subtracts it from the time at which it sent the request, so
// the time for which the request waited here does not count. The caller holds the mutex.
func (f *Follower) ageLocked(arrived gypsumrail.Millis) gypsumrail.Millis {
	if !f.proof.known || !f.isFresh() {
		return 0
	}
	return max(arrived-f.proof.at, 0) + 1
}
