// Package mirror keeps copies of parts of the platform's store up to date, and serves
// them to peers.
//
// It lists the parts and then watches for changes, at the store or at a peer that
// does; package source decides which. One listing and one watch cover all parts:
// their prefix is the longest one that they have in common, which may be empty. So a
// node has one pending call at the store while nothing changes.
//
// The package handles the gaps between a listing and a watch: pages that are not one
// snapshot, a history that the store has dropped, a watch that is not notified, and a
// store that is unreachable, rejects this node or does not respond. Revisions are
// positions, so a store that comes back from an older copy needs no case of its own. The
// package does not interpret the items. The receiver of a copy decides what a removed
// item means.
package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/source"
)

const (
	// Bounds of the response timeout, which is added to the waiting time of a watch
	// and doubles with each failure. The store normally responds in milliseconds, so
	// the lower bound ends a watch without a response early. The upper one leaves a
	// slow store enough time.
	responseTimeoutMin = 300 * time.Millisecond
	responseTimeoutMax = 2400 * time.Millisecond
	// Bounds of the backoff after an error. The pause doubles with each failure and
	// has jitter, so that the nodes of the fleet do not return to the store at the
	// same time. The upper bound counts toward the time within which a configuration
	// must be in force after an outage.
	pauseMin = 20 * time.Millisecond
	pauseMax = 500 * time.Millisecond
	// peerPause is the pause after a failure of a peer, from the peerFailuresMax-th in a
	// row on. By then all sources have failed.
	peerPause       = 100 * time.Millisecond
	peerFailuresMax = 3
	// peerWaitMax is the longest wait of a read from a peer. With responseTimeoutMin and
	// the reads from the next sources, a change that a frozen peer does not pass on
	// arrives within 1.5 s.
	peerWaitMax = 800 * time.Millisecond
	// Pauses after a read that returned changes, from the store and from a peer. Changes
	// that follow each other closely, as at the start of a fleet, then arrive together. A
	// node that knows no peer yet does not pause: it has no other source if the store goes.
	storeSettleTime = 150 * time.Millisecond
	peerSettleTime  = 50 * time.Millisecond
)

// Part is a set of items, those below a prefix, with the function that receives them.
type Part struct {
	Prefix  string
	Receive Receiver
	// ItemBytesMax bounds the data of an item. A longer one is kept without data, so that
	// whoever writes it does not fill the memory of all nodes. Zero means no bound.
	ItemBytesMax int
	// Prepare returns an item as it is kept, delivered and served, for example without
	// secrets. It must return its own results unchanged, as items come from peers too. Nil
	// keeps items as they are.
	Prepare func(item gypsumrail.Item) gypsumrail.Item
	// Supersedes reports whether the data of a later revision of an item replaces the known
	// data. If it does not, the known data are kept under the later revision, so that peers
	// that did not see them before they were overwritten get them too. Nil: they always do.
	Supersedes func(known, next gypsumrail.Item) bool
}

// latest returns what is kept of a known item and of its next revision.
func (p *Part) latest(known, next gypsumrail.Item) gypsumrail.Item {
	if p.Supersedes != nil && !p.Supersedes(known, next) {
		next.Data = known.Data
	}
	return next
}

// prepared returns an item as the part keeps it.
func (p *Part) prepared(item gypsumrail.Item) gypsumrail.Item {
	if p.Prepare != nil {
		item = p.Prepare(item)
	}
	if p.ItemBytesMax > 0 && len(item.Data) > p.ItemBytesMax {
		item.Data = nil
	}
	return item
}

// Receiver is called with the whole copy of a part, ordered by key, after each listing
// and each change. The revision is that of the part's last change, so that nodes with
// equal copies give them the same revision. Receiver must not retain the slice.
type Receiver func(items []gypsumrail.Item, revision uint64)

// Contact is called with the error when reads begin to fail, and with nil when they
// succeed again.
type Contact func(err error)

// Settings are the sources of a Follower.
type Settings struct {
	Store   gypsumrail.Store
	Peers   func(address string) gypsumrail.Store // the copy of a peer
	Sources *source.Chooser                       // nil: the store only
	Clock   gypsumrail.Clock
	// Wait is the longest wait of a watch at the store. Each one waits for a random
	// time of at least three quarters of it. Cheaper probes show meanwhile whether the store
	// can be reached and whether the watch missed a change.
	Wait    time.Duration
	Contact Contact
	// Confirmed is called with the time, on the Clock, at which a read of the store was sent
	// that showed nothing beyond the delivered copy. It may be called from another goroutine
	// than Run's, and with an earlier time than before. Nil: nobody needs to know.
	Confirmed func(at gypsumrail.Millis)
	// Fresh reports whether the age of the copy matters: then the probes are
	// fresh reads, about one a second, and peers hear the age. Nil: never.
	Fresh func() bool
}

// Follower lists and watches the items of its parts. Its methods other than Run are
// safe for concurrent use. It implements gypsumrail.Store for peers.
type Follower struct {
	settings Settings
	clock    gypsumrail.Clock
	prefix   string // common to all parts

	// These belong to the goroutine of Run.
	responseTimeout time.Duration // of the store, beyond the waiting time
	unreachable     bool          // reads fail, as reported to Contact
	storeFailed     bool          // a read from the store failed since the last success
	peerFailed      bool          // likewise from a peer

	mu         sync.Mutex // guards the fields below
	sources    *source.Chooser
	parts      []*partCopy
	revision   uint64             // the next watch reads the changes after it
	probed     uint64             // revision of the last probe that ended a watch
	lagging    bool               // the last probe was a stale read that was older than the copy
	listed     bool               // there is a copy that a watch can go on from
	relist     bool               // the next read is a listing, although there is a copy
	confirmed  time.Time          // last successful read from the store itself
	proof      proof              // that the copy is complete
	storeLost  bool               // the last read from the store itself failed
	from       string             // source of the current or last read
	cancelRead context.CancelFunc // ends the current read from a peer, or nil
	changed    chan struct{}      // closed by signal
}

var _ gypsumrail.Store = (*Follower)(nil)

// New returns a follower of parts whose prefixes do not overlap. The functions of the
// parts and Contact are called on the goroutine of Run.
func New(settings Settings, parts ...Part) *Follower {
	f := &Follower{settings: settings, clock: settings.Clock, sources: settings.Sources, changed: make(chan struct{})}
	if f.sources == nil {
		f.sources = source.New("", "")
	}
	for i, part := range parts {
		if i == 0 {
			f.prefix = part.Prefix
		}
		f.prefix = commonPrefix(f.prefix, part.Prefix)
		f.parts = append(f.parts, &partCopy{Part: part, items: make(map[string]gypsumrail.Item)})
	}
	return f
}

// commonPrefix returns the longest prefix of both strings.
func commonPrefix(a, b string) string {
	n := 0
	for n < min(len(a), len(b)) && a[n] == b[n] {
		n++
	}
	return a[:n]
}

// SetInstances tells which instances there are, so that their nodes can be read from.
func (f *Follower) SetInstances(list []gypsumrail.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sources.SetInstances(list)
}

// Run lists and watches the parts until ctx ends. A dropped history leads to a new
// listing at once, a failure of a peer to a read from the next source, and a failure
// of the store to a retry after a backoff.
func (f *Follower) Run(ctx context.Context) {
	pause, failures := pauseMin, 0
	f.responseTimeout = responseTimeoutMin
	for ctx.Err() == nil {
		from, changes, err := f.readNext(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil && (from != "" || f.hasReaders()):
			if failures++; failures >= peerFailuresMax {
				sleep(ctx, peerPause) // package source paces the reads from the store
			}
		case err != nil && f.storeFailed:
			sleep(ctx, pause)
			pause = min(2*pause, pauseMax)
		case err != nil:
		default:
			pause, failures = pauseMin, 0
			if changes && from == "" && f.hasReaders() {
				sleep(ctx, storeSettleTime)
			} else if changes && from != "" {
				sleep(ctx, peerSettleTime)
			}
		}
	}
}

// Source returns the address of the peer from which the node reads, or "" if it reads
// the store itself.
func (f *Follower) Source() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.from
}

func (f *Follower) hasReaders() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sources.HasReaders()
}

// report calls Contact with the first failure and with the first success after it.
func (f *Follower) report(err error) {
	if unreachable := err != nil; unreachable != f.unreachable {
		f.unreachable = unreachable
		f.settings.Contact(err)
	}
}

// readNext makes one listing of all parts, or one watch if they are listed. It returns
// the source, empty for the store, and whether there were changes.
func (f *Follower) readNext(ctx context.Context) (from string, changes bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	from = f.sources.Next(f.clock.Now())
	f.from = from
	listed := f.listed && !f.relist
	if from != "" {
		f.cancelRead = cancel
	}
	f.mu.Unlock()
	store := f.settings.Store
	defer func() {
		if err == nil && from == "" {
			// Watches that end quickly leave their own probes no time.
			f.checkNow(ctx)
		}
	}()
	if from != "" {
		store = f.settings.Peers(from)
	}
	if listed {
		changes, err = f.watch(ctx, store, from)
	} else {
		changes, err = true, f.list(ctx, store, from)
	}
	f.mu.Lock()
	f.cancelRead = nil
	f.mu.Unlock()
	switch {
	case err == nil:
		f.succeeded(from)
	case ctx.Err() != nil: // asked ended the read, or Run ends
	case errors.Is(err, gypsumrail.ErrHistoryGone):
		f.mu.Lock()
		f.listed = false
		f.mu.Unlock()
	default:
		f.failed(from, err)
	}
	return from, changes, err
}

// succeeded records a read from a source.
func (f *Follower) succeeded(from string) {
	f.storeFailed, f.peerFailed = false, false
	f.mu.Lock()
	f.sources.Succeeded(from)
	f.mu.Unlock()
	if from == "" {
		f.responseTimeout = responseTimeoutMin
		f.confirm()
	}
	f.report(nil)
}

// failed records that a read from a source failed. The platform counts as unreachable
// when neither the store nor a peer could be read.
func (f *Follower) failed(from string, err error) {
	f.mu.Lock()
	f.sources.Failed(f.clock.Now(), from)
	alone := !f.sources.HasReaders()
	if from == "" && !f.storeLost {
		f.storeLost = true
		f.signal()
	}
	f.mu.Unlock()
	if from == "" {
		f.storeFailed = true
		f.responseTimeout = min(2*f.responseTimeout, responseTimeoutMax)
	} else {
		f.peerFailed = true
	}
	if f.storeFailed && (f.peerFailed || alone) {
		f.report(err)
	}
}

// sleep waits for the pause with jitter, or until ctx ends.
func sleep(ctx context.Context, pause time.Duration) {
	wait(ctx, pause/2+rand.N(pause)) //nolint:gosec // spreads load; needs no secure randomness
}

// wait waits for the pause, or until ctx ends.
func wait(ctx context.Context, pause time.Duration) {
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
