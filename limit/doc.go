// Package limit learns how many calls one target can run at once.
//
// A limit above the real capacity makes all calls slow without completing more
// of them; a limit below it wastes the target. The latency alone does not tell
// the two apart: a target that became slower per call needs all its slots, a
// target that runs out of capacity needs fewer. Only the throughput at two
// different limits tells, so Adaptive asks the target: it runs one short window
// at another limit and compares the throughput.
//
// By Little's law a target that is below its capacity needs inFlight/rate per
// call. At the capacity the rate stops growing, so
//
//	knee = rate at the higher limit * inFlight / rate at the lower limit
//
// is the concurrency at which the capacity is reached. If the target merely
// became slower, both windows have the same ratio and the knee is the higher
// limit itself. A probe downwards costs throughput, so it is made only when the
// time per call (without waiting for outgoing calls) is above what the last
// probe confirmed, and when a limit was not confirmed yet. A probe upwards
// costs little and doubles the limit, so a recovered target is open again after
// a few windows.
//
// Calls that were refused or failed say that the target is over its limit
// without any comparison; they shrink the limit by their share, at most by half
// per window.
//
// The ceiling comes from the records. Slots that the target reports only cause
// a probe when they change, because a report may be false or frozen. A node
// starts at the ceiling: what restarts is mostly the node and not its target, and
// routers give a new instance a growing share anyway. A lower start doubles like
// a recovered target. The time per call while at most half of the limit is in use
// stands for the unhindered one, so that a target that is never full is never probed.
//
// Headroom is a smaller choice for targets that state their slots truly: it keeps
// to them and only learns whether to leave some free.
//
// Static and Unlimited serve as baselines.
package limit
