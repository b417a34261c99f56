// Package proc tests the built program as a fleet of processes.
//
// Its tests start node processes beside stubs of the targets and of the
// platform. They stop, kill and drain nodes, and publish records. Command line
// settings, signals and exit codes cannot be tested within one process.
package proc
