package member

import (
	"slices"

	"github.com/gypsumrail/gypsumrail"
)

const (
	textMax = 128 // bytes of a name, service, zone or address

	// An instance raises its version to refute a suspicion or to be heard, so
	// at most about once a second: no run ever comes near versionMax, and no
	// node misses versionJumpMax of its versions.
	versionMax     = 1 << 32
	versionJumpMax = 1 << 20

	// Incarnations start with the wall clock at start. This much they may be
	// ahead of the own clock, and of the fleet if the own clock is wrong.
	aheadOfClock = 24 * 60 * uint64(gypsumrail.Minute)
	aheadOfFleet = 366 * aheadOfClock

	incarnationRandomBits = 20
	startMax              = 1 << 42 // the year 2109; no clock of a fleet is beyond it
)

// startOf returns the wall clock at the start of an incarnation in Unix milliseconds.
func startOf(i gypsumrail.Incarnation) uint64 { return uint64(i) >> incarnationRandomBits }

// valid tells whether an entry is well formed. An invalid one is counted.
func (d *Directory) valid(i *gypsumrail.Instance) bool {
	known := i.State == gypsumrail.Live || i.State == gypsumrail.Suspect || i.State == gypsumrail.Leaving
	if known && i.Name != "" && max(len(i.Name), len(i.Service), len(i.Zone), len(i.Address)) <= textMax {
		return true
	}
	d.counts.Invalid++
	return false
}

// plausible tells whether the incarnation and version of an entry can be real.
// One that cannot would overrule all later true entries of the name, so it is
// dropped and counted.
func (d *Directory) plausible(i *gypsumrail.Instance, limit uint64) bool {
	versions := uint64(versionMax)
	if known := d.entries[i.Name]; known != nil && known.Incarnation == i.Incarnation {
		versions = known.Version + versionJumpMax
	}
	if startOf(i.Incarnation) <= limit && i.Version <= versions {
		return true
	}
	d.counts.Absurd++
	return false
}

// incarnationLimit returns the latest start that is accepted in a batch. The
// current time is the own start plus the time since; if most of the fleet
// started after that, the own clock was wrong and the fleet's median counts.
func (d *Directory) incarnationLimit(batch []gypsumrail.Instance) uint64 {
	limit := startOf(d.self.Incarnation) + uint64(d.now-d.start) + aheadOfClock
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
	return median + aheadOfFleet
}

// hasRoom tells whether an unknown instance can be added. For one that the list
// or the instance itself names, an entry that only peers spoke of makes room.
func (d *Directory) hasRoom(trusted bool) bool {
	if len(d.entries) < d.settings.EntriesMax {
		return true
	}
	var oldest *entry
	if trusted {
		for _, e := range d.entries {
			if e != d.self && !e.listed && !e.direct &&
				(oldest == nil || e.heard < oldest.heard || e.heard == oldest.heard && e.Name < oldest.Name) {
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
