package route

import (
	"math/bits"
	"slices"

	"github.com/gypsumrail/gypsumrail"
)

// RoundRobin is a baseline for replays. It chooses the upstreams of a service in
// turn. It skips upstreams that are leaving, excluded or without a needed
// capability, and ignores load, latency and failures. It is not safe for
// concurrent use.
type RoundRobin struct {
	baseline
	next map[string]int
}

// Random is a baseline like RoundRobin that chooses the upstream at random.
type Random struct{ baseline }

var (
	_ gypsumrail.Router = (*RoundRobin)(nil)
	_ gypsumrail.Router = (*Random)(nil)
)

// NewRoundRobin returns a RoundRobin without upstreams.
func NewRoundRobin() *RoundRobin {
	return &RoundRobin{baseline: newBaseline(), next: make(map[string]int)}
}

// NewRandom returns a Random without upstreams.
func NewRandom() *Random { return &Random{newBaseline()} }

// Choose returns the first usable upstream after the one chosen last.
func (r *RoundRobin) Choose(_ gypsumrail.Millis, choice gypsumrail.Choice) (gypsumrail.Instance, gypsumrail.Reason) {
	at := r.next[choice.Service]
	chosen, reason := r.firstUsable(at, &choice)
	if reason == gypsumrail.ReasonNone {
		r.next[choice.Service] = (chosen + 1) % len(r.upstreams[choice.Service])
		return r.upstreams[choice.Service][chosen].Instance, reason
	}
	return gypsumrail.Instance{}, reason
}

// Choose returns a usable upstream drawn with choice.Random.
func (r *Random) Choose(_ gypsumrail.Millis, choice gypsumrail.Choice) (gypsumrail.Instance, gypsumrail.Reason) {
	list, count := r.upstreams[choice.Service], 0
	for i := range list {
		if usable(&list[i], &choice) {
			count++
		}
	}
	drawn, _ := bits.Mul64(choice.Random, uint64(count))
	for i := range list {
		if !usable(&list[i], &choice) {
			continue
		}
		if drawn == 0 {
			return list[i].Instance, gypsumrail.ReasonNone
		}
		drawn--
	}
	return gypsumrail.Instance{}, gypsumrail.ReasonNoUpstream
}

// baseline holds the upstreams, by service, and implements the methods that
// RoundRobin and Random share.
type baseline struct {
	upstreams map[string][]gypsumrail.Upstream
}

func newBaseline() baseline { return baseline{make(map[string][]gypsumrail.Upstream)} }

// SetUpstreams replaces the upstreams of a service.
func (b *baseline) SetUpstreams(_ gypsumrail.Millis, service string, list []gypsumrail.Upstream) {
	if len(list) == 0 {
		delete(b.upstreams, service)
		return
	}
	b.upstreams[service] = slices.Clone(list)
}

// firstUsable returns the index of the first usable upstream at or after the given one.
func (b *baseline) firstUsable(at int, choice *gypsumrail.Choice) (int, gypsumrail.Reason) {
	list := b.upstreams[choice.Service]
	for i := range list {
		if j := (at + i) % len(list); usable(&list[j], choice) {
			return j, gypsumrail.ReasonNone
		}
	}
	return 0, gypsumrail.ReasonNoUpstream
}

func usable(u *gypsumrail.Upstream, choice *gypsumrail.Choice) bool {
	if u.Instance.State == gypsumrail.Leaving || slices.Contains(choice.Exclude, u.Instance.Name) {
		return false
	}
	for _, name := range choice.Capabilities {
		if !slices.Contains(u.Capabilities, name) {
			return false
		}
	}
	return true
}

// HasRoom reports whether an upstream is usable. It ignores the load.
func (b *baseline) HasRoom(_ gypsumrail.Millis, choice gypsumrail.Choice) bool {
	_, reason := b.firstUsable(0, &choice)
	return reason == gypsumrail.ReasonNone
}

// Sent does nothing.
func (*baseline) Sent(gypsumrail.Millis, string) {}

// Answered does nothing.
func (*baseline) Answered(gypsumrail.Millis, string, gypsumrail.Millis, *gypsumrail.Report) {}

// Failed does nothing.
func (*baseline) Failed(gypsumrail.Millis, string, gypsumrail.Reason) {}

// RateLimit returns 0: the baselines ignore reports.
func (*baseline) RateLimit(gypsumrail.Millis, string) float64 { return 0 }

// Explain returns for each upstream whether it is usable, in the order of the list.
func (b *baseline) Explain(_ gypsumrail.Millis, choice gypsumrail.Choice) []gypsumrail.Explained {
	var out []gypsumrail.Explained
	for _, u := range b.upstreams[choice.Service] {
		e := gypsumrail.Explained{Instance: u.Instance.Name, Zone: u.Instance.Zone, Limit: u.Slots, Usable: usable(&u, &choice)}
		e.Why = "leaving, excluded or without a needed capability"
		if e.Usable {
			e.Why = "usable"
		}
		out = append(out, e)
	}
	return out
}
