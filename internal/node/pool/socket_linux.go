package pool

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// reusable reports whether an idle connection is open and has nothing to read.
// It is false if the other end has closed it, or has sent bytes without a
// request.
func (c *Conn) reusable() bool {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok || c.Reader.Buffered() > 0 {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = err == unix.EAGAIN
		return true
	})
	return err == nil && reusable
}
