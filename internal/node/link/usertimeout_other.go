//go:build !linux

package link

import "syscall"

// setUserTimeout does nothing: only Linux has the option.
func setUserTimeout(_, _ string, _ syscall.RawConn) error { return nil }
