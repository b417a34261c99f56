package mirror

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/gypsumrail/gypsumrail"
)

const (
	// confirmedMax is the age of the last answer of the store from which on a copy is
	// not served to peers. It exceeds the time between two probes. A peer that follows a
	// reader without contact learns of changes later by this time.
	confirmedMax = time.Second
	// confirmWait is how long a request of a peer waits for a read of the store if the
	// copy is older.
	confirmWait = 250 * time.Millisecond
	// pageBytesMax bounds the data of a page for a peer.
	pageBytesMax = 512 << 10
)

// errUnconfirmed is the cause if the copy may be out of date. Its text goes to the peer.
var errUnconfirmed = errors.New("the copy was not confirmed by the store of late")

// List implements gypsumrail.Store for peers. It returns a page of the copy.
func (f *Follower) List(ctx context.Context, prefix, after string) (gypsumrail.Items, error) {
	arrived := f.clock.Now()
	if err := f.awaitConfirmed(ctx); err != nil {
		return gypsumrail.Items{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	page := gypsumrail.Items{Revision: f.revision, ConfirmedAge: f.ageLocked(arrived)}
	size := 0
	for _, item := range f.sortedItems() {
		if item.Key <= after && after != "" || !strings.HasPrefix(item.Key, prefix) {
			continue
		}
		if size += len(item.Key) + len(item.Data); size > pageBytesMax && len(page.List) > 0 {
			page.More = true
			break
		}
		page.List = append(page.List, item)
	}
	return page, nil
}

// Changes implements gypsumrail.Store for peers. It fails as soon as the copy may be
// out of date, so that the peer turns to another source at once.
func (f *Follower) Changes(ctx context.Context, prefix string, since uint64, wait time.Duration) (gypsumrail.Items, error) {
	arrived := f.clock.Now()
	if err := f.awaitConfirmed(ctx); err != nil {
		return gypsumrail.Items{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		items, changed, err := f.changesSince(prefix, since, arrived)
		if err != nil || len(items.List) > 0 {
			return items, err
		}
		select {
		case <-changed:
			if !f.isConfirmed() {
				return gypsumrail.Items{}, unconfirmed()
			}
		case <-timer.C:
			if !f.isConfirmed() {
				return gypsumrail.Items{}, unconfirmed()
			}
			items, _, err = f.changesSince(prefix, since, arrived) // the copy may be confirmed for longer now
			return items, err
		case <-ctx.Done():
			return gypsumrail.Items{}, fmt.Errorf("%w: %w", gypsumrail.ErrStoreUnavailable, ctx.Err())
		}
	}
}

// Revision implements gypsumrail.Store for peers.
func (f *Follower) Revision(ctx context.Context, _ bool) (uint64, error) {
	if err := f.awaitConfirmed(ctx); err != nil {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision, nil
}

func unconfirmed() error {
	return fmt.Errorf("%w: %w", gypsumrail.ErrStoreUnavailable, errUnconfirmed)
}

// changesSince returns the changes below a prefix since a revision, and a channel that
// is closed with the next change of the copy or of its contact to the store. It returns
// changes up to the revision up to which the copy is complete: a listing may have read
// a later one before it read all earlier ones.
func (f *Follower) changesSince(prefix string, since uint64, arrived gypsumrail.Millis) (gypsumrail.Items, <-chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	items := gypsumrail.Items{Revision: f.revision, ConfirmedAge: f.ageLocked(arrived)}
	for _, part := range f.parts {
		if !strings.HasPrefix(part.Prefix, prefix) && !strings.HasPrefix(prefix, part.Prefix) {
			continue
		}
		list, err := part.changes(prefix, since, f.revision)
		if err != nil {
			return gypsumrail.Items{}, nil, err
		}
		items.List = append(items.List, list...)
	}
	slices.SortFunc(items.List, func(a, b gypsumrail.Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return items, f.changed, nil
}

// sortedItems returns the items of all parts in the order of their keys. The caller
// holds the mutex.
func (f *Follower) sortedItems() []gypsumrail.Item {
	var items []gypsumrail.Item
	for _, part := range f.parts {
		items = append(items, part.sorted()...)
	}
	slices.SortFunc(items, func(a, b gypsumrail.Item) int { return cmp.Compare(a.Key, b.Key) })
	return items
}

// isConfirmed reports whether the store confirmed the copy of late.
func (f *Follower) isConfirmed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmedLocked()
}

func (f *Follower) confirmedLocked() bool {
	return f.listed && !f.storeLost && !f.confirmed.IsZero() && time.Since(f.confirmed) <= confirmedMax
}

// awaitConfirmed makes this node read the store, as a peer asks for its copy, and
// waits up to confirmWait until the store has confirmed the copy.
func (f *Follower) awaitConfirmed(ctx context.Context) error {
	f.asked()
	deadline := time.NewTimer(confirmWait)
	defer deadline.Stop()
	for {
		f.mu.Lock()
		ok, lost, changed := f.confirmedLocked(), f.storeLost, f.changed
		f.mu.Unlock()
		if ok {
			return nil
		}
		if lost {
			return unconfirmed()
		}
		select {
		case <-changed:
		case <-deadline.C:
			return unconfirmed()
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", gypsumrail.ErrStoreUnavailable, ctx.Err())
		}
	}
}

// asked records that a peer relies on this node. If the node is reading from a peer
// itself, it ends that read and turns to the store.
func (f *Follower) asked() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.sources.Asked(f.clock.Now()) && f.cancelRead != nil {
		f.cancelRead()
	}
}

// signal wakes the requests of peers that wait. The caller holds the mutex.
func (f *Follower) signal() {
	close(f.changed)
	f.changed = make(chan struct{})
}
