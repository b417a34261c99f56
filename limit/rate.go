package limit

import (
	"math"

	"github.com/gypsumrail/gypsumrail"
)

// burstTime is the time without calls whose tokens a Rate keeps. Calls that arrive
// together then start together, while each second stays close to the limit.
const burstTime = gypsumrail.Second / 4

// Rate is a token bucket for a target that states how many calls a second it takes. All
// calls of a target pass its node, so the node can keep the limit for all senders without
// state that they share. The zero value has no limit. It is not safe for concurrent use.
type Rate struct {
	perSecond float64 // 0: no limit
	tokens    float64
	filledAt  gypsumrail.Millis
}

// Set sets the limit in calls a second; 0 ends it. A bucket that had none starts empty,
// because the calls before count for the target as well.
func (r *Rate) Set(now gypsumrail.Millis, perSecond float64) {
	if r.perSecond == 0 {
		r.tokens, r.filledAt = 0, now
	}
	r.fill(now)
	r.perSecond = perSecond
	r.tokens = min(r.tokens, r.depth())
}

// PerSecond returns the limit in calls a second, or 0 if there is none.
func (r *Rate) PerSecond() float64 { return r.perSecond }

// Ready reports whether a call may start.
func (r *Rate) Ready(now gypsumrail.Millis) bool { return r.Wait(now, 0) == 0 }

// Take counts a call that starts.
func (r *Rate) Take(now gypsumrail.Millis) {
	if r.perSecond > 0 {
		r.fill(now)
		r.tokens--
	}
}

// Wait returns the time until a call may start if the given number of calls start before it.
func (r *Rate) Wait(now gypsumrail.Millis, ahead int) gypsumrail.Millis {
	if r.perSecond == 0 {
		return 0
	}
	r.fill(now)
	missing := float64(ahead) + 1 - r.tokens
	if missing <= 0 {
		return 0
	}
	return gypsumrail.Millis(math.Ceil(missing / r.perSecond * float64(gypsumrail.Second)))
}

func (r *Rate) fill(now gypsumrail.Millis) {
	elapsed := max(0, now-r.filledAt)
	r.tokens = min(r.tokens+r.perSecond*float64(elapsed)/float64(gypsumrail.Second), r.depth())
	r.filledAt = now
}

// depth returns the most tokens that the bucket holds.
func (r *Rate) depth() float64 {
	return max(1, r.perSecond*float64(burstTime)/float64(gypsumrail.Second))
}
