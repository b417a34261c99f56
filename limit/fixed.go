package limit

import (
	"math"

	"github.com/gypsumrail/gypsumrail"
)

// Static is a fixed limit below the ceiling. It is a baseline that learns
// nothing. It implements gypsumrail.Limiter and is not safe for concurrent use.
type Static struct {
	slots, ceiling int
}

// NewStatic returns a limit of the given slots, at least 1.
func NewStatic(slots int) *Static { return &Static{slots: max(1, slots), ceiling: math.MaxInt} }

// Limit returns the smaller of the slots and the ceiling.
func (s *Static) Limit() int { return min(s.slots, s.ceiling) }

// Completed does nothing.
func (s *Static) Completed(gypsumrail.Millis, gypsumrail.Sample) {}

// Reported does nothing.
func (s *Static) Reported(gypsumrail.Millis, int) {}

// SetCeiling sets the most that the records allow, at least 1.
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

// SetCeiling does nothing: this baseline ignores the records too.
func (Unlimited) SetCeiling(int) {}
