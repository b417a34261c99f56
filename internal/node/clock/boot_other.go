//go:build !linux

package clock

import "time"

// origin stands in for the boot clock of Linux. The monotonic clock may stop while the
// machine is suspended, so such a system does not revoke keys strictly across a suspension.
type origin struct{ start time.Time }

func now() origin { return origin{time.Now()} }

func (o origin) elapsed() time.Duration { return time.Since(o.start) }
