package member

import (
	"cmp"
	"slices"

	"github.com/gypsumrail/gypsumrail"
)

// recoveryTime is how long after an outage of the platform the entries that the
// list lost because of it are kept. Live instances are listed again within about
// 2 s.
const recoveryTime = 2 * gypsumrail.Second

// lossTime is how long after the end of an outage the absence of an entry from
// the list is attributed to the outage. An instance that disappears later has left.
const lossTime = gypsumrail.Second / 2

// Listed is a directory for platforms whose list follows instances closely and
// that every node can watch. Its entries come from the list only, and nodes
// exchange no rumors; they ask peers for newer lists only during an outage of the
// platform. It implements gypsumrail.Directory and is not safe for concurrent use.
type Listed struct {
	self       gypsumrail.Instance // the node's settings; its target's entry has the same address
	entries    map[string]*listedEntry
	order      []*listedEntry // sorted by name
	byService  map[string][]gypsumrail.Instance
	generation uint64
	departures departures
	outage     bool              // the platform cannot be read
	recovered  gypsumrail.Millis // when the last outage ended
	missing    int               // entries whose missing field is set
}

type listedEntry struct {
	gypsumrail.Instance
	missing bool // the list lost it in an outage; it is kept until recoveryTime has passed
}

var _ gypsumrail.Directory = (*Listed)(nil)

// NewListed returns a directory without entries for the node of one target. The
// target is identified in the list by its service and the address of its node.
func NewListed(self gypsumrail.Instance) *Listed {
	return &Listed{self: self, entries: make(map[string]*listedEntry), departures: newDepartures(), recovered: -recoveryTime}
}

// Self returns the entry of the node's target, or the instance given to NewListed
// while the list does not name it.
func (d *Listed) Self() gypsumrail.Instance {
	self := d.self
	for _, e := range d.order {
		// The entry of an earlier run may still be listed.
		if e.Address == d.self.Address && e.Service == d.self.Service && (self == d.self || e.Incarnation >= self.Incarnation) {
			self = e.Instance
		}
	}
	return self
}

// MergeList replaces the entries by those of the platform's list and reports
// whether anything changed. Entries that are missing from the list during an
// outage or within lossTime after it are kept until recoveryTime has passed.
func (d *Listed) MergeList(now gypsumrail.Millis, list []gypsumrail.Instance) bool {
	named := make(map[string]bool, len(list))
	changed := d.dropMissing(now)
	for i := range list {
		listed := &list[i]
		named[listed.Name] = true
		changed = d.departures.listed(now, listed) || changed
		known := d.entries[listed.Name]
		switch {
		case known == nil:
			d.entries[listed.Name] = &listedEntry{Instance: *listed}
		case known.Instance == *listed && !known.missing:
			continue
		default:
			known.Instance, known.missing = *listed, false
		}
		changed = true
	}
	for name, e := range d.entries {
		if named[name] {
			continue
		}
		if d.outage || now-d.recovered < lossTime || e.missing && d.recovering(now) {
			e.missing = true
			continue
		}
		d.remove(now, e)
		changed = true
	}
	return d.rebuild(changed)
}

func (d *Listed) remove(now gypsumrail.Millis, e *listedEntry) {
	d.departures.unlisted(now, &e.Instance)
	delete(d.entries, e.Name)
}

// MarkLeaving records that the target of an instance stated that it is leaving. Its entry
// counts as leaving from then on, whatever the list shows, until the list shows a later
// incarnation. It returns whether the statement is new.
func (d *Listed) MarkLeaving(now gypsumrail.Millis, name string, incarnation gypsumrail.Incarnation) bool {
	return d.rebuild(d.departures.stated(now, name, incarnation))
}

// PlatformRestored records that the next list may be older than the last one. Entries that
// it lacks are kept as after an outage, and those that had left stay out of use.
func (d *Listed) PlatformRestored(now gypsumrail.Millis) {
	d.recovered = now
	d.departures.restoredAt = now
}

// recovering reports whether the platform is in an outage, or was in one less than
// recoveryTime ago.
func (d *Listed) recovering(now gypsumrail.Millis) bool {
	return d.outage || now-d.recovered < recoveryTime
}

// SetPlatformReachable records whether the platform can be read.
func (d *Listed) SetPlatformReachable(now gypsumrail.Millis, ok bool) {
	if d.outage && ok {
		d.recovered = now
	}
	d.outage = !ok
}

// Upstreams returns the entries of one service, ordered by name. It leaves out those at
// whose address a later one started.
func (d *Listed) Upstreams(service string) []gypsumrail.Instance { return d.byService[service] }

// dropMissing removes the missing entries once recoveryTime has passed since the
// outage. It reports whether it removed any.
func (d *Listed) dropMissing(now gypsumrail.Millis) bool {
	if d.missing == 0 || d.recovering(now) {
		return false
	}
	for _, e := range d.entries {
		if e.missing {
			d.remove(now, e)
		}
	}
	return true
}

// rebuild counts the missing entries and, after a change, starts a new generation
// and sorts the entries again. It returns its argument.
func (d *Listed) rebuild(changed bool) bool {
	d.missing = 0
	for _, e := range d.entries {
		if e.missing {
			d.missing++
		}
	}
	if !changed {
		return false
	}
	d.generation++
	d.order = d.order[:0]
	for _, e := range d.entries {
		d.order = append(d.order, e)
	}
	slices.SortFunc(d.order, func(a, b *listedEntry) int { return cmp.Compare(a.Name, b.Name) })
	newest := d.newestStarts()
	d.byService = make(map[string][]gypsumrail.Instance)
	for _, e := range d.order {
		if e.Incarnation == 0 || e.Incarnation == newest[e.Address] {
			entry := e.Instance
			if d.departures.has(&entry) {
				entry.State = gypsumrail.Leaving
			}
			d.byService[e.Service] = append(d.byService[e.Service], entry)
		}
	}
	return true
}

// newestStarts returns the latest incarnation at each address. One target at a time runs
// at an address, so those of earlier starts have ended, although the list may name them
// for seconds.
func (d *Listed) newestStarts() map[string]gypsumrail.Incarnation {
	newest := make(map[string]gypsumrail.Incarnation, len(d.order))
	for _, e := range d.order {
		newest[e.Address] = max(newest[e.Address], e.Incarnation)
	}
	return newest
}

// Rumors returns nil: nodes exchange no rumors.
func (d *Listed) Rumors(gypsumrail.Millis, int) []gypsumrail.Instance { return nil }

// Expire drops the missing entries once recoveryTime has passed since the outage, and
// departures after departureTime.
func (d *Listed) Expire(now gypsumrail.Millis) {
	listed := func(name string) bool { return d.entries[name] != nil }
	d.rebuild(d.departures.expire(now, listed) || d.dropMissing(now))
}

// Lookup returns the entry of a name, and whether there is one.
func (d *Listed) Lookup(name string) (gypsumrail.Instance, bool) {
	if e := d.entries[name]; e != nil {
		return e.Instance, true
	}
	return gypsumrail.Instance{}, false
}

// Partner returns a peer for the next exchange, chosen by a random number: any
// entry whose address is not that of the node. It returns false if there is none.
func (d *Listed) Partner(random uint64) (gypsumrail.Instance, bool) {
	for i := range d.order {
		e := d.order[(random+uint64(i))%uint64(len(d.order))]
		if e.Address != d.self.Address {
			return e.Instance, true
		}
	}
	return gypsumrail.Instance{}, false
}

// Generation returns a number that increases with each change of the directory.
func (d *Listed) Generation() uint64 { return d.generation }

// Len returns the number of entries.
func (d *Listed) Len() int { return len(d.entries) }

// IsReader returns false: the part that reads the platform's list chooses its source.
func (d *Listed) IsReader() bool { return false }

// Merge does nothing: peers have no entries that are not from the list.
func (d *Listed) Merge(gypsumrail.Millis, []gypsumrail.Instance) bool { return false }

// RecordState does nothing: the list shows when an instance leaves, and a draining
// node says so in its reports.
func (d *Listed) RecordState(gypsumrail.Millis, gypsumrail.Instance) bool { return false }

// MarkSuspect does nothing: the router ejects upstreams that fail.
func (d *Listed) MarkSuspect(gypsumrail.Millis, string) bool { return false }

// Leave does nothing: the target's entry in the list shows when it leaves.
func (d *Listed) Leave(gypsumrail.Millis) {}

// Buckets returns zeros: equal hashes make two nodes exchange no entries.
func (d *Listed) Buckets() [gypsumrail.DigestBuckets]uint64 {
	return [gypsumrail.DigestBuckets]uint64{}
}

// Bucket returns no entries.
func (d *Listed) Bucket(int) []gypsumrail.Instance { return nil }
