package core

import "github.com/gypsumrail/gypsumrail"

// blindMax is how long a new node waits for the list of instances, as it does
// for its records. After that it serves what it can.
const blindMax = 5 * gypsumrail.Second

// blind tells whether a new node has no records yet, or no list of instances
// while the class uses other services than the own. A call that ran here would
// fail at its first outgoing call, while other nodes can serve it.
func (n *Node) blind(class *gypsumrail.Class) bool {
	if n.listed && n.records != nil || n.now-n.clocks.began >= blindMax {
		return false
	}
	if n.records == nil {
		return !n.defaults
	}
	for _, service := range class.Uses {
		if service != n.self.Service {
			return true
		}
	}
	return false
}
