package core

import (
	"slices"

	"github.com/gypsumrail/gypsumrail"
)

const (
	// usesTTL is how long a service counts as used by a class after a call of the
	// class was last seen to use it. The use expires, because records may move the
	// class to other services.
	usesTTL = 30 * gypsumrail.Second
	// usesMax bounds the services remembered for one class. In a fleet of the
	// target size the longest chain has 11 calls.
	usesMax = 16
	// usedClassesMax bounds the classes whose services are remembered.
	usedClassesMax = 1024
)

// serviceUses lists the services that calls of a class were seen to use, for
// classes whose records do not name them. They come from the calls that the own
// target made for the class, and from the answers of upstreams. With them the
// entry node can shed a request that a service several hops below would refuse.
type serviceUses struct {
	services []string
	seen     []gypsumrail.Millis // last use, by the index in services
	recent   []string            // the services seen within usesTTL; buffer of usesOf
}

// recordUse records that a call of the class used services. Beyond usesMax and
// usedClassesMax new names are ignored.
func (n *Node) recordUse(class string, services ...string) {
	if len(services) == 0 {
		return
	}
	u := n.uses[class]
	if u == nil {
		if len(n.uses) >= usedClassesMax {
			return
		}
		u = &serviceUses{}
		n.uses[class] = u
	}
	for _, service := range services {
		if at := slices.Index(u.services, service); at >= 0 {
			u.seen[at] = n.now
		} else if len(u.services) < usesMax {
			u.services = append(u.services, service)
			u.seen = append(u.seen, n.now)
		}
	}
}

// usesOf returns the services that calls of the class used within usesTTL. The
// slice is valid until the next step.
func (n *Node) usesOf(class string) []string {
	u := n.uses[class]
	if u == nil {
		return nil
	}
	u.recent = u.recent[:0]
	for i, service := range u.services {
		if n.now-u.seen[i] < usesTTL {
			u.recent = append(u.recent, service)
		}
	}
	return u.recent
}

// dropUses removes the classes that the records in force no longer have. It is
// called after new records are adopted.
func (n *Node) dropUses() {
	for name := range n.uses {
		if n.records.Classes[name] == nil {
			delete(n.uses, name)
		}
	}
	n.sizes.Keep(func(class string) bool { return n.records.Classes[class] != nil })
}
