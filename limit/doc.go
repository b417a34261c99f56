// Package limit sets the concurrency limit of one target.
//
// A limit above the capacity makes all calls slow without completing more of
// them, and a limit below it wastes capacity. The latency alone cannot distinguish
// the two: a target that became slower per call needs all its slots, while a
// target that runs out of capacity needs fewer. The throughput at two different
// limits can. Adaptive therefore probes the target: it runs one short window at
// another limit and compares the throughput.
//
// By Little's law a target below its capacity takes the time inFlight/rate for each
// call. At the capacity the rate stops growing, so
//
//	knee = rate at the higher limit * inFlight / rate at the lower limit
//
// is the concurrency at which the capacity is reached. If the target only became
// slower, inFlight/rate is equal in both windows and the knee is the higher limit
// itself.
//
// A probe downwards costs throughput. It is made only if the limit was not
// confirmed yet, or if the time per call (without waiting for outgoing calls) is
// above the one that the last probe confirmed. A probe upwards costs little and
// doubles the limit, so a recovered target has its full limit after a few windows.
//
// Refused and failed calls show without a comparison that the limit is too high.
// They shrink it by their share, at most by half per window.
//
// The ceiling comes from the records. Slots that the target reports only cause a
// probe, and only when they change, because a report can be false or frozen.
//
// A node starts at the ceiling, because mostly the node restarts and not its
// target, and the routers give a new instance a growing share anyway (slow start).
// A lower initial limit doubles like that of a recovered target.
//
// The time per call while at most half of the limit is in flight counts as that of
// the unloaded target. A target that is never full is therefore never probed.
//
// Headroom is a simpler limiter for targets whose records state their real slots.
// It never exceeds them and only decides whether to leave some free.
//
// Static and Unlimited serve as baselines.
package limit
