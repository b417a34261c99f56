// Package mirror keeps copies of parts of the platform's store up to date, and serves
// them to peers.
//
// It lists the parts and then watches for changes, at the store or at a peer that
// does; package source decides which. One listing and one watch cover all parts:
// their prefix is the longest one that they have in common, which may be empty. So a
// node has one pending call at the store while nothing changes.
//
// The package handles the gaps between a listing and a watch: pages that are not one
// snapshot, a history that the store has dropped, and a store that is unreachable,
// rejects this node or does not respond. It does not interpret the items. The
// receiver of a copy decides what a removed item means.
package mirror

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
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
	// that follow each other closely, as at the start of a fleet, then arrive together.
	storeSettleTime = 150 * time.Millisecond
	peerSettleTime  = 50 * time.Millisecond
)

// Part is a set of items, those below a prefix, with the function that receives them.
type Part struct {
	Prefix  string
	Receive Receiver
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
	// time between its half and Wait. Cheaper probes show meanwhile whether the store
	// can be reached and whether the watch missed a change.
	Wait    time.Duration
	Contact Contact
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
	listed     bool               // false: the next read is a listing
	confirmed  time.Time          // last successful read from the store itself
	storeLost  bool               // the last read from the store itself failed
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
			if changes && from == "" {
				sleep(ctx, storeSettleTime)
			} else if changes {
				sleep(ctx, peerSettleTime)
			}
		}
	}
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
	listed := f.listed
	if from != "" {
		f.cancelRead = cancel
	}
	f.mu.Unlock()
	store := f.settings.Store
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

// timeout returns how long a source may take to answer beyond the time that it waits.
func (f *Follower) timeout(from string) time.Duration {
	if from != "" {
		return responseTimeoutMin
	}
	return f.responseTimeout
}

// waitOf returns the waiting time of the next watch at a source.
func (f *Follower) waitOf(from string) time.Duration {
	if f.unreachable || from == "" && !f.isConfirmed() || from != "" && f.peerFailed {
		// A watch that waits would delay the report that the platform is back, the answer
		// to a peer that asked, or the turn to the next source if this one fails too.
		return 0
	}
	if from == "" {
		return jitter(f.settings.Wait)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	longest := gypsumrail.MillisOf(jitter(min(f.settings.Wait, peerWaitMax)))
	return f.sources.PeerWait(f.clock.Now(), longest).Duration()
}

// watch reads the changes since the last read and reports whether there were any.
func (f *Follower) watch(ctx context.Context, store gypsumrail.Store, from string) (bool, error) {
	wait := f.waitOf(from)
	ctx, cancel := context.WithTimeout(ctx, wait+f.timeout(from))
	defer cancel()
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	if from == "" && wait > probeInterval {
		go f.probe(ctx, stop)
	}
	changes, err := store.Changes(ctx, f.prefix, f.revision, wait)
	switch {
	case errors.Is(context.Cause(ctx), errWatchLost):
		return false, nil // the next watch reads the change from the history
	case err != nil:
		return false, err //nolint:wrapcheck // the store's errors are this package's own
	}
	// Report the contact before the copy is delivered: the receiver treats items that
	// were removed during an outage differently.
	f.report(nil)
	f.mu.Lock()
	changed := make([]bool, len(f.parts))
	for i := range changes.List {
		change := &changes.List[i]
		for j, part := range f.parts {
			if strings.HasPrefix(change.Key, part.Prefix) {
				changed[j] = part.apply(change) || changed[j]
			}
		}
	}
	// A response without changes does not advance the revision, because the watch may
	// have missed a change that came before the response's revision. A later watch from
	// the old revision reads that change from the history. If the history is gone, a
	// new listing follows.
	if len(changes.List) > 0 {
		f.revision = max(f.revision, changes.Revision)
		f.signal()
	}
	f.mu.Unlock()
	for j, part := range f.parts {
		if changed[j] {
			part.deliver()
		}
	}
	return len(changes.List) > 0, nil
}

// errBehind means that a peer's copy is older than the own one.
var errBehind = errors.New("the peer's copy is older than this node's")

// list lists all parts. The watch continues from the revision of the first page, so
// it also reads the changes that happen during the listing. A listing of a peer that is
// behind the own copy fails, as it would bring back what was removed.
func (f *Follower) list(ctx context.Context, store gypsumrail.Store, from string) error {
	items, revision, err := f.listAll(ctx, store, from)
	if err != nil {
		return err
	}
	if from != "" && revision < f.revision {
		return fmt.Errorf("%w: %w", gypsumrail.ErrStoreUnavailable, errBehind)
	}
	f.report(nil)
	f.mu.Lock()
	f.revision, f.listed = revision, true
	for i, part := range f.parts {
		part.replace(items[i], revision)
	}
	f.signal()
	f.mu.Unlock()
	for _, part := range f.parts {
		part.deliver()
	}
	return nil
}

// listAll reads all pages below the common prefix. It returns the items of each part
// and the revision of the first page.
func (f *Follower) listAll(ctx context.Context, store gypsumrail.Store, from string) ([]map[string]gypsumrail.Item, uint64, error) {
	items := make([]map[string]gypsumrail.Item, len(f.parts))
	for i := range items {
		items[i] = make(map[string]gypsumrail.Item)
	}
	revision, after := uint64(0), ""
	for {
		page, err := f.page(ctx, store, from, after)
		if err != nil {
			return nil, 0, err
		}
		if revision == 0 {
			revision = page.Revision
		}
		for _, item := range page.List {
			for i, part := range f.parts {
				if strings.HasPrefix(item.Key, part.Prefix) && len(items[i]) < itemsMax {
					items[i][item.Key] = item
				}
			}
		}
		if !page.More || len(page.List) == 0 {
			return items, revision, nil
		}
		after = page.List[len(page.List)-1].Key
	}
}

func (f *Follower) page(ctx context.Context, store gypsumrail.Store, from, after string) (gypsumrail.Items, error) {
	ctx, cancel := context.WithTimeout(ctx, f.timeout(from))
	defer cancel()
	return store.List(ctx, f.prefix, after) //nolint:wrapcheck // as in watch
}

// deliver calls Receive with the items in the order of their keys. Only Run's goroutine
// changes the items, so it needs no lock to read them.
func (p *partCopy) deliver() { p.Receive(p.sorted(), p.lastChange) }

// sleep waits for the pause with jitter, or until ctx ends.
func sleep(ctx context.Context, pause time.Duration) {
	t := time.NewTimer(pause/2 + rand.N(pause)) //nolint:gosec // spreads load; needs no secure randomness
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
