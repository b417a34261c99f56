package pool

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// quiet tells whether an idle connection is open and has nothing to read: its
// other end has neither closed it nor sent bytes that no request asked for.
func (c *Conn) quiet() bool {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok || c.Reader.Buffered() > 0 {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
