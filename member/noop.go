package member

import "github.com/gypsumrail/gypsumrail"

// SetPlatformReachable does nothing: an outage of the platform removes no entry. An
// instance that the list no longer names stays until it is forgotten, after
// ForgetAfter without news of it from peers or from the instance itself.
func (d *Directory) SetPlatformReachable(gypsumrail.Millis, bool) {}

// PlatformRestored does nothing: the list adds instances and never revives one that is
// known as leaving.
func (d *Directory) PlatformRestored(gypsumrail.Millis) {}

// Expire does nothing: Merge, MergeList, RecordState, MarkSuspect, Leave and Rumors
// drop expired entries themselves.
func (d *Directory) Expire(gypsumrail.Millis) {}
