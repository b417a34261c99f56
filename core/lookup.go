package core

import "github.com/gypsumrail/gypsumrail"

// defaultClass serves calls while no records are known. It is not repeatable
// and in the lower half of the importances, so that it can neither run twice nor
// displace what the records will rank.
var defaultClass = &gypsumrail.Class{
	Name:       "Default",
	Importance: 3,
	Deadline:   2 * gypsumrail.Second,
}

// class returns a class of the records in force, or the default class while
// there are none.
func (n *Node) class(name string) (*gypsumrail.Class, bool) {
	if n.records == nil {
		return defaultClass, true
	}
	class, ok := n.records.Classes[name]
	return class, ok
}

// service returns a service of the records in force, or nil.
func (n *Node) service(name string) *gypsumrail.Service {
	if n.records == nil {
		return nil
	}
	return n.records.Services[name]
}

func (n *Node) knowsService(name string) bool {
	return n.records == nil || n.records.Services[name] != nil
}

// allHints returns the hints for callers, made at most once in a step.
func (n *Node) allHints() []gypsumrail.Hint {
	if len(n.hints) == 0 {
		n.hints = n.parts.Shedder.Hints(n.now, hintsMax, n.hints)
	}
	return n.hints
}

// hintsMax bounds the hints on one answer; a chain of the target size is 11 deep.
const hintsMax = 16

// ownReport returns what this node tells about itself, made at most once in a step.
func (n *Node) ownReport() *gypsumrail.Report {
	if !n.reported {
		n.reported = true
		n.sequence++
		n.report = n.currentReport()
	}
	return &n.report
}

func (n *Node) currentReport() gypsumrail.Report {
	return gypsumrail.Report{
		Instance:    n.self.Name,
		Incarnation: n.self.Incarnation,
		Sequence:    n.sequence,
		Limit:       n.parts.Limiter.Limit(),
		InFlight:    n.running,
		Queued:      n.parts.Queue.Len(),
		Threshold:   n.parts.Shedder.Threshold(),
		Epoch:       n.parts.Ledger.Epoch(n.now),
		Leaving:     n.draining,
	}
}
