package core

import (
	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/retry"
)

// callsMax bounds the calls that one node holds in each role. New calls beyond
// it are refused with the reason Overload. The bound is far above the few hundred
// calls that a small instance serves at once.
const callsMax = 16384

// senderCall is a call in the sender role: a call of an external caller or of
// the own target, from its arrival until its answer is passed on.
type senderCall struct {
	call          gypsumrail.CallID
	origin        gypsumrail.Origin
	parent        gypsumrail.CallID // FromTarget: the call that the target is running; 0 if there is none
	request       string            // identity of the user request
	fingerprint   uint64            // equal in a resend of the same request
	service       string
	class         *gypsumrail.Class
	level         gypsumrail.Level
	importance    gypsumrail.Importance
	account       string
	use           float64           // usage of the account at the arrival, if useKnown
	useKnown      bool              // the level follows from use
	deadline      gypsumrail.Millis // point in time
	arrived       gypsumrail.Millis // point in time
	invested      gypsumrail.Millis // work done for the user request before this call
	hop           int               // calls above this one in the chain
	exempt        bool              // from the thresholds of upstreams
	home          bool              // another zone refused it, so it stays in its own
	bytes         int               // size of the request; 0 if unknown
	attempt       int               // the caller's attempt number, from 1
	allowance     retry.Allowance
	parentPortion retry.Portion // the part of the parent's allowance that this call holds
	attempts      []callAttempt
	tried         []string       // names of the upstreams in attempts
	mayHaveRun    bool           // an attempt ended without a certain outcome
	answering     bool           // the body of the answer is being passed on
	freeRefusals  int            // refusals that took nothing from the allowance and the retry budget
	key           gypsumrail.Key // of a non-repeatable call
	keyText       string         // key as it is sent; empty if the call has none
	ownKey        bool           // this node made the key, so it may try another home with a new key
	knownNotRun   bool           // no attempt has run: the home said so, or the call came without a key
	resolving     bool           // waits for the answer to an AskResolve
	hasGrant      bool           // holds a token of its account's rate limit
	grantExpires  gypsumrail.Millis
	awaitsGrant   bool              // waits for a token; no attempt was made
	grantWait     gypsumrail.Millis // with OverLimit: until the broker expects a token
	epochAsks     int               // upstreams that were asked for their epoch, at most epochAsksMax
}

// callAttempt is one attempt of a call.
type callAttempt struct {
	upstream    gypsumrail.Instance
	sent        gypsumrail.Millis // point in time
	portion     retry.Portion     // the part of the call's allowance that this attempt carries
	open        bool              // no result yet, or the body of its answer is being passed on
	local       bool              // the upstream is the own target
	slowed      bool              // the machine of the upstream was slow when the attempt ended
	onTrial     bool              // the call was suspected when the attempt was sent; see Crash.OnTrial
	homeAttempt gypsumrail.HomeAttempt
}

// receiverCall is a call in the receiver role: a call for the own target, from
// its admission until the target is done with it.
type receiverCall struct {
	call             gypsumrail.CallID
	local            bool                // this node has the sender role of the call as well
	chosen           gypsumrail.Instance // local: the instance that the router chose
	service          string
	class            *gypsumrail.Class
	request          string
	fingerprint      uint64
	account          string
	level            gypsumrail.Level
	importance       gypsumrail.Importance
	deadline         gypsumrail.Millis // point in time
	invested         gypsumrail.Millis // work done for the user request before this call
	hop              int               // calls above this one in the chain
	exempt           bool              // from the threshold of this node
	foreign          bool              // a client's request that another zone sent; see Settings.ForeignShare
	allowance        retry.Allowance   // for the call's own outgoing calls
	started          gypsumrail.Millis // point in time
	workStarted      float64           // limit.Slowdown.Work at started
	inFlight         int               // running calls when this one started, itself included
	running          bool
	onTrial          bool // it was suspected when its run began; see Crash.OnTrial
	answered         bool
	overloaded       bool // the target shed the call itself; see isOverloadStatus
	succeeded        bool // the head of the target's answer states no failure of the target
	canceled         bool
	keyed            bool // the ledger records its refusal or its end
	key              gypsumrail.Key
	keyText          string
	homeAttempt      gypsumrail.HomeAttempt
	children         []gypsumrail.CallID // open outgoing calls of the target
	childSince       gypsumrail.Millis   // since when children is not empty
	childWait        gypsumrail.Millis   // time spent with open outgoing calls before childSince
	childFailed      bool                // an outgoing call failed, and the target may pass the failure on
	answeredServices []string            // services that answered an outgoing call; see Settings.ExemptChildren
	childKeys        []string            // idempotency keys of the outgoing calls
}

// deadlineEntry is an entry of the tree that orders calls by deadline.
type deadlineEntry struct {
	at   gypsumrail.Millis
	call gypsumrail.CallID
}

// deadlinesDegree is the degree of the B-tree of deadlines. 32 keeps a node of the tree
// in a few cache lines.
const deadlinesDegree = 32

// deadlineLess orders calls by deadline, and by identity where deadlines are equal.
func deadlineLess(a, b deadlineEntry) bool {
	if a.at != b.at {
		return a.at < b.at
	}
	return a.call < b.call
}

// newSenderCall returns an empty call in the sender role, from the pool if it
// has one.
func (n *Node) newSenderCall(call gypsumrail.CallID) *senderCall {
	var s *senderCall
	if last := len(n.senderPool) - 1; last >= 0 {
		s = n.senderPool[last]
		n.senderPool = n.senderPool[:last]
		*s = senderCall{attempts: s.attempts[:0], tried: s.tried[:0]}
	} else {
		s = &senderCall{}
	}
	s.call = call
	return s
}

// newReceiverCall returns an empty call in the receiver role, from the pool if
// it has one.
func (n *Node) newReceiverCall(call gypsumrail.CallID) *receiverCall {
	var v *receiverCall
	if last := len(n.receiverPool) - 1; last >= 0 {
		v = n.receiverPool[last]
		n.receiverPool = n.receiverPool[:last]
		*v = receiverCall{children: v.children[:0], childKeys: v.childKeys[:0], answeredServices: v.answeredServices[:0]}
	} else {
		v = &receiverCall{}
	}
	v.call = call
	return v
}

// addSenderCall registers a call in the sender role, with its deadline, its request
// and its parent.
func (n *Node) addSenderCall(s *senderCall) {
	n.senderCalls[s.call] = s
	n.deadlines.ReplaceOrInsert(deadlineEntry{s.deadline, s.call})
	if s.origin == gypsumrail.FromCaller {
		if _, taken := n.requests[s.request]; !taken {
			n.requests[s.request] = s.call
		}
	}
	if parent := n.receiverCalls[s.parent]; parent != nil && s.parent != 0 {
		if len(parent.children) == 0 {
			parent.childSince = n.now
		}
		parent.children = append(parent.children, s.call)
	}
}

// dropSenderCall removes a call in the sender role. What is left of its
// allowance goes back to the call that made it.
func (n *Node) dropSenderCall(s *senderCall) {
	delete(n.senderCalls, s.call)
	n.stopAwaitingGrant(s)
	n.deadlines.Delete(deadlineEntry{s.deadline, s.call})
	if n.requests[s.request] == s.call {
		delete(n.requests, s.request)
	}
	for alias, onto := range n.aliases {
		if onto == s.call {
			delete(n.aliases, alias)
		}
	}
	if parent := n.receiverCalls[s.parent]; parent != nil && s.parent != 0 {
		parent.allowance.Return(&s.parentPortion, s.allowance.Left())
		parent.dropChild(s.call)
		if len(parent.children) == 0 {
			parent.childWait += n.now - parent.childSince
		}
	}
	n.senderPool = append(n.senderPool, s)
}

// dropChild removes an outgoing call from the open ones.
func (v *receiverCall) dropChild(call gypsumrail.CallID) {
	for i, child := range v.children {
		if child == call {
			v.children = append(v.children[:i], v.children[i+1:]...)
			return
		}
	}
}

// dropReceiverCall removes a call in the receiver role.
func (n *Node) dropReceiverCall(v *receiverCall) {
	delete(n.receiverCalls, v.call)
	if !v.local {
		n.deadlines.Delete(deadlineEntry{v.deadline, v.call})
	}
	n.receiverPool = append(n.receiverPool, v)
}

// followAlias returns the call whose answer goes to the caller of call. The two
// differ for a resend that was joined to a running call.
func (n *Node) followAlias(call gypsumrail.CallID) gypsumrail.CallID {
	if onto, ok := n.aliases[call]; ok {
		return onto
	}
	return call
}

// openAttempt returns an attempt by its number from 1, or nil if it is unknown
// or ended.
func (s *senderCall) openAttempt(attempt int) *callAttempt {
	if attempt < 1 || attempt > len(s.attempts) || !s.attempts[attempt-1].open {
		return nil
	}
	return &s.attempts[attempt-1]
}
