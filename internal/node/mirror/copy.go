package mirror

import (
	"cmp"
	"slices"
	"strings"

	"github.com/gypsumrail/gypsumrail"
)

const (
	// itemsMax bounds the copy of one part. The design size is 640 instances.
	itemsMax = 16384
	// removalsMax bounds the removals that are kept for peers. A peer that needs an
	// older one lists.
	removalsMax = 1024
)

// partCopy is the copy of one part.
type partCopy struct {
	Part
	items      map[string]gypsumrail.Item
	lastChange uint64 // revision
	removals   []gypsumrail.Item
	floor      uint64 // all removals after this revision are in removals
}

// replace sets the items to those of a listing. A listing does not say when a missing
// item was removed, so the revision of the listing then counts as the last change.
func (p *partCopy) replace(items map[string]gypsumrail.Item, revision uint64) {
	for key := range p.items {
		if _, ok := items[key]; !ok {
			p.lastChange = revision
		}
	}
	for key, item := range items {
		p.lastChange = max(p.lastChange, item.Revision)
		if known, ok := p.items[key]; ok && known.Revision != item.Revision {
			items[key] = p.latest(known, item)
		}
	}
	p.items = items
	p.removals, p.floor = nil, revision
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
		p.recordRemoval(change)
		delete(p.items, change.Key)
		return ok
	case !ok && len(p.items) >= itemsMax:
		return false
	}
	next := p.prepared(*change)
	if ok {
		next = p.latest(known, next)
	}
	p.items[change.Key] = next
	return true
}

func (p *partCopy) recordRemoval(change *gypsumrail.Item) {
	p.removals = append(p.removals, gypsumrail.Item{Key: change.Key, Revision: change.Revision, Removed: true})
	if len(p.removals) > removalsMax {
		p.floor = max(p.floor, p.removals[0].Revision)
		p.removals = slices.Delete(p.removals, 0, 1)
	}
}

// sorted returns the items in the order of their keys.
func (p *partCopy) sorted() []gypsumrail.Item {
	items := make([]gypsumrail.Item, 0, len(p.items))
	for _, item := range p.items {
		items = append(items, item)
	}
	slices.SortFunc(items, func(a, b gypsumrail.Item) int { return cmp.Compare(a.Key, b.Key) })
	return items
}

// changes returns the items and removals below a prefix with revisions over since and
// up to until, in the order of their revisions. It returns ErrHistoryGone if a removal
// may be missing.
func (p *partCopy) changes(prefix string, since, until uint64) ([]gypsumrail.Item, error) {
	if since < p.floor {
		return nil, gypsumrail.ErrHistoryGone
	}
	var list []gypsumrail.Item
	add := func(item gypsumrail.Item) {
		if item.Revision > since && item.Revision <= until && strings.HasPrefix(item.Key, prefix) {
			list = append(list, item)
		}
	}
	for _, item := range p.items {
		add(item)
	}
	for _, item := range p.removals {
		add(item)
	}
	slices.SortFunc(list, func(a, b gypsumrail.Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return list, nil
}

// deliver calls Receive with the items in the order of their keys. Only Run's goroutine
// changes the items, so it needs no lock to read them.
func (p *partCopy) deliver() { p.Receive(p.sorted(), p.lastChange) }
