//go:build !linux

package link

import (
	"syscall"
	"time"
)

// UserTimeout does nothing: only Linux has the option.
func UserTimeout(time.Duration) func(network, address string, c syscall.RawConn) error { return nil }
