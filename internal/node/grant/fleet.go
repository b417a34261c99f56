package grant

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumrail/gypsumrail"
)

// historyTime is how long a larger number of instances stays in use after the list
// became shorter: an instance that left the list may run on and use its share.
const historyTime = gypsumrail.Minute

// fleet is what a node knows of the instances.
type fleet struct {
	known   bool                  // an instance list was set
	listed  []gypsumrail.Instance // set, but not yet used by update; nil otherwise
	self    gypsumrail.Instance
	owns    bool // the list names self; the shares of the listed instances add up to 1
	count   int
	history []formerCount                  // larger former counts, in descending order
	brokers map[string]gypsumrail.Instance // that this node may delegate to or ask
	order   []string                       // brokers that this node may delegate to, in order of preference
	foreign []string                       // first brokers of other nodes, in all zones
}

// formerCount is a number of instances and the time at which it was last in force.
type formerCount struct {
	count int
	until gypsumrail.Millis
}

// set replaces the instances.
func (f *fleet) set(now gypsumrail.Millis, self gypsumrail.Instance, listed []gypsumrail.Instance) {
	count := machines(listed)
	f.owns = slices.ContainsFunc(listed, func(i gypsumrail.Instance) bool { return i.Name == self.Name })
	if f.known && f.count > count {
		f.remember(now)
	}
	f.known, f.count, f.self, f.listed = true, count, self, listed
}

// machines returns the number of different addresses in a list. While targets are replaced,
// the list holds two instances for one node, which owns one share.
func machines(listed []gypsumrail.Instance) int {
	known := make(map[string]bool, len(listed))
	for _, i := range listed {
		known[cmp.Or(i.Address, i.Name)] = true
	}
	return len(known)
}

// update chooses the brokers after a change of the list. It reports whether there was one.
// Nodes without limits do not need it.
func (f *fleet) update() bool {
	if f.listed == nil {
		return false
	}
	listed, self := f.listed, f.self
	f.listed = nil
	zones := map[string][]string{}
	f.brokers = map[string]gypsumrail.Instance{}
	for _, i := range listed {
		if i.State != gypsumrail.Leaving && i.Address != "" {
			zones[i.Zone] = append(zones[i.Zone], i.Name)
			f.brokers[i.Name] = i
		}
	}
	f.order, f.foreign = f.order[:0], f.foreign[:0]
	most := max(1, brokersMax/max(1, len(zones)))
	for zone, names := range zones {
		slices.SortFunc(names, func(a, b string) int {
			return cmp.Or(cmp.Compare(xxhash.Sum64String(b), xxhash.Sum64String(a)), cmp.Compare(a, b))
		})
		first := names[:min(most, (len(names)+nodesPerBroker-1)/nodesPerBroker)]
		f.foreign = append(f.foreign, first...)
		if zone == self.Zone {
			f.order = append(f.order, names...)
			sortFor(self.Name, f.order[:len(first)])
		}
	}
	if len(f.order) == 0 && f.owns {
		// All nodes of the zone are leaving. A draining node still serves requests, so it is
		// its own broker.
		f.order = append(f.order, self.Name)
		f.brokers[self.Name] = self
	}
	sortFor(self.Name, f.foreign)
	return true
}

// sortFor sorts names in the rendezvous order for a node.
func sortFor(node string, names []string) {
	weight := func(name string) uint64 { return xxhash.Sum64String(node + "\x00" + name) }
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
}

// remember stores the count in force before it falls. Beyond historyMax counts, the two
// newest become one.
func (f *fleet) remember(now gypsumrail.Millis) {
	former := formerCount{f.count, now}
	f.history = slices.DeleteFunc(f.history, func(h formerCount) bool {
		return h.count <= former.count || now-h.until > historyTime
	})
	if len(f.history) == historyMax {
		f.history[historyMax-1].until = now
		return
	}
	f.history = append(f.history, former)
}

// parts returns n: the highest number of instances of the last minute, or 0 if this node owns
// no share.
func (f *fleet) parts(now gypsumrail.Millis) int {
	if !f.owns {
		return 0
	}
	parts := f.count
	for _, h := range f.history {
		if now-h.until <= historyTime {
			parts = max(parts, h.count)
		}
	}
	return min(parts, partsMax)
}
