// Package oracle computes which requests of a scenario could have been answered
// by a controller that knows all capacities, faults and deadlines in advance.
//
// All policies are compared with this result, so its assumptions are part of
// every stated outcome:
//
//   - Time is divided into windows of one second. In each window a service offers
//     slot time: the slots of its targets times the length of the window. A target
//     that is down or refuses calls offers nothing. One that is slower than the
//     fastest target of the service offers its slots divided by the ratio of their
//     factors. A class that needs capabilities is also limited to the slot time of
//     the capable targets.
//   - A request uses, at each service, the mean time for which a call holds a slot:
//     the mean service time plus the time of its outgoing calls, without any
//     waiting and without delays between nodes. The oracle uses means and not the
//     work of single requests, so it cannot select the short ones.
//   - A request starts in the window of its arrival or, if its deadline allows, in
//     a later one. All its slot time is charged to that window. The check of the
//     deadline uses the request's own work, at the speed of the fastest targets,
//     plus the delay to the client and back.
//   - Requests are admitted by importance over the whole scenario, then by
//     arrival. Clients do not retry, no message is lost, and no target has a slow
//     start except after a restart by a fault.
//
// A policy can exceed the oracle slightly, for example when the work in a window
// is less than the means predict.
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
	windowLength = loads.Micros(1_000_000)
	// samplesPerWindow is the number of evenly spaced times in a window at which
	// the conditions of targets are sampled.
	samplesPerWindow = 10
)

// pool is the slot time that one set of targets offers. Each distinct set of
// targets that a class can use has a pool; a target can be in several.
type pool struct {
	targets   []string  // names, sorted
	remaining []float64 // slot time in microseconds that is not charged yet, by window
}

// service holds the capacity of one service.
type service struct {
	pools    []*pool
	slowdown []float64 // factor of the fastest target, by window; 0 if none accepts calls
}

// oracle is the state of one computation.
type oracle struct {
	options      Options
	records      *gypsumrail.Records
	services     map[string]*service
	poolsByClass map[string][][]*pool // by class name: the pools of each call in the tree
	// slotTimes holds, by class, window and call of the tree, the mean time in
	// microseconds for which the call holds a slot.
	slotTimes   map[string][][]float64
	windows     int
	clientDelay loads.Micros
}

// Options restrict the oracle.
type Options struct {
	// NoWaiting lets a request start only in the window of its arrival. A request
	// that the oracle answers only without this option has to wait for a later
	// window.
	NoWaiting bool
}

// Answerable returns, for each request, whether the oracle answers it in time.
func Answerable(file *trace.File, requests []loads.Request, options Options) []bool {
	end := loads.FromMillis(file.Header.Until)
	for i := range requests {
		end = max(end, requests[i].Deadline())
	}
	o := &oracle{
		options:      options,
		records:      file.Records,
		services:     map[string]*service{},
		poolsByClass: map[string][][]*pool{},
		slotTimes:    map[string][][]float64{},
		windows:      int(end/windowLength) + 1,
		clientDelay:  loads.FromFloatMillis(file.Header.Delays.ClientMillis),
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

// addService computes the capacity of a service: one pool for each distinct set of
// targets that a class can use, and one for all targets.
func (o *oracle) addService(file *trace.File, name string) {
	s := &service{slowdown: make([]float64, o.windows)}
	o.services[name] = s
	var sets [][]string
	for _, class := range slices.Sorted(maps.Keys(file.Records.Classes)) {
		sets = append(sets, file.Records.Classes[class].Capabilities[name])
	}
	for _, needs := range append(sets, nil) {
		targets := o.capable(name, needs)
		if slices.ContainsFunc(s.pools, func(p *pool) bool { return slices.Equal(p.targets, targets) }) {
			continue
		}
		s.pools = append(s.pools, &pool{targets: targets, remaining: make([]float64, o.windows)})
	}
	plans := map[string]fakes.Plan{}
	for target, t := range file.Records.Targets {
		if t.Service == name {
			plans[target] = fakes.NewPlan(file, t)
		}
	}
	for w := range o.windows {
		o.computeCapacity(s, plans, w)
	}
}

// computeCapacity computes the slot time that the targets offer in one window.
func (o *oracle) computeCapacity(s *service, plans map[string]fakes.Plan, w int) {
	conditionAt := func(plan fakes.Plan, sample int) *fakes.Condition {
		return plan.At(loads.Micros(w)*windowLength + windowLength*loads.Micros(sample)/samplesPerWindow)
	}
	for _, plan := range plans {
		for sample := range samplesPerWindow {
			if c := conditionAt(plan, sample); !c.Down && !c.Refuses && (s.slowdown[w] == 0 || c.Factor < s.slowdown[w]) {
				s.slowdown[w] = c.Factor
			}
		}
	}
	for _, target := range slices.Sorted(maps.Keys(plans)) {
		offered := 0.0
		for sample := range samplesPerWindow {
			if c := conditionAt(plans[target], sample); !c.Down && !c.Refuses {
				offered += float64(c.Slots) * s.slowdown[w] / c.Factor * float64(windowLength) / samplesPerWindow
			}
		}
		for _, p := range s.pools {
			if slices.Contains(p.targets, target) {
				p.remaining[w] += offered
			}
		}
	}
}

// admit charges a request to the first window that has enough slot time left and
// from which it meets its deadline. It returns false if there is none.
func (o *oracle) admit(request *loads.Request) bool {
	class := request.Tree.Class
	pools := o.treePools(request.Tree)
	first := int(request.At / windowLength)
	for w := first; w < o.windows; w++ {
		if w > first && o.options.NoWaiting {
			return false
		}
		start := max(request.At, loads.Micros(w)*windowLength)
		if start > request.Deadline() {
			return false
		}
		serviceTime, ok := o.serviceTime(request, 0, w)
		if !ok || start+serviceTime+2*o.clientDelay > request.Deadline() {
			continue
		}
		slotTimes := o.slotTimes[class.Name][w]
		if charge(pools, slotTimes, w) {
			return true
		}
	}
	return false
}

// charge subtracts the slot times of a request from its pools if all have enough
// left.
func charge(pools [][]*pool, slotTimes []float64, w int) bool {
	// A service can be called more than once, so only charging shows whether a pool
	// has enough left for all calls. A failed charge is undone.
	for i, list := range pools {
		for j, p := range list {
			if p.remaining[w] >= slotTimes[i] {
				p.remaining[w] -= slotTimes[i]
				continue
			}
			for _, q := range list[:j] {
				q.remaining[w] += slotTimes[i]
			}
			for k := range i {
				for _, q := range pools[k] {
					q.remaining[w] += slotTimes[k]
				}
			}
			return false
		}
	}
	return true
}

// treePools returns the pools to charge for each call of a tree. On the first use
// of a class it also computes the slot times of the calls for every window.
func (o *oracle) treePools(tree *loads.Tree) [][]*pool {
	class := tree.Class
	if cached := o.poolsByClass[class.Name]; cached != nil {
		return cached
	}
	var lists [][]*pool
	for i := range tree.Calls {
		lists = append(lists, o.poolsContaining(tree.Calls[i].Service, class))
	}
	o.poolsByClass[class.Name] = lists
	for w := range o.windows {
		slotTimes := make([]float64, len(tree.Calls))
		o.computeSlotTimes(tree, 0, w, slotTimes)
		o.slotTimes[class.Name] = append(o.slotTimes[class.Name], slotTimes)
	}
	return lists
}

// poolsContaining returns the pools that contain all targets that are capable of
// serving the class.
func (o *oracle) poolsContaining(name string, class *gypsumrail.Class) []*pool {
	capableTargets := o.capable(name, class.Capabilities[name])
	var pools []*pool
	for _, p := range o.services[name].pools {
		if !slices.ContainsFunc(capableTargets, func(target string) bool { return !slices.Contains(p.targets, target) }) {
			pools = append(pools, p)
		}
	}
	return pools
}

// capable returns the targets of a service that have all of the capabilities.
func (o *oracle) capable(name string, needs []string) []string {
	var names []string
	for _, target := range slices.Sorted(maps.Keys(o.records.Targets)) {
		if t := o.records.Targets[target]; t.Service == name && len(record.MissingCapabilities(t, needs)) == 0 {
			names = append(names, target)
		}
	}
	return names
}

// computeSlotTimes computes the mean time for which a call and its outgoing calls
// each hold a slot. It returns that of the call itself.
func (o *oracle) computeSlotTimes(tree *loads.Tree, call, w int, slotTimes []float64) float64 {
	c := &tree.Calls[call]
	total := float64(c.MeanWork()) * o.services[c.Service].slowdown[w]
	for _, step := range c.Steps {
		longest := 0.0
		for _, child := range step {
			longest = max(longest, o.computeSlotTimes(tree, child, w, slotTimes))
		}
		total += longest
	}
	slotTimes[call] = total
	return total
}

// serviceTime returns the time that a call of a request takes, with its outgoing
// calls, if it never waits. It returns false if no target of a service that it
// needs accepts calls in the window.
func (o *oracle) serviceTime(request *loads.Request, call, w int) (loads.Micros, bool) {
	c := &request.Tree.Calls[call]
	slowdown := o.services[c.Service].slowdown[w]
	if slowdown == 0 {
		return 0, false
	}
	total := loads.Micros(float64(request.Work[call]) * slowdown)
	for _, step := range c.Steps {
		longest := loads.Micros(0)
		for _, child := range step {
			childTime, ok := o.serviceTime(request, child, w)
			if !ok {
				return 0, false
			}
			longest = max(longest, childTime)
		}
		total += longest
	}
	return total, true
}
