package core

import (
	"slices"

	"github.com/gypsumrail/gypsumrail"
)

const (
	// usesLife is how long a service counts as used by a class after a call of the
	// class last used it. Records may move the class to other services.
	usesLife = 30 * gypsumrail.Second
	// usesMax bounds the services that are known of one class; a chain of the
	// target size is 11 deep.
	usesMax = 16
	// usedClassesMax bounds the classes of which services are known.
	usedClassesMax = 1024
)

// uses is what a node has seen of the services below a class whose records do not
// name them: the calls that its own target made for the class, and what answers
// told. A request can then be refused at its entry for a service far below.
type uses struct {
	services []string
	seen     []gypsumrail.Millis
	list     []string // of those that count, made by usesOf
}

// noteUse records that a call of the class used services.
func (n *Node) noteUse(class string, services ...string) {
	if len(services) == 0 {
		return
	}
	u := n.uses[class]
	if u == nil {
		if len(n.uses) >= usedClassesMax {
			return
		}
		u = &uses{}
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

// usesOf returns the services that calls of the class used of late. The slice is
// valid until the next step.
func (n *Node) usesOf(class string) []string {
	u := n.uses[class]
	if u == nil {
		return nil
	}
	u.list = u.list[:0]
	for i, service := range u.services {
		if n.now-u.seen[i] < usesLife {
			u.list = append(u.list, service)
		}
	}
	return u.list
}

// dropUses forgets the classes that are no longer in force.
func (n *Node) dropUses() {
	for name := range n.uses {
		if n.records.Classes[name] == nil {
			delete(n.uses, name)
		}
	}
}
