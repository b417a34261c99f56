package core

import "github.com/gypsumrail/gypsumrail"

// defaultClass is the class of all calls while no records are known. It is not
// repeatable, so that no call runs twice. Its importance is in the lower half,
// so that its calls do not displace those of classes that the records rank
// higher.
var defaultClass = &gypsumrail.Class{
	Name:       "Default",
	Importance: 3,
	Deadline:   2 * gypsumrail.Second,
}

// class returns a class of the records in force and whether it exists. While
// there are no records, every name gives the default class.
func (n *Node) class(name string) (*gypsumrail.Class, bool) {
	if n.records == nil {
		return defaultClass, true
	}
	class, ok := n.records.Classes[name]
	return class, ok
}

// service returns a service of the records in force, or nil if there is none.
func (n *Node) service(name string) *gypsumrail.Service {
	if n.records == nil {
		return nil
	}
	return n.records.Services[name]
}

// knowsService reports whether the records in force have the service. While
// there are no records, every name counts as known.
func (n *Node) knowsService(name string) bool {
	return n.records == nil || n.records.Services[name] != nil
}

// allHints returns the hints for callers. They are computed at most once in a
// step.
func (n *Node) allHints() []gypsumrail.Hint {
	if len(n.hints) == 0 {
		n.hints = n.parts.Shedder.Hints(n.now, hintsMax, n.hints)
	}
	return n.hints
}

// hintsMax bounds the hints on one answer. In a fleet of the target size the
// longest chain has 11 calls.
const hintsMax = 16

// ownReport returns this node's report about itself. It is made at most once in
// a step. Each report has a new sequence number.
func (n *Node) ownReport() *gypsumrail.Report {
	if !n.reportMade {
		n.reportMade = true
		n.sequence++
		n.report = n.currentReport()
	}
	return &n.report
}

// currentReport returns a report with the sequence number of the last one.
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
		RateLimit:   n.stated.rate.PerSecond(),
		FaultShare:  n.faults.shareAt(n.now),
		Slowdown:    n.reportedSlowdown(),
	}
}
