package member

import (
	"cmp"

	"github.com/gypsumrail/gypsumrail"
)

// compare orders the entries of one name. The order is total over the fields that
// hashOf hashes, so the highest of any entries does not depend on the order in
// which they arrive. The text fields only break ties between entries that should
// not differ.
func compare(a, b *gypsumrail.Instance) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(leavingRank(a), leavingRank(b)),
		cmp.Compare(a.Version, b.Version),
		cmp.Compare(suspectRank(a), suspectRank(b)),
		cmp.Compare(a.Address, b.Address),
		cmp.Compare(a.Zone, b.Zone),
		cmp.Compare(a.Service, b.Service),
	)
}

func leavingRank(i *gypsumrail.Instance) int {
	if i.State == gypsumrail.Leaving {
		return 1
	}
	return 0
}

func suspectRank(i *gypsumrail.Instance) int {
	if i.State == gypsumrail.Suspect {
		return 1
	}
	return 0
}

// Merge merges entries from a peer and reports whether anything changed.
func (d *Directory) Merge(now gypsumrail.Millis, entries []gypsumrail.Instance) bool {
	changed := d.advance(now)
	limit := d.incarnationLimit(entries)
	for i := range entries {
		offered := &entries[i]
		if !d.valid(offered) || !d.plausible(offered, limit) {
			continue
		}
		if offered.Name == d.self.Name {
			changed = d.mergeSelf(offered) || changed
			continue
		}
		known := d.entries[offered.Name]
		if known == nil && (d.isForgotten(offered) || !d.makeRoom(false)) {
			continue
		}
		if known != nil {
			otherList := known.listed && fromDifferentLists(offered, &known.Instance) && offered.State != gypsumrail.Leaving
			if otherList || compare(offered, &known.Instance) <= 0 {
				continue
			}
		}
		d.enqueueRumor(d.put(*offered))
		changed = true
	}
	return changed
}

// fromDifferentLists reports whether two entries of an instance come from
// different revisions of the platform's list: neither has an incarnation, and their
// address, zone or service differ. Each node receives the list itself. While this
// node's list names the instance, an entry from a peer's older list must not bring
// back an address that has changed. Only its leaving mark is applied, because no
// node can undo a mark.
func fromDifferentLists(a, b *gypsumrail.Instance) bool {
	return a.Incarnation == 0 && b.Incarnation == 0 &&
		(a.Address != b.Address || a.Zone != b.Zone || a.Service != b.Service)
}

// mergeSelf handles an entry of this node's own instance from another source and
// reports whether the entry of self changed. That entry is never replaced. A
// suspicion is refuted by a higher version; an entry that cannot be refuted is
// stored as contested.
func (d *Directory) mergeSelf(offered *gypsumrail.Instance) bool {
	own := &d.self.Instance
	switch {
	case offered.Incarnation > own.Incarnation,
		offered.Incarnation == own.Incarnation && offered.State == gypsumrail.Leaving && own.State != gypsumrail.Leaving:
		if d.contested.Name == "" || compare(offered, &d.contested) > 0 {
			d.contested = *offered
		}
		return false
	case compare(offered, own) > 0:
		d.raiseVersion(*own, offered.Version+1)
		return true
	case compare(offered, own) < 0 && d.rumors[own.Name] == nil:
		// The peer has an older entry.
		d.enqueueRumor(d.self)
	}
	return false
}

// MarkLeaving merges that an instance is leaving. It reports whether the entry changed.
func (d *Directory) MarkLeaving(now gypsumrail.Millis, name string, incarnation gypsumrail.Incarnation) bool {
	return d.RecordState(now, gypsumrail.Instance{Name: name, Incarnation: incarnation, State: gypsumrail.Leaving})
}

// RecordState merges what an instance reported about itself to this node, and reports
// whether anything changed. Fields that are empty or zero were not reported; an
// entry without incarnation is ignored. An unknown instance is added only if its
// service and address were reported.
func (d *Directory) RecordState(now gypsumrail.Millis, observed gypsumrail.Instance) bool {
	changed := d.advance(now)
	if observed.State != gypsumrail.Leaving {
		observed.State = gypsumrail.Live
	}
	if !d.valid(&observed) || observed.Incarnation == 0 {
		return changed
	}
	known := d.entries[observed.Name]
	if known != nil {
		fill(&observed, &known.Instance)
		// Only the instance raises its version. A known version that is more than
		// versionJumpMax above the reported one came from invalid input. It is
		// replaced, because it would overrule the instance's own reports.
		if known != d.self && known.Incarnation == observed.Incarnation && known.State != gypsumrail.Leaving &&
			observed.Version > 0 && known.Version > observed.Version+versionJumpMax {
			d.enqueueRumor(d.put(observed))
			changed = true
		}
	}
	if !d.plausible(&observed, d.incarnationLimit([]gypsumrail.Instance{observed})) {
		return changed
	}
	switch {
	case observed.Name == d.self.Name:
		return d.mergeSelf(&observed) || changed
	case known == nil:
		if observed.Service == "" || observed.Address == "" || !d.makeRoom(true) {
			return changed
		}
		if d.tombstones[observed.Name].incarnation > observed.Incarnation {
			return changed // a process of an earlier run that was paused and resumed
		}
		delete(d.tombstones, observed.Name)
	case compare(&observed, &known.Instance) <= 0:
		if known.Incarnation == observed.Incarnation {
			known.lastSeen, known.observed = d.now, true
		}
		return changed
	}
	e := d.put(observed)
	e.observed = true
	d.enqueueRumor(e)
	return true
}

// fill copies fields of the known entry into the empty fields of partial, which the
// instance or the list reported; the version only within one incarnation.
func fill(partial, known *gypsumrail.Instance) {
	partial.Service = cmp.Or(partial.Service, known.Service)
	partial.Zone = cmp.Or(partial.Zone, known.Zone)
	partial.Address = cmp.Or(partial.Address, known.Address)
	if partial.Incarnation == known.Incarnation {
		partial.Version = cmp.Or(partial.Version, known.Version)
	}
}

// MarkSuspect marks a live instance as suspect because it did not answer this
// node, and reports whether anything changed.
func (d *Directory) MarkSuspect(now gypsumrail.Millis, name string) bool {
	changed := d.advance(now)
	e := d.entries[name]
	if e == nil || e == d.self || e.State != gypsumrail.Live {
		return changed
	}
	lastSeen := e.lastSeen
	next := e.Instance
	next.State = gypsumrail.Suspect
	d.enqueueRumor(d.put(next))
	e.lastSeen = lastSeen // a suspicion of this node is no news from the instance
	return true
}
