// Package mirror keeps copies of parts of the platform's store up to date.
//
// It lists each part and then watches for changes. One watch covers all parts:
// its prefix is the longest one that they have in common, which may be empty. So a
// node has one pending call at the store while nothing changes.
//
// The package handles the gaps between a listing and a watch: pages that are not one
// snapshot, a history that the store has dropped, and a store that is unreachable,
// rejects this node or does not respond. It does not interpret the items. The
// receiver of a copy decides what a removed item means.
package mirror

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/gypsumrail/gypsumrail"
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
	// itemsMax bounds the copy of one part. The design size is 640 instances.
	itemsMax = 16384
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

// Follower lists and watches the items of its parts.
type Follower struct {
	store   gypsumrail.Store
	prefix  string        // common to all parts
	wait    time.Duration // longest waiting time of a watch
	contact Contact
	parts   []*partCopy

	revision        uint64        // the next watch reads the changes after it
	responseTimeout time.Duration // current one, beyond the waiting time
	listed          bool          // false: the next read is a listing
	unreachable     bool          // reads fail, as reported to contact
}

// partCopy is the copy of one part.
type partCopy struct {
	Part
	items      map[string]gypsumrail.Item
	lastChange uint64 // revision
}

// New returns a follower of parts whose prefixes do not overlap. Each watch waits
// for a random time between half of wait and wait. A shorter wait costs more calls.
// A longer one delays the detection of changes that a watch missed. The random part
// makes the watches of a fleet end at different times, so that some node soon
// detects a change that all watches missed. The functions of the parts and contact
// are called on the goroutine of Run.
func New(store gypsumrail.Store, wait time.Duration, contact Contact, parts ...Part) *Follower {
	f := &Follower{store: store, wait: wait, contact: contact}
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

// Run lists and watches the parts until ctx ends. A dropped history leads to a new
// listing at once, any other error to a retry after a backoff.
func (f *Follower) Run(ctx context.Context) {
	pause := pauseMin
	f.responseTimeout = responseTimeoutMin
	for ctx.Err() == nil {
		err := f.readNext(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			pause = pauseMin
			f.responseTimeout = responseTimeoutMin
			f.report(nil)
		case errors.Is(err, gypsumrail.ErrHistoryGone):
			f.listed = false
		default:
			f.report(err)
			f.responseTimeout = min(2*f.responseTimeout, responseTimeoutMax)
			sleep(ctx, pause)
			pause = min(2*pause, pauseMax)
		}
	}
}

// report calls contact with the first failure and with the first success after it.
func (f *Follower) report(err error) {
	if unreachable := err != nil; unreachable != f.unreachable {
		f.unreachable = unreachable
		f.contact(err)
	}
}

// readNext makes one listing of all parts, or one watch if they are listed.
func (f *Follower) readNext(ctx context.Context) error {
	if !f.listed {
		return f.list(ctx)
	}
	wait := f.wait/2 + rand.N(f.wait/2+1) //nolint:gosec // spreads load; needs no secure randomness
	if f.unreachable {
		wait = 0 // a watch that waits would delay the report that the store is back
	}
	ctx, cancel := context.WithTimeout(ctx, wait+f.responseTimeout)
	defer cancel()
	changes, err := f.store.Changes(ctx, f.prefix, f.revision, wait)
	if err != nil {
		return err //nolint:wrapcheck // the store's errors are this package's own
	}
	// Report the contact before the copy is delivered: the receiver treats items that
	// were removed during an outage differently.
	f.report(nil)
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
	}
	for j, part := range f.parts {
		if changed[j] {
			part.deliver()
		}
	}
	return nil
}

// list lists all parts. The watch continues from the revision of the first page, so
// it also reads the changes that happen during the listing.
func (f *Follower) list(ctx context.Context) error {
	revision := uint64(0)
	lists := make([]map[string]gypsumrail.Item, len(f.parts))
	for i, part := range f.parts {
		items, first, err := f.listPart(ctx, part.Prefix)
		if err != nil {
			return err
		}
		lists[i] = items
		if i == 0 {
			revision = first
		}
	}
	f.report(nil)
	f.revision, f.listed = revision, true
	for i, part := range f.parts {
		part.replace(lists[i], revision)
		part.deliver()
	}
	return nil
}

// listPart reads all pages of a part and returns the revision of the first one.
func (f *Follower) listPart(ctx context.Context, prefix string) (map[string]gypsumrail.Item, uint64, error) {
	items := make(map[string]gypsumrail.Item)
	revision, after := uint64(0), ""
	for {
		page, err := f.page(ctx, prefix, after)
		if err != nil {
			return nil, 0, err
		}
		if revision == 0 {
			revision = page.Revision
		}
		for _, item := range page.List {
			if len(items) < itemsMax {
				items[item.Key] = item
			}
		}
		if !page.More || len(page.List) == 0 {
			return items, revision, nil
		}
		after = page.List[len(page.List)-1].Key
	}
}

func (f *Follower) page(ctx context.Context, prefix, after string) (gypsumrail.Items, error) {
	ctx, cancel := context.WithTimeout(ctx, f.responseTimeout)
	defer cancel()
	return f.store.List(ctx, prefix, after) //nolint:wrapcheck // as in readNext
}

// replace sets the items to those of a listing. A listing does not say when a missing
// item was removed, so the revision of the listing then counts as the last change.
func (p *partCopy) replace(items map[string]gypsumrail.Item, revision uint64) {
	for key := range p.items {
		if _, ok := items[key]; !ok {
			p.lastChange = revision
		}
	}
	for _, item := range items {
		p.lastChange = max(p.lastChange, item.Revision)
	}
	p.items = items
}

// apply applies one change and reports whether the copy changed. A change that a later
// page of the listing already contained comes again and is dropped.
func (p *partCopy) apply(change *gypsumrail.Item) bool {
	p.lastChange = max(p.lastChange, change.Revision)
	known, ok := p.items[change.Key]
	switch {
	case ok && known.Revision >= change.Revision:
		return false
	case change.Removed:
		delete(p.items, change.Key)
		return ok
	case !ok && len(p.items) >= itemsMax:
		return false
	}
	p.items[change.Key] = *change
	return true
}

// deliver calls Receive with the items in the order of their keys.
func (p *partCopy) deliver() {
	items := make([]gypsumrail.Item, 0, len(p.items))
	for _, item := range p.items {
		items = append(items, item)
	}
	slices.SortFunc(items, func(a, b gypsumrail.Item) int { return cmp.Compare(a.Key, b.Key) })
	p.Receive(items, p.lastChange)
}

// sleep waits for the pause with jitter, or until ctx ends.
func sleep(ctx context.Context, pause time.Duration) {
	t := time.NewTimer(pause/2 + rand.N(pause)) //nolint:gosec // spreads load; needs no secure randomness
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
