package member

import (
	"cmp"
	"slices"

	"github.com/gypsumrail/gypsumrail"
)

// returnTime is how long entries that vanished while the platform was away are
// kept after its return: live instances are listed again within about 2 s.
const returnTime = 2 * gypsumrail.Second

// lapseTime is how long after the platform's return an entry that vanishes counts
// as lapsed in the outage. What vanishes later has left.
const lapseTime = gypsumrail.Second / 2

// Listed is a directory for platforms whose list follows instances closely and
// that every node can watch. The list alone decides, and nodes exchange no
// rumors; peers are only asked for newer lists while the platform is away. It
// implements gypsumrail.Directory and is not safe for concurrent use.
type Listed struct {
	self       gypsumrail.Instance // of the node; its target's entry has the same address
	entries    map[string]*listedEntry
	order      []*listedEntry // by name
	services   map[string][]gypsumrail.Instance
	generation uint64
	away       bool
	returned   gypsumrail.Millis // when the platform could last be read again
	vanished   int               // entries that the list lacks and that are kept for now
}

type listedEntry struct {
	gypsumrail.Instance
	vanished bool
}

var _ gypsumrail.Directory = (*Listed)(nil)

// NewListed returns a directory without entries for the node of one target. The
// target is recognized in the list by the address of its node.
func NewListed(self gypsumrail.Instance) *Listed {
	return &Listed{self: self, entries: make(map[string]*listedEntry), returned: -returnTime}
}

// Self returns the entry of the own target, or what the settings say of it while
// the list does not name it.
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

// MergeList takes the platform's list and reports whether anything changed.
func (d *Listed) MergeList(now gypsumrail.Millis, list []gypsumrail.Instance) bool {
	named := make(map[string]bool, len(list))
	changed := d.expire(now)
	for i := range list {
		listed := &list[i]
		named[listed.Name] = true
		known := d.entries[listed.Name]
		switch {
		case known == nil:
			d.entries[listed.Name] = &listedEntry{Instance: *listed}
		case known.Instance == *listed && !known.vanished:
			continue
		default:
			known.Instance, known.vanished = *listed, false
		}
		changed = true
	}
	for name, e := range d.entries {
		if named[name] {
			continue
		}
		if d.away || now-d.returned < lapseTime || e.vanished && d.settling(now) {
			e.vanished = true
			continue
		}
		delete(d.entries, name)
		changed = true
	}
	return d.rebuild(changed)
}

// settling tells whether the platform is away or has just come back.
func (d *Listed) settling(now gypsumrail.Millis) bool { return d.away || now-d.returned < returnTime }

// Contact takes whether the platform can be read.
func (d *Listed) Contact(now gypsumrail.Millis, ok bool) {
	if d.away && ok {
		d.returned = now
	}
	d.away = !ok
}

// Upstreams returns the entries of one service, ordered by name.
func (d *Listed) Upstreams(service string) []gypsumrail.Instance { return d.services[service] }

// expire drops the vanished entries once the platform has been back for long enough.
func (d *Listed) expire(now gypsumrail.Millis) bool {
	if d.vanished == 0 || d.settling(now) {
		return false
	}
	for name, e := range d.entries {
		if e.vanished {
			delete(d.entries, name)
		}
	}
	return true
}

func (d *Listed) rebuild(changed bool) bool {
	d.vanished = 0
	for _, e := range d.entries {
		if e.vanished {
			d.vanished++
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
	d.services = make(map[string][]gypsumrail.Instance)
	for _, e := range d.order {
		d.services[e.Service] = append(d.services[e.Service], e.Instance)
	}
	return true
}

// Rumors returns the entries that changed lately; there are none to pass on.
func (d *Listed) Rumors(gypsumrail.Millis, int) []gypsumrail.Instance { return nil }

// Expire drops the entries whose time to come back is over.
func (d *Listed) Expire(now gypsumrail.Millis) { d.rebuild(d.expire(now)) }

// Lookup returns one entry.
func (d *Listed) Lookup(name string) (gypsumrail.Instance, bool) {
	if e := d.entries[name]; e != nil {
		return e.Instance, true
	}
	return gypsumrail.Instance{}, false
}

// Partner returns a peer for the next exchange, chosen by random.
func (d *Listed) Partner(random uint64) (gypsumrail.Instance, bool) {
	for i := range d.order {
		e := d.order[(random+uint64(i))%uint64(len(d.order))]
		if e.Address != d.self.Address {
			return e.Instance, true
		}
	}
	return gypsumrail.Instance{}, false
}

// Generation grows with each change of the directory.
func (d *Listed) Generation() uint64 { return d.generation }

// Len returns the number of entries.
func (d *Listed) Len() int { return len(d.entries) }

// IsReader returns true: every node watches the platform itself.
func (d *Listed) IsReader() bool { return true }

// Merge does nothing: peers know nothing that the list does not say.
func (d *Listed) Merge(gypsumrail.Millis, []gypsumrail.Instance) bool { return false }

// Observe does nothing: the list tells when an instance leaves, and a node that
// drains says so in its reports.
func (d *Listed) Observe(gypsumrail.Millis, gypsumrail.Instance) bool { return false }

// MarkSuspect does nothing: the router ejects upstreams that fail.
func (d *Listed) MarkSuspect(gypsumrail.Millis, string) bool { return false }

// Leave does nothing: the target's own entry tells when it leaves.
func (d *Listed) Leave(gypsumrail.Millis) {}

// Buckets returns zeros, so that no two nodes exchange entries.
func (d *Listed) Buckets() [gypsumrail.DigestBuckets]uint64 {
	return [gypsumrail.DigestBuckets]uint64{}
}

// Bucket returns no entries.
func (d *Listed) Bucket(int) []gypsumrail.Instance { return nil }
