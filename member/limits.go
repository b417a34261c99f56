package member

import (
	"slices"

	"github.com/gypsumrail/gypsumrail"
)

const (
	textBytesMax = 128 // of a name, service, zone or address

	// An instance raises its version to refute a suspicion or as a heartbeat, at
	// most about once a second. No run of an instance comes near versionMax, and
	// no node misses versionJumpMax versions in a row.
	versionMax     = 1 << 32
	versionJumpMax = 1 << 20

	// The high bits of an incarnation are the wall clock at the start of the
	// instance. It may be ahead of this node's clock by clockLeadMax milliseconds
	// or, if that clock is wrong, ahead of the fleet's median by fleetLeadMax.
	clockLeadMax = 24 * 60 * uint64(gypsumrail.Minute)
	fleetLeadMax = 366 * clockLeadMax

	incarnationRandomBits = 20
	startMax              = 1 << 42 // Unix milliseconds, in the year 2109; no fleet's clock is beyond it
)

// startOf returns the wall clock at the start of an incarnation in Unix milliseconds.
func startOf(i gypsumrail.Incarnation) uint64 { return uint64(i) >> incarnationRandomBits }

// valid reports whether an entry is well formed, and counts it if it is not.
func (d *Directory) valid(i *gypsumrail.Instance) bool {
	known := i.State == gypsumrail.Live || i.State == gypsumrail.Suspect || i.State == gypsumrail.Leaving
	if known && i.Name != "" && max(len(i.Name), len(i.Service), len(i.Zone), len(i.Address)) <= textBytesMax {
		return true
	}
	d.counts.Invalid++
	return false
}

// plausible reports whether the incarnation and version of an entry can be real,
// and counts the entry if not. The caller drops it, because it would overrule all
// later true entries of the name. The limit comes from incarnationLimit.
func (d *Directory) plausible(i *gypsumrail.Instance, limit uint64) bool {
	versions := uint64(versionMax)
	if known := d.entries[i.Name]; known != nil && known.Incarnation == i.Incarnation {
		versions = known.Version + versionJumpMax
	}
	if startOf(i.Incarnation) <= limit && i.Version <= versions {
		return true
	}
	d.counts.Implausible++
	return false
}

// incarnationLimit returns the latest start of an instance that is accepted in a
// batch, in Unix milliseconds. The current time is the start of self plus the time
// since then. If most of the fleet started more than clockLeadMax after that, the
// node's clock was wrong at its start, and the fleet's median start is used instead.
func (d *Directory) incarnationLimit(batch []gypsumrail.Instance) uint64 {
	limit := startOf(d.self.Incarnation) + uint64(d.now-d.start) + clockLeadMax
	if !slices.ContainsFunc(batch, func(i gypsumrail.Instance) bool { return startOf(i.Incarnation) > limit }) {
		return limit
	}
	starts := make([]uint64, 0, len(d.entries)+len(batch))
	for _, e := range d.entries {
		if e.Incarnation != 0 {
			starts = append(starts, startOf(e.Incarnation))
		}
	}
	for i := range batch {
		if _, known := d.entries[batch[i].Name]; !known && batch[i].Incarnation != 0 {
			starts = append(starts, startOf(batch[i].Incarnation))
		}
	}
	slices.Sort(starts)
	if len(starts) == 0 {
		return limit
	}
	median := starts[(len(starts)-1)/2]
	if median <= limit || median > startMax {
		return limit
	}
	return median + fleetLeadMax
}

// makeRoom reports whether an unknown instance can be added. If the directory is
// full and the source is trusted (the list or the instance itself), it removes the
// entry without news for longest among those that only peers have reported.
func (d *Directory) makeRoom(trusted bool) bool {
	if len(d.entries) < d.settings.EntriesMax {
		return true
	}
	var oldest *entry
	if trusted {
		for _, e := range d.entries {
			if e != d.self && !e.listed && !e.observed &&
				(oldest == nil || e.lastSeen < oldest.lastSeen || e.lastSeen == oldest.lastSeen && e.Name < oldest.Name) {
				oldest = e
			}
		}
	}
	if oldest == nil {
		d.counts.Full++
		return false
	}
	d.remove(oldest)
	return true
}
