package client

import (
	"fmt"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a net.Dialer.Control that closes a connection if sent
// data stays unacknowledged for the given time. Without it, the kernel
// retransmits for a quarter of an hour before it reports an error.
func UserTimeout(limit time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var setErr error
		err := c.Control(func(fd uintptr) {
			setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
		if err == nil {
			err = setErr
		}
		if err != nil {
			return fmt.Errorf("set TCP_USER_TIMEOUT: %w", err)
		}
		return nil
	}
}
