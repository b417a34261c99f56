// Package clock is the clock of a node.
//
// It continues while the machine is suspended, where the system has such a clock. A clock
// that stops then would make old records look recent after the suspension, so that a revoked
// key could admit a request.
package clock

import "github.com/gypsumrail/gypsumrail"

// Clock is a monotonic clock that starts at zero. It is safe for concurrent use.
type Clock struct{ origin origin }

var _ gypsumrail.Clock = Clock{}

// New returns a clock that starts now.
func New() Clock { return Clock{now()} }

// Now implements gypsumrail.Clock.
func (c Clock) Now() gypsumrail.Millis { return gypsumrail.MillisOf(c.origin.elapsed()) }
