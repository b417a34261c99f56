package gypsumrail

// eraShift is the number of bits of a revision within an era.
const eraShift = 44

// Bounds of the parts of a position.
const (
	EraMax           = 1<<(63-eraShift) - 1
	StoreRevisionMax = 1<<eraShift - 1
)

// Position returns a revision of the platform's store that is ordered across its eras. A
// store that comes back from an older copy of itself starts a new era, in which it gives
// out revisions of the last one again. The era stands in the upper bits, so a later position
// is a higher number, and whatever compares revisions is right in each era. Era 0 leaves a
// revision as it is. The era is at most EraMax, the revision at most StoreRevisionMax.
func Position(era, revision uint64) uint64 { return era<<eraShift | revision }

// Position returns the era of the platform's store that a version is of, and its revision
// within it. The records are numbered by their operator, in no era.
func (v ValueVersion) Position() (era, revision uint64) {
	if v.Name == ValueInstances {
		return SplitPosition(uint64(v.Revision))
	}
	return 0, uint64(v.Revision)
}

// SplitPosition returns the era of a position and the revision within it.
func SplitPosition(position uint64) (era, revision uint64) {
	return position >> eraShift, position & StoreRevisionMax
}
