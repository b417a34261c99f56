//go:build !linux

package pool

// reusable reports whether no unread bytes are buffered. It cannot inspect the
// socket on this system, so a connection that the other end has closed fails
// when it is used.
func (c *Conn) reusable() bool { return c.Reader.Buffered() == 0 }
