package member

import "github.com/gypsumrail/gypsumrail"

const (
	sweepEvery = 10 * gypsumrail.Second
	// An instance that its list does not name raises its version this often, so
	// that two lost rumors do not make its peers forget it.
	heartbeatsPerForget = 3
	// Peers forget an entry at different times. The grave lasts this many times
	// as long as an entry, so that those who forget late do not bring it back.
	graveFactor = 6
)

// grave is a forgotten entry. It keeps the same or older news of the instance
// from being taken from peers that have not forgotten it yet.
type grave struct {
	incarnation gypsumrail.Incarnation
	version     uint64
	until       gypsumrail.Millis
}

// advance takes the time, forgets old entries and raises the own version when
// it is due. It reports whether anything changed.
func (d *Directory) advance(now gypsumrail.Millis) bool {
	if !d.began {
		d.began = true
		d.start, d.now, d.swept, d.raised = now, now, now, now
		d.self.heard = now
	}
	d.now = max(d.now, now)
	changed := false
	if !d.self.listed && d.self.State != gypsumrail.Leaving && d.now-d.raised >= d.settings.ForgetAfter/heartbeatsPerForget {
		d.raise(d.self.Instance, d.self.Version+1)
		changed = true
	}
	if d.now-d.swept < sweepEvery {
		return changed
	}
	d.swept = d.now
	for name, g := range d.buried {
		if d.now >= g.until {
			delete(d.buried, name)
		}
	}
	for _, e := range d.byName() {
		if e != d.self && !e.listed && d.now-e.heard >= d.settings.ForgetAfter {
			d.bury(e)
			changed = true
		}
	}
	return changed
}

// bury removes an entry and remembers that it was forgotten.
func (d *Directory) bury(e *entry) {
	d.remove(e)
	if len(d.buried) >= d.settings.EntriesMax {
		var first string
		for name, g := range d.buried {
			if first == "" || g.until < d.buried[first].until || g.until == d.buried[first].until && name < first {
				first = name
			}
		}
		delete(d.buried, first)
	}
	d.buried[e.Name] = grave{e.Incarnation, e.Version, d.now + graveFactor*d.settings.ForgetAfter}
}

// isBuried tells whether an entry is no newer than the one that was forgotten.
func (d *Directory) isBuried(offered *gypsumrail.Instance) bool {
	g, ok := d.buried[offered.Name]
	if !ok || offered.Incarnation > g.incarnation {
		return false
	}
	return offered.Incarnation < g.incarnation || offered.Version <= g.version
}
