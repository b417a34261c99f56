package core

import (
	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/retry"
)

// callsMax bounds the calls that one node holds in each role. A small instance
// serves a few hundred calls at once; beyond the bound new calls are refused.
const callsMax = 16384

// send is a call in the sender role.
type send struct {
	call        gypsumrail.CallID
	origin      gypsumrail.Origin
	parent      gypsumrail.CallID
	request     string
	fingerprint uint64
	service     string
	class       *gypsumrail.Class
	level       gypsumrail.Level
	importance  gypsumrail.Importance
	tenant      string
	deadline    gypsumrail.Millis
	arrived     gypsumrail.Millis
	invested    gypsumrail.Millis
	hop         int
	kept        bool // exempt from thresholds
	attempt     int  // the caller's
	allowance   retry.Allowance
	fromParent  retry.Portion // what the allowance took from that of the parent
	tries       []try
	tried       []string
	mayHaveRun  bool // an attempt ended without a certain outcome
	answering   bool
	refusals    int            // of nodes, that took nothing from the retry budget
	key         gypsumrail.Key // of a non-repeatable call
	keyText     string
	ownKey      bool // the key was made here, so another home may be tried with a new key
	homeSpoke   bool // the home itself said that the key has not run
	resolving   bool
	epochAsks   int // homes that were asked for their epoch, at most epochAsksMax
}

// try is one attempt of a call.
type try struct {
	upstream gypsumrail.Instance
	sent     gypsumrail.Millis
	portion  retry.Portion
	open     bool
	local    bool // the upstream is the own target
	attempt  gypsumrail.HomeAttempt
}

// serve is a call in the receiver role.
type serve struct {
	call        gypsumrail.CallID
	local       bool                // the sender role of the call is at this node
	meant       gypsumrail.Instance // local: the instance that was chosen
	service     string
	class       *gypsumrail.Class
	request     string
	tenant      string
	level       gypsumrail.Level
	importance  gypsumrail.Importance
	deadline    gypsumrail.Millis
	invested    gypsumrail.Millis
	hop         int
	kept        bool            // exempt from thresholds
	allowance   retry.Allowance // for the call's own outgoing calls
	started     gypsumrail.Millis
	inFlight    int // when it started
	running     bool
	answered    bool
	refused     bool // the target answered that it is overloaded
	canceled    bool
	keyed       bool
	key         gypsumrail.Key
	keyText     string
	homeAttempt gypsumrail.HomeAttempt
	children    []gypsumrail.CallID
	childSince  gypsumrail.Millis
	childWait   gypsumrail.Millis
	childFailed bool     // an outgoing call had no answer, which the target may pass on
	used        []string // services that answered outgoing calls
	childKeys   []string // idempotency keys that the target used for outgoing calls
}

// due orders calls by the time at which they must be looked at.
type due struct {
	at   gypsumrail.Millis
	call gypsumrail.CallID
}

// dueDegree is the fan-out of the tree of deadlines; 32 keeps a node of it in a few cache lines.
const dueDegree = 32

func dueLess(a, b due) bool {
	if a.at != b.at {
		return a.at < b.at
	}
	return a.call < b.call
}

func (n *Node) newSend(call gypsumrail.CallID) *send {
	var s *send
	if last := len(n.sendPool) - 1; last >= 0 {
		s = n.sendPool[last]
		n.sendPool = n.sendPool[:last]
		*s = send{tries: s.tries[:0], tried: s.tried[:0]}
	} else {
		s = &send{}
	}
	s.call = call
	return s
}

func (n *Node) newServe(call gypsumrail.CallID) *serve {
	var v *serve
	if last := len(n.pool) - 1; last >= 0 {
		v = n.pool[last]
		n.pool = n.pool[:last]
		*v = serve{children: v.children[:0], childKeys: v.childKeys[:0], used: v.used[:0]}
	} else {
		v = &serve{}
	}
	v.call = call
	return v
}

// holdSend registers a call in the sender role.
func (n *Node) holdSend(s *send) {
	n.sends[s.call] = s
	n.due.ReplaceOrInsert(due{s.deadline, s.call})
	if s.origin == gypsumrail.FromCaller {
		if _, taken := n.requests[s.request]; !taken {
			n.requests[s.request] = s.call
		}
	}
	if parent := n.serves[s.parent]; parent != nil && s.parent != 0 {
		if len(parent.children) == 0 {
			parent.childSince = n.now
		}
		parent.children = append(parent.children, s.call)
	}
}

// dropSend forgets a call in the sender role and returns what is left of its
// allowance to the call that made it.
func (n *Node) dropSend(s *send) {
	delete(n.sends, s.call)
	n.due.Delete(due{s.deadline, s.call})
	if n.requests[s.request] == s.call {
		delete(n.requests, s.request)
	}
	for alias, onto := range n.aliases {
		if onto == s.call {
			delete(n.aliases, alias)
		}
	}
	if parent := n.serves[s.parent]; parent != nil && s.parent != 0 {
		parent.allowance.Return(&s.fromParent, s.allowance.Left())
		parent.dropChild(s.call)
		if len(parent.children) == 0 {
			parent.childWait += n.now - parent.childSince
		}
	}
	n.sendPool = append(n.sendPool, s)
}

func (v *serve) dropChild(call gypsumrail.CallID) {
	for i, child := range v.children {
		if child == call {
			v.children = append(v.children[:i], v.children[i+1:]...)
			return
		}
	}
}

// dropServe forgets a call in the receiver role.
func (n *Node) dropServe(v *serve) {
	delete(n.serves, v.call)
	if !v.local {
		n.due.Delete(due{v.deadline, v.call})
	}
	n.pool = append(n.pool, v)
}

// resolveAlias returns the call that holds the answer for a joined resend.
func (n *Node) resolveAlias(call gypsumrail.CallID) gypsumrail.CallID {
	if onto, ok := n.aliases[call]; ok {
		return onto
	}
	return call
}

// try returns an open attempt, or nil if the attempt is unknown or ended.
func (s *send) try(attempt int) *try {
	if attempt < 1 || attempt > len(s.tries) || !s.tries[attempt-1].open {
		return nil
	}
	return &s.tries[attempt-1]
}
