// Package proc tests the built program as processes.
//
// Its tests start real nodes beside stand-in targets and a stand-in platform,
// and disturb them as operators and failures do, because settings, signals and
// the exit of a process cannot be seen from within one.
package proc
