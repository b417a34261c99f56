// Package follow keeps copies of parts of the platform's store up to date.
//
// A listing tells the state at one moment and a watch the changes since, so one
// pending call is all that a node costs the store while nothing changes: the
// watch is on the prefix that all parts have in common, which may be empty. The package closes the gaps between the two: pages that are no
// snapshot, a history that was dropped, a store that is away, refuses this node
// or answers nothing. It only copies; what a vanished item means is decided by
// whoever takes the copy.
package follow

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
	// What an answer may take beyond the waiting time doubles from the first to the
	// last bound with each failure. The store answers in milliseconds; a watch that
	// hears nothing is given up soon, and a slow store is still waited for.
	answerFirst = 300 * time.Millisecond
	answerLast  = 2400 * time.Millisecond
	// Pauses after a fault double from the first to the last and are spread, so
	// that the fleet does not come back to the store in step. The last one is part
	// of the time in which a configuration must be in force after an outage.
	pauseFirst = 20 * time.Millisecond
	pauseLast  = 500 * time.Millisecond
	// itemsMax bounds the copy of a part; the target size is 640 instances.
	itemsMax = 16384
)

// Part is what one taker wants: the items below a prefix.
type Part struct {
	Prefix string
	Take   Take
}

// Take gets the whole copy of a part, ordered by key, whenever it changed, with the
// revision of its last change, so that nodes with equal copies call them alike. It
// must not keep the slice.
type Take func(items []gypsumrail.Item, revision uint64)

// Contact gets the error of the first failed read, and nil once reads succeed again.
type Contact func(err error)

// Follower follows the items of some parts.
type Follower struct {
	store   gypsumrail.Store
	prefix  string // common to all parts
	wait    time.Duration
	contact Contact
	parts   []*copied

	revision uint64        // from where the next watch goes on
	answer   time.Duration // what an answer may take now
	listed   bool
	lost     bool
}

// copied is the copy of one part.
type copied struct {
	Part
	items   map[string]gypsumrail.Item
	version uint64 // the revision of its last change
}

// New returns a follower of parts whose prefixes do not overlap. Each watch waits
// for a random time between half of wait and wait. A shorter one costs more calls;
// a longer one hides for longer that a watch hears nothing. The random part lets
// the watches of a fleet end one after the other, so that some node soon notices
// what all of them missed. The functions of the parts and contact are called on
// the goroutine of Run.
func New(store gypsumrail.Store, wait time.Duration, contact Contact, parts ...Part) *Follower {
	f := &Follower{store: store, wait: wait, contact: contact}
	for i, part := range parts {
		if i == 0 {
			f.prefix = part.Prefix
		}
		f.prefix = commonPrefix(f.prefix, part.Prefix)
		f.parts = append(f.parts, &copied{Part: part, items: make(map[string]gypsumrail.Item)})
	}
	return f
}

func commonPrefix(a, b string) string {
	n := 0
	for n < min(len(a), len(b)) && a[n] == b[n] {
		n++
	}
	return a[:n]
}

// Run follows the parts until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	pause := pauseFirst
	f.answer = answerFirst
	for ctx.Err() == nil {
		err := f.next(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			pause = pauseFirst
			f.answer = answerFirst
			f.report(nil)
		case errors.Is(err, gypsumrail.ErrHistoryGone):
			f.listed = false
		default:
			f.report(err)
			f.answer = min(2*f.answer, answerLast)
			rest(ctx, pause)
			pause = min(2*pause, pauseLast)
		}
	}
}

// report tells of the first failure and of the first success after it.
func (f *Follower) report(err error) {
	if lost := err != nil; lost != f.lost {
		f.lost = lost
		f.contact(err)
	}
}

// next makes one listing or one watch.
func (f *Follower) next(ctx context.Context) error {
	if !f.listed {
		return f.list(ctx)
	}
	wait := f.wait/2 + rand.N(f.wait/2+1) //nolint:gosec // spreads load, guards nothing
	if f.lost {
		wait = 0 // a waiting watch would not tell that the store is back
	}
	ctx, cancel := context.WithTimeout(ctx, wait+f.answer)
	defer cancel()
	changes, err := f.store.Changes(ctx, f.prefix, f.revision, wait)
	if err != nil {
		return err //nolint:wrapcheck // the store's errors are this package's own
	}
	// The copy is handed on after the contact, because what vanished during an
	// outage is judged differently.
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
	// An answer without changes does not move the revision: a watch that heard
	// nothing would step over what it missed. The history then tells it later, or
	// is gone, which leads to a new listing.
	if len(changes.List) > 0 {
		f.revision = max(f.revision, changes.Revision)
	}
	for j, part := range f.parts {
		if changed[j] {
			part.hand()
		}
	}
	return nil
}

// list lists all parts. Changes that happen meanwhile are after the revision of
// the first page, from where the watch goes on.
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
		part.hand()
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
	ctx, cancel := context.WithTimeout(ctx, f.answer)
	defer cancel()
	return f.store.List(ctx, prefix, after) //nolint:wrapcheck // as in next
}

// replace takes a listing, which does not tell when a vanished item was removed.
func (c *copied) replace(items map[string]gypsumrail.Item, revision uint64) {
	for key := range c.items {
		if _, ok := items[key]; !ok {
			c.version = revision
		}
	}
	for _, item := range items {
		c.version = max(c.version, item.Revision)
	}
	c.items = items
}

// apply takes one change and reports whether it is news. Changes that a later
// page of the listing already showed come again.
func (c *copied) apply(change *gypsumrail.Item) bool {
	c.version = max(c.version, change.Revision)
	known, ok := c.items[change.Key]
	switch {
	case ok && known.Revision >= change.Revision:
		return false
	case change.Removed:
		delete(c.items, change.Key)
		return ok
	case !ok && len(c.items) >= itemsMax:
		return false
	}
	c.items[change.Key] = *change
	return true
}

func (c *copied) hand() {
	items := make([]gypsumrail.Item, 0, len(c.items))
	for _, item := range c.items {
		items = append(items, item)
	}
	slices.SortFunc(items, func(a, b gypsumrail.Item) int { return cmp.Compare(a.Key, b.Key) })
	c.Take(items, c.version)
}

func rest(ctx context.Context, pause time.Duration) {
	t := time.NewTimer(pause/2 + rand.N(pause)) //nolint:gosec // spreads load, guards nothing
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
