// Package follow keeps a copy of a part of the platform's store up to date.
//
// A listing tells the state at one moment and a watch the changes since, so one
// pending call per prefix is all that a node costs the store while nothing
// changes. The package closes the gaps between the two: pages that are no
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
	// itemsMax bounds the copy; the target size is 640 instances.
	itemsMax = 16384
)

// Take gets the whole copy, ordered by key, whenever it changed, with the
// revision of its last change, so that nodes with equal copies call them alike. It
// must not keep the slice.
type Take func(items []gypsumrail.Item, revision uint64)

// Contact gets the error of the first failed read, and nil once reads succeed again.
type Contact func(err error)

// Prefix follows the items below one prefix until ctx ends.
type Prefix struct {
	store   gypsumrail.Store
	prefix  string
	wait    time.Duration
	take    Take
	contact Contact

	items    map[string]gypsumrail.Item
	revision uint64        // from where the next watch goes on
	version  uint64        // of the copy: the revision of its last change
	answer   time.Duration // what an answer may take now
	listed   bool
	lost     bool
}

// New returns a follower. Each watch waits for a random time between half of wait
// and wait. A shorter one costs more calls; a longer one hides for longer that a
// watch hears nothing. The random part lets the watches of a fleet end one after
// the other, so that some node soon notices what all of them missed. Take and
// contact are called on the goroutine of Run.
func New(store gypsumrail.Store, prefix string, wait time.Duration, take Take, contact Contact) *Prefix {
	return &Prefix{store: store, prefix: prefix, wait: wait, take: take, contact: contact, items: make(map[string]gypsumrail.Item)}
}

// Run follows the prefix until ctx ends.
func (p *Prefix) Run(ctx context.Context) {
	pause := pauseFirst
	p.answer = answerFirst
	for ctx.Err() == nil {
		err := p.next(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			pause = pauseFirst
			p.answer = answerFirst
			p.report(nil)
		case errors.Is(err, gypsumrail.ErrHistoryGone):
			p.listed = false
		default:
			p.report(err)
			p.answer = min(2*p.answer, answerLast)
			rest(ctx, pause)
			pause = min(2*pause, pauseLast)
		}
	}
}

// report tells of the first failure and of the first success after it.
func (p *Prefix) report(err error) {
	if lost := err != nil; lost != p.lost {
		p.lost = lost
		p.contact(err)
	}
}

// next makes one listing or one watch.
func (p *Prefix) next(ctx context.Context) error {
	if !p.listed {
		return p.list(ctx)
	}
	wait := p.wait/2 + rand.N(p.wait/2+1) //nolint:gosec // spreads load, guards nothing
	if p.lost {
		wait = 0 // a waiting watch would not tell that the store is back
	}
	ctx, cancel := context.WithTimeout(ctx, wait+p.answer)
	defer cancel()
	changes, err := p.store.Changes(ctx, p.prefix, p.revision, wait)
	if err != nil {
		return err //nolint:wrapcheck // the store's errors are this package's own
	}
	// The copy is handed on after the contact, because what vanished during an
	// outage is judged differently.
	p.report(nil)
	changed := false
	for i := range changes.List {
		changed = p.apply(&changes.List[i]) || changed
		p.version = max(p.version, changes.List[i].Revision)
	}
	// An answer without changes does not move the revision: a watch that heard
	// nothing would step over what it missed. The history then tells it later, or
	// is gone, which leads to a new listing.
	if len(changes.List) > 0 {
		p.revision = max(p.revision, changes.Revision)
	}
	if changed {
		p.hand()
	}
	return nil
}

// list reads all pages. Changes that happen meanwhile are after the revision of
// the first page, from where the watch goes on.
func (p *Prefix) list(ctx context.Context) error {
	items := make(map[string]gypsumrail.Item)
	revision, after := uint64(0), ""
	for {
		page, err := p.page(ctx, after)
		if err != nil {
			return err
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
			break
		}
		after = page.List[len(page.List)-1].Key
	}
	p.report(nil)
	for key := range p.items {
		if _, ok := items[key]; !ok {
			p.version = revision // the listing does not tell when an item was removed
		}
	}
	for _, item := range items {
		p.version = max(p.version, item.Revision)
	}
	p.items, p.revision, p.listed = items, revision, true
	p.hand()
	return nil
}

func (p *Prefix) page(ctx context.Context, after string) (gypsumrail.Items, error) {
	ctx, cancel := context.WithTimeout(ctx, p.answer)
	defer cancel()
	return p.store.List(ctx, p.prefix, after) //nolint:wrapcheck // as in next
}

// apply takes one change and reports whether it is news. Changes that a later
// page of the listing already showed come again.
func (p *Prefix) apply(change *gypsumrail.Item) bool {
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

func (p *Prefix) hand() {
	items := make([]gypsumrail.Item, 0, len(p.items))
	for _, item := range p.items {
		items = append(items, item)
	}
	slices.SortFunc(items, func(a, b gypsumrail.Item) int { return cmp.Compare(a.Key, b.Key) })
	p.take(items, p.version)
}

func rest(ctx context.Context, pause time.Duration) {
	t := time.NewTimer(pause/2 + rand.N(pause)) //nolint:gosec // spreads load, guards nothing
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
