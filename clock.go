package gypsumrail

import "time"

// Millis is a point in time or a span of time in milliseconds. Points count
// from an arbitrary origin of the process on a monotonic clock, so they are
// never comparable between processes and never sent over the wire.
type Millis int64

// Common spans.
const (
	Second Millis = 1000
	Minute Millis = 60 * Second
)

// Duration converts a span to the standard library's type.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// MillisOf converts a duration to a span, rounding down.
func MillisOf(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Clock tells the monotonic time of this process. Implementations are safe for
// concurrent use.
type Clock interface {
	Now() Millis
}
