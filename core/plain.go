package core

import (
	"slices"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/retry"
)

// plainAllowance is the number of retries of one plain user request over its
// whole chain, as the two deployments' own classes have. Attempts at one hop are
// bounded by the class as well.
const plainAllowance = 3

// isPlain tells whether requests of a class are recognized by host and path.
func isPlain(class *gypsumrail.Class) bool { return class.Route.Host != "" }

// describeChild fills in an outgoing plain request of the own target. It is of a
// class of its own, but as important as the user request that it is made for.
func (n *Node) describeChild(s *send, parent *serve, class *gypsumrail.Class) gypsumrail.Reason {
	s.class = class
	s.service = n.partFor(class)
	if !n.knowsService(s.service) {
		return gypsumrail.ReasonUnknownName
	}
	if class.Timeout > 0 {
		s.deadline = min(s.deadline, n.now+class.Timeout)
	}
	s.kept = n.settings.KeepChildren && slices.Contains(parent.used, s.service)
	n.noteUse(parent.class.Name, s.service)
	n.noteUse(parent.class.Name, n.usesOf(class.Name)...)
	return gypsumrail.ReasonNone
}

// allowanceOf returns the retries of a request that enters the call graph.
func allowanceOf(class *gypsumrail.Class, attempt int) retry.Allowance {
	if isPlain(class) && class.Allowance == 0 {
		return retry.AtEntry(plainAllowance, attempt)
	}
	return retry.AtEntry(class.Allowance, attempt)
}

// mayUseAnother tells whether the class allows one more target for a call.
func mayUseAnother(s *send) bool {
	return s.class.AttemptsMax == 0 || len(s.tries)-s.refusals < s.class.AttemptsMax
}

// markUsed records with the call that made this one that its service answered.
func (n *Node) markUsed(s *send) {
	if parent := n.serves[s.parent]; parent != nil && s.parent != 0 && !slices.Contains(parent.used, s.service) {
		parent.used = append(parent.used, s.service)
	}
}
