package member

import (
	"cmp"

	"github.com/gypsumrail/gypsumrail"
)

// compare orders the entries of one name. Because the order is total, the
// higher of any number of entries does not depend on the order of arrival. The
// text fields only break ties between entries that should not differ.
func compare(a, b *gypsumrail.Instance) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(leaving(a), leaving(b)),
		cmp.Compare(a.Version, b.Version),
		cmp.Compare(suspect(a), suspect(b)),
		cmp.Compare(a.Address, b.Address),
		cmp.Compare(a.Zone, b.Zone),
		cmp.Compare(a.Service, b.Service),
	)
}

func leaving(i *gypsumrail.Instance) int {
	if i.State == gypsumrail.Leaving {
		return 1
	}
	return 0
}

func suspect(i *gypsumrail.Instance) int {
	if i.State == gypsumrail.Suspect {
		return 1
	}
	return 0
}

// Merge takes entries from a peer and reports whether anything changed.
func (d *Directory) Merge(now gypsumrail.Millis, entries []gypsumrail.Instance) bool {
	changed := d.advance(now)
	limit := d.incarnationLimit(entries)
	for i := range entries {
		offered := &entries[i]
		if !d.valid(offered) || !d.plausible(offered, limit) {
			continue
		}
		if offered.Name == d.self.Name {
			changed = d.heardOfSelf(offered) || changed
			continue
		}
		known := d.entries[offered.Name]
		if known == nil && (d.isBuried(offered) || !d.hasRoom(false)) {
			continue
		}
		if known != nil {
			older := known.listed && relisted(offered, &known.Instance) && offered.State != gypsumrail.Leaving
			if older || compare(offered, &known.Instance) <= 0 {
				continue
			}
		}
		d.spread(d.put(*offered))
		changed = true
	}
	return changed
}

// relisted tells whether two entries come from different lists. An entry without
// an incarnation comes from the platform's list, which each node reads itself,
// so while the own list names the instance, a peer's older list must not bring
// back an address that has changed. Only a leaving mark is taken from it,
// because a mark cannot be undone anywhere.
func relisted(a, b *gypsumrail.Instance) bool {
	return a.Incarnation == 0 && b.Incarnation == 0 &&
		(a.Address != b.Address || a.Zone != b.Zone || a.Service != b.Service)
}

// heardOfSelf takes what a peer says of the own instance. The own entry is
// never replaced; a suspicion is refuted by a higher version.
func (d *Directory) heardOfSelf(offered *gypsumrail.Instance) bool {
	own := &d.self.Instance
	switch {
	case offered.Incarnation > own.Incarnation,
		offered.Incarnation == own.Incarnation && offered.State == gypsumrail.Leaving && own.State != gypsumrail.Leaving:
		if d.contested.Name == "" || compare(offered, &d.contested) > 0 {
			d.contested = *offered
		}
		return false
	case compare(offered, own) > 0:
		d.raise(*own, offered.Version+1)
		return true
	case compare(offered, own) < 0 && d.rumors[own.Name] == nil:
		// The peer is behind.
		d.spread(d.self)
	}
	return false
}

// Observe takes the incarnation and state that an instance told directly.
// Fields that are empty or zero were not told. An instance that is not known
// yet is added only if its service and address were told.
func (d *Directory) Observe(now gypsumrail.Millis, direct gypsumrail.Instance) bool {
	changed := d.advance(now)
	if direct.State != gypsumrail.Leaving {
		direct.State = gypsumrail.Live
	}
	if !d.valid(&direct) || direct.Incarnation == 0 {
		return changed
	}
	known := d.entries[direct.Name]
	if known != nil {
		fill(&direct, &known.Instance)
		// Only the instance raises its version. A known version that is absurdly
		// higher than what the instance says came from bad input, so it must not
		// keep the instance from being heard.
		if known != d.self && known.Incarnation == direct.Incarnation && known.State != gypsumrail.Leaving &&
			direct.Version > 0 && known.Version > direct.Version+versionJumpMax {
			d.spread(d.put(direct))
			changed = true
		}
	}
	if !d.plausible(&direct, d.incarnationLimit([]gypsumrail.Instance{direct})) {
		return changed
	}
	switch {
	case direct.Name == d.self.Name:
		return d.heardOfSelf(&direct) || changed
	case known == nil:
		if direct.Service == "" || direct.Address == "" || !d.hasRoom(true) {
			return changed
		}
		if d.buried[direct.Name].incarnation > direct.Incarnation {
			return changed // a process of an earlier run that was paused
		}
		delete(d.buried, direct.Name)
	case compare(&direct, &known.Instance) <= 0:
		if known.Incarnation == direct.Incarnation {
			known.heard, known.direct = d.now, true
		}
		return changed
	}
	e := d.put(direct)
	e.direct = true
	d.spread(e)
	return true
}

// fill completes what an instance or the list told from what is known. The
// version is that of the known entry only within one incarnation.
func fill(direct, known *gypsumrail.Instance) {
	direct.Service = cmp.Or(direct.Service, known.Service)
	direct.Zone = cmp.Or(direct.Zone, known.Zone)
	direct.Address = cmp.Or(direct.Address, known.Address)
	if direct.Incarnation == known.Incarnation {
		direct.Version = cmp.Or(direct.Version, known.Version)
	}
}

// MarkSuspect records that an instance did not answer.
func (d *Directory) MarkSuspect(now gypsumrail.Millis, name string) bool {
	changed := d.advance(now)
	e := d.entries[name]
	if e == nil || e == d.self || e.State != gypsumrail.Live {
		return changed
	}
	heard := e.heard
	next := e.Instance
	next.State = gypsumrail.Suspect
	d.spread(d.put(next))
	e.heard = heard // the own suspicion is no news of the instance
	return true
}
