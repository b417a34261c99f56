package member

import "github.com/gypsumrail/gypsumrail"

const (
	sweepInterval = 10 * gypsumrail.Second
	// An instance that the list does not name raises its version this many times
	// per ForgetAfter, so that its peers do not forget it if two rumors are lost.
	heartbeatsPerForget = 3
	// Tombstones are kept for this many times ForgetAfter. Peers forget an entry
	// at different times, and one that still has it must not bring it back.
	tombstoneFactor = 6
)

// tombstone is the version at which an instance was forgotten. The same and older
// entries are ignored when peers that have not forgotten it yet still send them.
type tombstone struct {
	incarnation gypsumrail.Incarnation
	version     uint64
	expires     gypsumrail.Millis
}

// advance sets the time, raises the version of self if a heartbeat is due and, every
// sweepInterval, forgets entries without recent news. It reports whether
// anything changed.
func (d *Directory) advance(now gypsumrail.Millis) bool {
	if !d.started {
		d.started = true
		d.start, d.now, d.lastSweep, d.lastRaise = now, now, now, now
		d.self.lastSeen = now
	}
	d.now = max(d.now, now)
	changed := false
	if !d.self.listed && d.self.State != gypsumrail.Leaving && d.now-d.lastRaise >= d.settings.ForgetAfter/heartbeatsPerForget {
		d.raiseVersion(d.self.Instance, d.self.Version+1)
		changed = true
	}
	if d.now-d.lastSweep < sweepInterval {
		return changed
	}
	d.lastSweep = d.now
	for name, t := range d.tombstones {
		if d.now >= t.expires {
			delete(d.tombstones, name)
		}
	}
	for _, e := range d.byName() {
		if e != d.self && !e.listed && d.now-e.lastSeen >= d.settings.ForgetAfter {
			d.forget(e)
			changed = true
		}
	}
	return changed
}

// forget replaces an entry by a tombstone. There are at most EntriesMax
// tombstones; beyond that, the one that expires first is deleted.
func (d *Directory) forget(e *entry) {
	d.remove(e)
	if len(d.tombstones) >= d.settings.EntriesMax {
		var first string
		for name, t := range d.tombstones {
			if first == "" || t.expires < d.tombstones[first].expires || t.expires == d.tombstones[first].expires && name < first {
				first = name
			}
		}
		delete(d.tombstones, first)
	}
	d.tombstones[e.Name] = tombstone{e.Incarnation, e.Version, d.now + tombstoneFactor*d.settings.ForgetAfter}
}

// isForgotten reports whether an offered entry is no newer than the tombstone of
// its name.
func (d *Directory) isForgotten(offered *gypsumrail.Instance) bool {
	t, ok := d.tombstones[offered.Name]
	if !ok || offered.Incarnation > t.incarnation {
		return false
	}
	return offered.Incarnation < t.incarnation || offered.Version <= t.version
}
