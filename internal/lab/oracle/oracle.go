// Package oracle computes which requests of a scenario could have been answered
// by a controller that knows all capacities, faults and deadlines in advance.
//
// The result is the yardstick of all policies, so what it assumes is part of
// every stated outcome:
//
//   - Time is cut into windows of one second. A service offers the slots of its
//     targets times the window; a target that is down offers nothing, and one
//     that is slowed by a factor above that of the fastest target offers its
//     slots divided by the ratio. Classes that need capabilities also only fit
//     into what the capable targets offer.
//   - A request takes, at each service, the mean time for which it holds a slot:
//     the mean service time plus the time that its calls below take, without any
//     waiting and without delays between nodes. The oracle knows means, not the
//     work of single requests, so it cannot pick the short ones.
//   - A request can start in the window of its arrival or, while its deadline
//     allows, in a later one. All its slot time is charged to that window. Whether
//     the deadline allows it is decided with the request's own work, at the speed
//     of the fastest targets, plus the delay to the client and back.
//   - Requests are admitted by importance over the whole scenario, then by
//     arrival. Clients do not retry, nothing is lost and nothing is cold but the
//     targets that a fault restarts.
//
// A policy can exceed the oracle slightly, for example when a window has less
// work than the means say.
package oracle

import (
	"maps"
	"slices"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/lab/fakes"
	"github.com/gypsumrail/gypsumrail/internal/lab/loads"
	"github.com/gypsumrail/gypsumrail/internal/lab/trace"
	"github.com/gypsumrail/gypsumrail/record"
)

const (
	windowSpan = loads.Micros(1_000_000)
	// slices of a window at which the conditions of targets are sampled
	samples = 10
)

// pool is the slot time that one set of targets offers, by window.
type pool struct {
	members []string // names of the targets, in order
	left    []float64
}

// service is what the oracle knows of one service.
type service struct {
	pools  []*pool
	factor []float64 // of the fastest target, by window; 0 if all are down
}

// oracle is the state of one computation.
type oracle struct {
	options  Options
	records  *gypsumrail.Records
	services map[string]*service
	uses     map[string][][]*pool // by class: the pools of each call in the tree
	holds    map[string][][]float64
	windows  int
	client   loads.Micros
}

// Options change what the oracle may do.
type Options struct {
	// NoWaiting lets a request start only in the window of its arrival. The
	// difference to the oracle proper is what could only be answered by holding
	// requests back for a second or more.
	NoWaiting bool
}

// Answerable tells for each request whether the oracle answers it in time.
func Answerable(file *trace.File, requests []loads.Request, options Options) []bool {
	end := loads.Of(file.Header.Until)
	for i := range requests {
		end = max(end, requests[i].Deadline())
	}
	o := &oracle{
		options:  options,
		records:  file.Records,
		services: map[string]*service{},
		uses:     map[string][][]*pool{},
		holds:    map[string][][]float64{},
		windows:  int(end/windowSpan) + 1,
		client:   loads.OfFloat(file.Header.Delays.ClientMillis),
	}
	for name := range file.Records.Services {
		o.addService(file, name)
	}
	answered := make([]bool, len(requests))
	order := make([]int, len(requests))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return int(requests[b].Tree.Class.Importance) - int(requests[a].Tree.Class.Importance)
	})
	for _, i := range order {
		answered[i] = o.admit(&requests[i])
	}
	return answered
}

func (o *oracle) addService(file *trace.File, name string) {
	s := &service{factor: make([]float64, o.windows)}
	o.services[name] = s
	var sets [][]string
	for _, class := range slices.Sorted(maps.Keys(file.Records.Classes)) {
		sets = append(sets, file.Records.Classes[class].Capabilities[name])
	}
	for _, needs := range append(sets, nil) {
		members := o.capable(name, needs)
		if slices.ContainsFunc(s.pools, func(p *pool) bool { return slices.Equal(p.members, members) }) {
			continue
		}
		s.pools = append(s.pools, &pool{members: members, left: make([]float64, o.windows)})
	}
	plans := map[string]fakes.Plan{}
	for target, t := range file.Records.Targets {
		if t.Service == name {
			plans[target] = fakes.NewPlan(file, t)
		}
	}
	for w := range o.windows {
		o.fill(s, plans, w)
	}
}

// fill computes what the targets offer in one window.
func (o *oracle) fill(s *service, plans map[string]fakes.Plan, w int) {
	at := func(plan fakes.Plan, sample int) *fakes.Condition {
		return plan.At(loads.Micros(w)*windowSpan + windowSpan*loads.Micros(sample)/samples)
	}
	for _, plan := range plans {
		for sample := range samples {
			if c := at(plan, sample); !c.Down && !c.Refuses && (s.factor[w] == 0 || c.Factor < s.factor[w]) {
				s.factor[w] = c.Factor
			}
		}
	}
	for _, target := range slices.Sorted(maps.Keys(plans)) {
		offered := 0.0
		for sample := range samples {
			if c := at(plans[target], sample); !c.Down && !c.Refuses {
				offered += float64(c.Slots) * s.factor[w] / c.Factor * float64(windowSpan) / samples
			}
		}
		for _, p := range s.pools {
			if slices.Contains(p.members, target) {
				p.left[w] += offered
			}
		}
	}
}

// admit takes the slot time of a request from the first window that has room.
func (o *oracle) admit(request *loads.Request) bool {
	class := request.Tree.Class
	pools := o.poolsOf(request.Tree)
	first := int(request.At / windowSpan)
	for w := first; w < o.windows; w++ {
		if w > first && o.options.NoWaiting {
			return false
		}
		start := max(request.At, loads.Micros(w)*windowSpan)
		if start > request.Deadline() {
			return false
		}
		length, ok := o.length(request, 0, w)
		if !ok || start+length+2*o.client > request.Deadline() {
			continue
		}
		holds := o.holds[class.Name][w]
		if take(pools, holds, w) {
			return true
		}
	}
	return false
}

// take charges a request to its pools if all have room.
func take(pools [][]*pool, holds []float64, w int) bool {
	// A service can be called more than once, so the charge is undone on failure.
	for i, list := range pools {
		for j, p := range list {
			if p.left[w] >= holds[i] {
				p.left[w] -= holds[i]
				continue
			}
			for _, q := range list[:j] {
				q.left[w] += holds[i]
			}
			for k := range i {
				for _, q := range pools[k] {
					q.left[w] += holds[k]
				}
			}
			return false
		}
	}
	return true
}

// poolsOf returns, for each call of a tree, the pools that its targets are part of.
func (o *oracle) poolsOf(tree *loads.Tree) [][]*pool {
	class := tree.Class
	if known := o.uses[class.Name]; known != nil {
		return known
	}
	var lists [][]*pool
	for i := range tree.Calls {
		lists = append(lists, o.poolsFor(tree.Calls[i].Service, class))
	}
	o.uses[class.Name] = lists
	for w := range o.windows {
		holds := make([]float64, len(tree.Calls))
		o.hold(tree, 0, w, holds)
		o.holds[class.Name] = append(o.holds[class.Name], holds)
	}
	return lists
}

// poolsFor returns the pools that contain all targets able to serve the class.
func (o *oracle) poolsFor(name string, class *gypsumrail.Class) []*pool {
	own := o.capable(name, class.Capabilities[name])
	var pools []*pool
	for _, p := range o.services[name].pools {
		if !slices.ContainsFunc(own, func(target string) bool { return !slices.Contains(p.members, target) }) {
			pools = append(pools, p)
		}
	}
	return pools
}

// capable returns the targets of a service that have all of the capabilities.
func (o *oracle) capable(name string, needs []string) []string {
	var names []string
	for _, target := range slices.Sorted(maps.Keys(o.records.Targets)) {
		if t := o.records.Targets[target]; t.Service == name && len(record.Lacks(t, needs)) == 0 {
			names = append(names, target)
		}
	}
	return names
}

// hold computes the mean time for which each call of a tree holds a slot.
func (o *oracle) hold(tree *loads.Tree, call, w int, holds []float64) float64 {
	c := &tree.Calls[call]
	total := float64(c.MeanWork()) * o.services[c.Service].factor[w]
	for _, step := range c.Steps {
		longest := 0.0
		for _, child := range step {
			longest = max(longest, o.hold(tree, child, w, holds))
		}
		total += longest
	}
	holds[call] = total
	return total
}

// length returns the time that a request takes if it never waits. It is false if
// a service that the request needs has no target.
func (o *oracle) length(request *loads.Request, call, w int) (loads.Micros, bool) {
	c := &request.Tree.Calls[call]
	factor := o.services[c.Service].factor[w]
	if factor == 0 {
		return 0, false
	}
	total := loads.Micros(float64(request.Work[call]) * factor)
	for _, step := range c.Steps {
		longest := loads.Micros(0)
		for _, child := range step {
			below, ok := o.length(request, child, w)
			if !ok {
				return 0, false
			}
			longest = max(longest, below)
		}
		total += longest
	}
	return total, true
}
