package member

import "github.com/gypsumrail/gypsumrail"

// MergeList merges the platform's list and reports whether anything changed. The
// list adds unknown instances, higher incarnations and leaving marks, and it moves
// instances whose incarnation is not known. Otherwise peers and the instances
// themselves overrule it. Its entries need no incarnation.
//
// A list without incarnations may lag behind a restart. It marks a known
// incarnation as leaving only if an earlier list named that incarnation as live,
// because a mark cannot be taken back.
func (d *Directory) MergeList(now gypsumrail.Millis, list []gypsumrail.Instance) bool {
	changed := d.advance(now)
	limit := d.incarnationLimit(list)
	full := false
	named := make(map[string]bool, min(len(list), d.settings.EntriesMax))
	for i := range list {
		listed := list[i]
		if listed.State != gypsumrail.Leaving {
			listed.State = gypsumrail.Live
		}
		if !d.valid(&listed) || !d.plausible(&listed, limit) {
			continue
		}
		known := d.entries[listed.Name]
		if known != nil {
			fill(&listed, &known.Instance)
		}
		switch {
		case known == nil:
			full = full || !d.makeRoom(true)
			if full {
				continue
			}
			// Additions need no rumors: every node receives the list.
			delete(d.tombstones, listed.Name)
			known = d.put(listed)
			changed = true
		case known == d.self:
			d.mergeListedSelf(&listed)
		case listed.Incarnation > known.Incarnation:
			d.enqueueRumor(d.put(listed))
			changed = true
		case known.State != gypsumrail.Leaving && fromDifferentLists(&listed, &known.Instance):
			d.put(listed)
			changed = true
		case listed.State == gypsumrail.Leaving && known.State != gypsumrail.Leaving && matchesIncarnation(&listed, known):
			next := known.Instance
			next.State = gypsumrail.Leaving
			d.enqueueRumor(d.put(next))
			changed = true
		}
		named[listed.Name] = true
		known.listed = true
		if listed.State == gypsumrail.Live && (listed.Incarnation == 0 || listed.Incarnation == known.Incarnation) {
			known.listedLive = true
		}
	}
	for name, e := range d.entries {
		if e.listed && !named[name] {
			e.listed = false
			e.lastSeen = d.now
		}
	}
	return changed
}

// matchesIncarnation reports whether the list's entry is about the known
// incarnation.
func matchesIncarnation(listed *gypsumrail.Instance, known *entry) bool {
	return listed.Incarnation == known.Incarnation || listed.Incarnation == 0 && known.listedLive
}

// mergeListedSelf merges the list's entry of this node's own instance. It can only
// contest the entry of self, not replace it.
func (d *Directory) mergeListedSelf(listed *gypsumrail.Instance) {
	if listed.Incarnation == 0 && listed.State == gypsumrail.Leaving && d.self.listedLive {
		listed.Incarnation = d.self.Incarnation
	}
	if listed.Incarnation > d.self.Incarnation || listed.Incarnation == d.self.Incarnation && listed.State == gypsumrail.Leaving {
		d.mergeSelf(listed)
	}
}
