package core

import (
	"slices"

	"github.com/gypsumrail/gypsumrail"
)

// split deals the calls of one class to the services that share it, by smooth
// weighted round robin: over any number of calls each part is within one call of
// its exact share, which a draw at random is not.
type split struct {
	parts  []gypsumrail.Part
	credit []int
}

// partFor returns the service for the next call of a class. A part that is full
// refuses its calls; they are not moved to another, because the weights are the
// operators' decision.
func (n *Node) partFor(class *gypsumrail.Class) string {
	if len(class.Split) == 0 {
		return class.Service
	}
	s := n.splits[class.Name]
	if s == nil || !slices.Equal(s.parts, class.Split) {
		s = &split{parts: class.Split, credit: make([]int, len(class.Split))}
		// Nodes that all began with the heaviest part would together exceed its share
		// until each has dealt a whole round.
		for i := range s.credit {
			s.credit[i] = int(n.random.Uint64() % uint64(max(1, class.Split[i].Weight)))
		}
		n.splits[class.Name] = s
	}
	return s.next()
}

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

// dropSplits forgets the splits of classes that are no longer in force.
func (n *Node) dropSplits() {
	for name := range n.splits {
		if n.records.Classes[name] == nil {
			delete(n.splits, name)
		}
	}
}
