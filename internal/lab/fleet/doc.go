// Package fleet measures the cost of nodes that run as processes: the latency
// and processor time that two nodes add to a call, and what idle nodes use for
// control traffic as the fleet grows.
//
// Package slope measures the decisions of nodes within one process. It does not
// include the sockets, timers, scheduler and garbage collector of a whole node.
// Package fleet has tests only; docs/measured.md holds their output.
package fleet
