package member

import "github.com/gypsumrail/gypsumrail"

const (
	// departureTime is how long a departure is kept after it was last seen. A target ends
	// within seconds, and the list lags by the longest outage of the platform.
	departureTime = 10 * gypsumrail.Minute
	// departuresMax bounds the departures that are kept.
	departuresMax = 4096
	// lapseTime is how long after a restore the list may name instances that have left.
	// They no longer write their entries, which lapse after a few missed heartbeats.
	lapseTime = 10 * gypsumrail.Second
)

// departure is what is known of an instance that leaves or has left.
type departure struct {
	incarnation gypsumrail.Incarnation
	seenAt      gypsumrail.Millis
	unlisted    bool // known only because the list dropped the entry
}

// departures holds the instances that leave or have left, by name. They outlive the entries
// of the list, which may be out of date, and which an older copy of the platform's store
// shows again as they were.
//
// An instance that stated its departure, itself or by its entry, does not come back in the
// same incarnation. One whose entry was dropped may: entries also lapse if an instance
// cannot reach the platform. So a dropped entry that is listed again counts as live, but
// right after a restore, when it may come from the copy.
type departures struct {
	byName     map[string]departure
	restoredAt gypsumrail.Millis // of the platform; negative if never
}

func newDepartures() departures {
	return departures{byName: make(map[string]departure), restoredAt: -lapseTime}
}

// has reports whether an instance leaves or has left.
func (d *departures) has(i *gypsumrail.Instance) bool {
	known, ok := d.byName[i.Name]
	return ok && known.incarnation >= i.Incarnation
}

func (d *departures) restoring(now gypsumrail.Millis) bool { return now-d.restoredAt < lapseTime }

// stated records a departure that the instance stated, and reports whether it is new.
func (d *departures) stated(now gypsumrail.Millis, name string, incarnation gypsumrail.Incarnation) bool {
	return d.record(name, departure{incarnation: incarnation, seenAt: now})
}

// unlisted records that the list dropped an entry. Right after a restore that shows only
// that the copy does not have it.
func (d *departures) unlisted(now gypsumrail.Millis, i *gypsumrail.Instance) {
	if !d.restoring(now) {
		d.record(i.Name, departure{incarnation: i.Incarnation, seenAt: now, unlisted: true})
	}
}

// record adds a departure and reports whether it is new. A statement replaces a dropped
// entry, and not the other way round.
func (d *departures) record(name string, next departure) bool {
	known, ok := d.byName[name]
	if ok && (known.incarnation > next.incarnation || known.incarnation == next.incarnation && (next.unlisted || !known.unlisted)) {
		known.seenAt = next.seenAt
		d.byName[name] = known
		return false
	}
	if !ok && len(d.byName) >= departuresMax {
		return false
	}
	d.byName[name] = next
	return true
}

// listed takes an entry of the list into account and reports whether that changed what
// has returns for it.
func (d *departures) listed(now gypsumrail.Millis, i *gypsumrail.Instance) bool {
	if i.State == gypsumrail.Leaving {
		// Without a known start, a later run under the same name could not be told apart.
		return d.record(i.Name, departure{incarnation: i.Incarnation, seenAt: now, unlisted: i.Incarnation == 0})
	}
	if known, ok := d.byName[i.Name]; ok && known.unlisted && !d.restoring(now) {
		delete(d.byName, i.Name)
		return true
	}
	return false
}

// expire drops old departures and, once lapseTime has passed since a restore, those of
// entries that are still listed although the list had dropped them. It reports whether it
// dropped any of the latter.
func (d *departures) expire(now gypsumrail.Millis, listed func(name string) bool) bool {
	changed := false
	for name, known := range d.byName {
		switch {
		case now-known.seenAt >= departureTime:
			delete(d.byName, name)
		case known.unlisted && !d.restoring(now) && listed(name):
			delete(d.byName, name)
			changed = true
		}
	}
	return changed
}
