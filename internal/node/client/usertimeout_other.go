//go:build !linux

package client

import (
	"syscall"
	"time"
)

// UserTimeout returns nil: TCP_USER_TIMEOUT exists only on Linux.
func UserTimeout(time.Duration) func(network, address string, c syscall.RawConn) error { return nil }
