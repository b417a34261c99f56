package gypsumrail

import "time"

// Millis is a point in time or a duration in milliseconds. Points count from an
// arbitrary origin on the monotonic clock of the process. They cannot be compared
// between processes and are never sent over the wire.
type Millis int64

// Common durations.
const (
	Second Millis = 1000
	Minute Millis = 60 * Second
)

// Duration converts a duration to the standard library's type.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// MillisOf converts a time.Duration to milliseconds and truncates toward zero.
func MillisOf(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Clock returns the monotonic time of this process. Implementations are safe for
// concurrent use.
type Clock interface {
	Now() Millis
}
