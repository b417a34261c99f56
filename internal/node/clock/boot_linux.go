package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// origin is a time on the boot clock, or on the monotonic clock if the system call fails, as
// it does under some system call filters.
type origin struct {
	boot     time.Duration // since the machine started, suspensions included
	fallback time.Time     // set if there is no boot clock
}

func now() origin {
	if boot, ok := bootTime(); ok {
		return origin{boot: boot}
	}
	return origin{fallback: time.Now()}
}

func (o origin) elapsed() time.Duration {
	if !o.fallback.IsZero() {
		return time.Since(o.fallback)
	}
	boot, _ := bootTime() // does not fail after it succeeded once
	return boot - o.boot
}

func bootTime() (time.Duration, bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}
