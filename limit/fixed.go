package limit

import (
	"math"

	"github.com/gypsumrail/gypsumrail"
)

// Static is the baseline with a fixed limit, bounded by the ceiling. It implements
// gypsumrail.Limiter and is not safe for concurrent use.
type Static struct {
	slots, ceiling int
}

// NewStatic returns a limiter with the given slots. Values below 1 count as 1.
func NewStatic(slots int) *Static { return &Static{slots: max(1, slots), ceiling: math.MaxInt} }

// Limit returns the smaller of the slots and the ceiling.
func (s *Static) Limit() int { return min(s.slots, s.ceiling) }

// Completed does nothing.
func (s *Static) Completed(gypsumrail.Millis, gypsumrail.Sample) {}

// Reported does nothing.
func (s *Static) Reported(gypsumrail.Millis, int) {}

// SetCeiling sets the limit that the records allow. Values below 1 count as 1.
func (s *Static) SetCeiling(slots int) { s.ceiling = max(1, slots) }

// Unlimited is the baseline without a limit. It implements gypsumrail.Limiter
// and is safe for concurrent use.
type Unlimited struct{}

// Limit returns the largest int.
func (Unlimited) Limit() int { return math.MaxInt }

// Completed does nothing.
func (Unlimited) Completed(gypsumrail.Millis, gypsumrail.Sample) {}

// Reported does nothing.
func (Unlimited) Reported(gypsumrail.Millis, int) {}

// SetCeiling does nothing, as this baseline also ignores the records.
func (Unlimited) SetCeiling(int) {}
