package link

import (
	"fmt"
	"syscall"

	"golang.org/x/sys/unix"
)

// setUserTimeout bounds the time that sent data may stay unacknowledged. Without
// it the kernel retransmits for a quarter of an hour before it reports a fault.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var set error
	err := c.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err == nil {
		err = set
	}
	if err != nil {
		return fmt.Errorf("set TCP_USER_TIMEOUT: %w", err)
	}
	return nil
}
