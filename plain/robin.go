package plain

import (
	"slices"

	"github.com/gypsumrail/gypsumrail"
)

// Robin chooses the capable upstreams of a service in turn, whatever their load
// and zone. It implements gypsumrail.Router and is not safe for concurrent use.
type Robin struct {
	upstreams map[string][]gypsumrail.Upstream
	next      map[string]int
}

// NewRobin returns a router. The start offsets the turn, so that many nodes that
// start together do not all send their first calls to one upstream.
func NewRobin(start int, services []string) *Robin {
	r := &Robin{upstreams: map[string][]gypsumrail.Upstream{}, next: map[string]int{}}
	for _, service := range services {
		r.next[service] = start
	}
	return r
}

// SetUpstreams replaces the upstreams of a service.
func (r *Robin) SetUpstreams(_ gypsumrail.Millis, service string, upstreams []gypsumrail.Upstream) {
	r.upstreams[service] = slices.Clone(upstreams)
}

// Choose returns the next upstream that has the capabilities and is not excluded.
func (r *Robin) Choose(_ gypsumrail.Millis, choice gypsumrail.Choice) (gypsumrail.Instance, gypsumrail.Reason) {
	all := r.upstreams[choice.Service]
	for step := range all {
		i := (r.next[choice.Service] + step) % len(all)
		if capable(&all[i], choice.Capabilities) && !slices.Contains(choice.Exclude, all[i].Instance.Name) {
			r.next[choice.Service] = i + 1
			return all[i].Instance, gypsumrail.ReasonNone
		}
	}
	return gypsumrail.Instance{}, gypsumrail.ReasonNoUpstream
}

func capable(upstream *gypsumrail.Upstream, needs []string) bool {
	if upstream.Instance.State == gypsumrail.Leaving {
		return false
	}
	for _, need := range needs {
		if !slices.Contains(upstream.Capabilities, need) {
			return false
		}
	}
	return true
}

// HasRoom returns true, as nothing is known of the load.
func (r *Robin) HasRoom(gypsumrail.Millis, gypsumrail.Choice) bool { return true }

// Sent ignores the call.
func (r *Robin) Sent(gypsumrail.Millis, string) {}

// Answered ignores the answer.
func (r *Robin) Answered(gypsumrail.Millis, string, gypsumrail.Millis, *gypsumrail.Report) {}

// Failed ignores the failure.
func (r *Robin) Failed(gypsumrail.Millis, string, gypsumrail.Reason) {}

// Explain returns the state of each upstream.
func (r *Robin) Explain(_ gypsumrail.Millis, choice gypsumrail.Choice) []gypsumrail.Explained {
	var explained []gypsumrail.Explained
	for i := range r.upstreams[choice.Service] {
		u := &r.upstreams[choice.Service][i]
		e := gypsumrail.Explained{Instance: u.Instance.Name, Zone: u.Instance.Zone, Usable: true, Why: "in turn"}
		if !capable(u, choice.Capabilities) {
			e.Usable, e.Why = false, "it lacks a capability or is leaving"
		}
		explained = append(explained, e)
	}
	return explained
}
