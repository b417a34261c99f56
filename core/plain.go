package core

import (
	"slices"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/retry"
)

// plainAllowance is the default number of retries of one plain user request over
// its whole chain. The classes of the two deployments in examples/ have 2 to 5.
// AttemptsMax of the class bounds the attempts at one hop as well.
const plainAllowance = 3

// isPlain reports whether requests of a class are plain HTTP requests, which are
// recognized by host and path.
func isPlain(class *gypsumrail.Class) bool { return class.Route.Host != "" }

// initPlainOutgoingCall sets the class, service and deadline of a plain outgoing call
// of the own target. The call has a class of its own, and the importance of the user
// request that it belongs to.
func (n *Node) initPlainOutgoingCall(s *senderCall, parent *receiverCall, class *gypsumrail.Class) gypsumrail.Reason {
	s.class = class
	if class.Invalid {
		return gypsumrail.ReasonInvalidClass
	}
	s.service = n.partFor(class)
	if !n.knowsService(s.service) {
		return gypsumrail.ReasonUnknownName
	}
	if class.Timeout > 0 {
		s.deadline = min(s.deadline, n.now+class.Timeout)
	}
	s.exempt = n.settings.ExemptChildren && slices.Contains(parent.answeredServices, s.service)
	n.recordUse(parent.class.Name, s.service)
	n.recordUse(parent.class.Name, n.usesOf(class.Name)...)
	return gypsumrail.ReasonNone
}

// allowanceOf returns the retry allowance of a user request that enters the call
// graph here as the given attempt of its caller.
func allowanceOf(class *gypsumrail.Class, attempt int) retry.Allowance {
	if isPlain(class) && class.Allowance == 0 {
		return retry.AtEntry(plainAllowance, attempt)
	}
	return retry.AtEntry(class.Allowance, attempt)
}

// attemptsLeft reports whether the AttemptsMax of the class allows one more
// attempt. Free refusals do not count as attempts.
func attemptsLeft(s *senderCall) bool {
	return s.class.AttemptsMax == 0 || len(s.attempts)-s.freeRefusals < s.class.AttemptsMax
}

// markAnswered records in the parent call that the service of this call answered. See
// Settings.ExemptChildren.
func (n *Node) markAnswered(s *senderCall) {
	if parent := n.receiverCalls[s.parent]; parent != nil && s.parent != 0 && !slices.Contains(parent.answeredServices, s.service) {
		parent.answeredServices = append(parent.answeredServices, s.service)
	}
}
