package member

import "github.com/gypsumrail/gypsumrail"

// MergeList takes the platform's list and reports whether anything changed. The
// list adds unknown instances and marks leaving ones; peers and the instances
// themselves overrule it in everything else. Its entries need no incarnation.
//
// A list that names no incarnation may lag behind a restart. It marks a known
// incarnation as leaving only if an earlier list named that incarnation live,
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
			full = full || !d.hasRoom(true)
			if full {
				continue
			}
			// Everyone reads the list, so its additions are no rumors.
			delete(d.buried, listed.Name)
			known = d.put(listed)
			changed = true
		case known == d.self:
			d.heardListed(&listed)
		case listed.Incarnation > known.Incarnation:
			d.spread(d.put(listed))
			changed = true
		case known.State != gypsumrail.Leaving && relisted(&listed, &known.Instance):
			d.put(listed)
			changed = true
		case listed.State == gypsumrail.Leaving && known.State != gypsumrail.Leaving && names(&listed, known):
			next := known.Instance
			next.State = gypsumrail.Leaving
			d.spread(d.put(next))
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
			e.heard = d.now
		}
	}
	return changed
}

// names tells whether the list's entry is about the known incarnation.
func names(listed *gypsumrail.Instance, known *entry) bool {
	return listed.Incarnation == known.Incarnation || listed.Incarnation == 0 && known.listedLive
}

// heardListed takes what the list says of the own instance.
func (d *Directory) heardListed(listed *gypsumrail.Instance) {
	if listed.Incarnation == 0 && listed.State == gypsumrail.Leaving && d.self.listedLive {
		listed.Incarnation = d.self.Incarnation
	}
	if listed.Incarnation > d.self.Incarnation || listed.Incarnation == d.self.Incarnation && listed.State == gypsumrail.Leaving {
		d.heardOfSelf(listed)
	}
}
