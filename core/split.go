package core

import (
	"slices"

	"github.com/gypsumrail/gypsumrail"
)

// split distributes the calls of one class over the services that share it, by
// smooth weighted round robin. Over any number of calls each part stays within about
// one call of its exact share; a random choice would not.
type split struct {
	parts  []gypsumrail.Part
	credit []int // current weight of each part
}

// partFor returns the service for the next call of a class. If the chosen
// service is full, the call is refused there and not moved to another part,
// because the operators decide the weights.
func (n *Node) partFor(class *gypsumrail.Class) string {
	if len(class.Split) == 0 {
		return class.Service
	}
	s := n.splits[class.Name]
	if s == nil || !slices.Equal(s.parts, class.Split) {
		s = &split{parts: class.Split, credit: make([]int, len(class.Split))}
		// Starts at a random weight. If all nodes started with the heaviest part, they
		// would together exceed its share until each has completed a round.
		for i := range s.credit {
			s.credit[i] = int(n.random.Uint64() % uint64(max(1, class.Split[i].Weight)))
		}
		n.splits[class.Name] = s
	}
	return s.next()
}

// next returns the service of the next call and updates the current weights.
func (s *split) next() string {
	total, best := 0, 0
	for i, part := range s.parts {
		s.credit[i] += part.Weight
		total += part.Weight
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= total
	return s.parts[best].Service
}

// dropSplits removes the splits of classes that the records in force no longer
// have. It is called after new records are adopted.
func (n *Node) dropSplits() {
	for name := range n.splits {
		if n.records.Classes[name] == nil {
			delete(n.splits, name)
		}
	}
}
