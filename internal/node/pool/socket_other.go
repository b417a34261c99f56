//go:build !linux

package pool

// quiet cannot look into the socket on this system; a stale connection fails on
// its first use.
func (c *Conn) quiet() bool { return c.Reader.Buffered() == 0 }
