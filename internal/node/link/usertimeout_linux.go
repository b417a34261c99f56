package link

import (
	"fmt"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a net.Dialer.Control that bounds the time for which sent
// data may stay unacknowledged. Without it the kernel retransmits for a quarter
// of an hour before it reports a fault.
func UserTimeout(limit time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var set error
		err := c.Control(func(fd uintptr) {
			set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
		if err == nil {
			err = set
		}
		if err != nil {
			return fmt.Errorf("set TCP_USER_TIMEOUT: %w", err)
		}
		return nil
	}
}
