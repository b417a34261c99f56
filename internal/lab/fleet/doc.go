// Package fleet measures what nodes cost as processes: the latency and the
// processor time that two nodes add to a call, and what idle nodes spend on
// control as the fleet grows.
//
// Package slope measures the same decisions inside one process, where sockets,
// timers, the scheduler and the collector of a whole node do not show. The
// package has tests only; docs/measured.md holds their output.
package fleet
