package core

import (
	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/retry"
)

// attemptsPerCaller is the number of HomeAttempts for one attempt of a caller.
// The sending node numbers its own attempts within them. Every HomeAttempt of the
// caller's next attempt is therefore above all that any node used for this one.
const attemptsPerCaller = 256

// callArrived adds a call to the sender role, or to the receiver role if a peer
// forwarded it.
func (n *Node) callArrived(event *gypsumrail.Event) {
	arrival := event.Arrival
	if arrival == nil || event.Call == 0 || n.senderCalls[event.Call] != nil || n.receiverCalls[event.Call] != nil {
		n.counts.Dropped++
		return
	}
	if arrival.Origin == gypsumrail.FromPeer {
		n.peerCallArrived(event.Call, arrival)
		return
	}
	n.counts.Arrived++
	s := n.newSenderCall(event.Call)
	s.origin = arrival.Origin
	s.request = arrival.Request
	s.fingerprint = arrival.Fingerprint
	s.service = arrival.Service
	s.account = arrival.Account
	s.bytes = arrival.Bytes
	s.attempt = max(1, arrival.Attempt)
	s.arrived = n.now
	if reason := n.initSenderCall(s, arrival); reason != gypsumrail.ReasonNone {
		n.refuseNew(s, reason)
		return
	}
	if n.mayBeRevoked(s) {
		n.refuseNew(s, gypsumrail.ReasonStaleRecords)
		return
	}
	if n.joinRunning(s) {
		return
	}
	if reason := n.admitSenderCall(s, arrival); reason != gypsumrail.ReasonNone {
		n.refuseNew(s, reason)
		return
	}
	n.addSenderCall(s)
	if n.takeGrant(s) {
		n.dispatch(s)
	}
}

// initSenderCall fills in class, service, importance, deadline and allowance of a
// call from the records, or from its parent call. It returns the reason to
// refuse the call, or ReasonNone.
func (n *Node) initSenderCall(s *senderCall, arrival *gypsumrail.Arrival) gypsumrail.Reason {
	parent := n.receiverCalls[arrival.Parent]
	if arrival.Origin == gypsumrail.FromTarget && arrival.Parent != 0 && parent != nil {
		n.inherit(s, parent, arrival)
		if class, ok := n.class(arrival.Class); ok && isPlain(class) {
			return n.initPlainOutgoingCall(s, parent, class)
		}
		return gypsumrail.ReasonNone
	}
	class, ok := n.class(arrival.Class)
	if !ok {
		return gypsumrail.ReasonUnknownName
	}
	if class.Invalid {
		return gypsumrail.ReasonInvalidClass
	}
	if s.service == "" {
		s.service = n.partFor(class)
	}
	if !n.knowsService(s.service) {
		return gypsumrail.ReasonUnknownName
	}
	s.class = class
	s.importance = n.importanceOf(class, s.account)
	s.level = n.levelOf(s)
	s.deadline = n.now + class.Deadline
	if arrival.Remaining > 0 {
		s.deadline = n.now + arrival.Remaining
	}
	if class.Timeout > 0 {
		s.deadline = min(s.deadline, n.now+class.Timeout)
	}
	if s.origin == gypsumrail.FromCaller {
		s.allowance = allowanceOf(class, s.attempt)
	}
	return gypsumrail.ReasonNone
}

// inherit copies the user request, class, importance and deadline of the parent
// call, which the target is running, and takes a portion of its allowance.
func (n *Node) inherit(s *senderCall, parent *receiverCall, arrival *gypsumrail.Arrival) {
	s.parent = parent.call
	s.request = parent.request
	s.class = parent.class
	s.account = parent.account
	s.importance = parent.importance
	s.level = parent.level
	s.deadline = parent.deadline
	if arrival.Remaining > 0 {
		s.deadline = min(s.deadline, n.now+arrival.Remaining)
	}
	s.hop = parent.hop + 1
	s.invested = parent.invested + n.now - parent.started
	s.parentPortion = parent.allowance.Grant(true)
	s.allowance = retry.NewAllowance(s.parentPortion.Size())
}

// joinRunning joins a resend to the same request if that is still running here:
// the answer then goes to the caller of the resend, so that a client's retry
// adds no work. If the body is already being passed on, the resend is refused.
// It returns false if no such request is running.
func (n *Node) joinRunning(s *senderCall) bool {
	if s.origin != gypsumrail.FromCaller {
		return false
	}
	running := n.senderCalls[n.requests[s.request]]
	if running == nil || running.fingerprint != s.fingerprint || running.service != s.service || running.account != s.account {
		return false
	}
	if running.answering {
		outcome := gypsumrail.NotRun
		if !s.class.Repeatable {
			outcome = gypsumrail.Unknown
		}
		n.emitRefusal(s, outcome, gypsumrail.ReasonKeyInUse)
		n.senderPool = append(n.senderPool, s)
		return true
	}
	n.counts.Joined++
	for alias, onto := range n.aliases {
		if onto == running.call {
			delete(n.aliases, alias)
		}
	}
	n.aliases[s.call] = running.call
	n.emit(gypsumrail.Effect{Kind: gypsumrail.Join, Call: s.call, Onto: running.call})
	n.senderPool = append(n.senderPool, s)
	return true
}

// admitSenderCall returns the reason to refuse a new call before its first attempt, or
// ReasonNone.
func (n *Node) admitSenderCall(s *senderCall, arrival *gypsumrail.Arrival) gypsumrail.Reason {
	switch {
	case len(n.senderCalls) >= callsMax:
		return gypsumrail.ReasonOverload
	case n.draining && s.origin == gypsumrail.FromCaller && !n.finishesInDrain(s.deadline):
		return gypsumrail.ReasonDraining
	case s.origin == gypsumrail.FromCaller && n.bootstrapping(s.class):
		return gypsumrail.ReasonNoUpstream
	case s.hop >= n.settings.DepthMax:
		return gypsumrail.ReasonTooDeep
	case s.deadline <= n.now:
		return gypsumrail.ReasonDeadline
	case n.isQuarantined(s.fingerprint):
		return gypsumrail.ReasonQuarantined
	}
	if reason := n.readKey(s, arrival); reason != gypsumrail.ReasonNone {
		return reason
	}
	if s.origin == gypsumrail.FromCaller && !n.settings.NoEarlyShed {
		if _, refused := n.parts.Shedder.Refuses(n.now, s.level, s.class.Uses); refused {
			return gypsumrail.ReasonShed
		}
		if _, refused := n.parts.Shedder.Refuses(n.now, s.level, n.usesOf(s.class.Name)); refused {
			return gypsumrail.ReasonShed
		}
	}
	return gypsumrail.ReasonNone
}

// refuseNew refuses a call before its first attempt.
func (n *Node) refuseNew(s *senderCall, reason gypsumrail.Reason) {
	n.emitRefusal(s, n.unsentOutcome(s), reason)
	if parent := n.receiverCalls[s.parent]; parent != nil && s.parent != 0 {
		parent.allowance.Return(&s.parentPortion, s.allowance.Left())
	}
	n.markChildFailed(s)
	n.senderPool = append(n.senderPool, s)
}

// unsentOutcome returns the outcome of a call if no attempt of this node can
// have run. It is Unknown for a resend of a non-repeatable call, because an
// earlier attempt may have run through another node. Only the home of the key
// can rule that out.
func (n *Node) unsentOutcome(s *senderCall) gypsumrail.Outcome {
	repeatable := s.class != nil && s.class.Repeatable
	if s.origin == gypsumrail.FromCaller && !repeatable && s.attempt > 1 && !s.knownNotRun {
		return gypsumrail.Unknown
	}
	return gypsumrail.NotRun
}

// dispatch makes the next attempt of a call at the best upstream. Without an
// upstream it asks one for its epoch, waits for one to appear, or refuses the
// call.
func (n *Node) dispatch(s *senderCall) {
	judgment := n.parts.Quarantine.Judge(n.now, s.fingerprint)
	upstream, reason := n.chooseUpstream(s, &judgment)
	if reason == gypsumrail.ReasonNoUpstream && s.ownKey && n.askEpoch(s) {
		return
	}
	if reason == gypsumrail.ReasonNoUpstream && n.awaitUpstream(s) {
		return
	}
	if reason != gypsumrail.ReasonNone {
		n.refuseSenderCall(s, reason)
		return
	}
	service := n.service(s.service)
	portion := s.allowance.Grant(service != nil && len(service.Dependencies) > 0 || len(n.usesOf(s.class.Name)) > 0)
	attempt := gypsumrail.HomeAttempt(s.attempt*attemptsPerCaller + len(s.attempts) + 1)
	local := upstream.Name == n.self.Name || upstream.Address != "" && upstream.Address == n.self.Address
	s.attempts = append(s.attempts, callAttempt{upstream: upstream, sent: n.now, portion: portion, open: true, local: local, onTrial: judgment.Standing != gypsumrail.Clear, homeAttempt: attempt})
	s.tried = append(s.tried, upstream.Name)
	n.parts.Router.Sent(n.now, upstream.Name)
	n.recordTransfer(upstream.Name, s.bytes)
	if local {
		n.admitLocal(s, upstream, portion.Size(), attempt)
		return
	}
	effect := gypsumrail.Effect{
		Kind: gypsumrail.Forward, Call: s.call, Attempt: len(s.attempts), To: upstream, Deadline: s.deadline,
		Allowance: portion.Size(), Importance: s.importance, Invested: s.invested, Key: s.keyText, Kept: s.exempt,
		RateLimit: n.parts.Router.RateLimit(n.now, upstream.Name), Crashes: judgment.Crashes,
	}
	if s.level != gypsumrail.LevelOf(s.importance, s.request) {
		effect.Level = s.level
	}
	if s.keyText != "" {
		effect.HomeAttempt = attempt
	}
	n.emit(effect)
}

// chooseUpstream returns the upstream for the next attempt. A call with a caller's key
// only goes to the home that the key names.
func (n *Node) chooseUpstream(s *senderCall, judgment *gypsumrail.Judgment) (gypsumrail.Instance, gypsumrail.Reason) {
	if s.keyText != "" && !s.ownKey {
		return n.home(s.key)
	}
	switch judgment.Standing {
	case gypsumrail.Quarantined:
		return gypsumrail.Instance{}, gypsumrail.ReasonQuarantined
	case gypsumrail.Suspected:
		return n.chooseForTrial(s, judgment.Crashes)
	}
	choice := n.callChoice(s)
	for {
		upstream, reason := n.parts.Router.Choose(n.now, choice)
		if reason != gypsumrail.ReasonNone {
			return upstream, reason
		}
		if s.class.Repeatable || s.class.Unkeyed || n.makeKey(s, upstream) {
			return upstream, gypsumrail.ReasonNone
		}
		choice.Exclude = append(choice.Exclude, upstream.Name)
	}
}

// callChoice returns the request to the router for an upstream for the call. A call
// that is exempt from thresholds is routed with the highest level.
func (n *Node) callChoice(s *senderCall) gypsumrail.Choice {
	choice := gypsumrail.Choice{
		Service: s.service, Level: s.level, Exclude: s.tried, Random: n.random.Uint64(), Importance: s.importance, Home: s.home,
	}
	if s.exempt {
		choice.Level = gypsumrail.LevelMax - 1
	}
	if s.class != nil {
		choice.Capabilities = s.class.Capabilities[s.service]
		choice.Bytes = n.sizes.Expect(s.class.Name, s.bytes)
		choice.Below = n.usesOf(s.class.Name)
	}
	return choice
}

// refuseSenderCall ends a call in the sender role without an answer. Its outcome is
// Unknown if an attempt may have run.
func (n *Node) refuseSenderCall(s *senderCall, reason gypsumrail.Reason) {
	outcome := n.unsentOutcome(s)
	if s.mayHaveRun {
		outcome = gypsumrail.Unknown
	}
	n.refuseWithOutcome(s, outcome, reason)
}

// refuseWithOutcome cancels the open attempts of a call and refuses it with the
// outcome.
func (n *Node) refuseWithOutcome(s *senderCall, outcome gypsumrail.Outcome, reason gypsumrail.Reason) {
	n.cancelAttempts(s)
	if outcome == gypsumrail.NotRun {
		n.returnGrant(s)
	}
	n.emitRefusal(s, outcome, reason)
	n.markChildFailed(s)
	n.dropSenderCall(s)
}

// markChildFailed records in the parent call that an outgoing call failed, because
// its target may pass the failure on.
func (n *Node) markChildFailed(s *senderCall) {
	if parent := n.receiverCalls[s.parent]; parent != nil && s.parent != 0 {
		parent.childFailed = true
	}
}

// emitRefusal refuses a call of the sender role and counts the refusal. If the
// caller needs a new key to go on, the refusal carries one.
func (n *Node) emitRefusal(s *senderCall, outcome gypsumrail.Outcome, reason gypsumrail.Reason) {
	n.countOutcome(outcome, reason)
	effect := gypsumrail.Effect{
		Kind: gypsumrail.Refuse, Call: s.call, Outcome: outcome, Reason: reason,
		RetryAfter: n.retryAfter(reason, s.fingerprint) + s.grantWait, Hints: n.allHints(), Detail: levelDetail(s),
	}
	if outcome == gypsumrail.Ran {
		effect.Key = s.keyText
	}
	if reason == gypsumrail.ReasonKeyRequired || reason == gypsumrail.ReasonHomeGone && outcome == gypsumrail.NotRun {
		effect.Keys = n.freshKeys(s.service, s.class, 1)
	}
	n.emit(effect)
}

// countOutcome counts a refusal by its outcome and by its reason.
func (n *Node) countOutcome(outcome gypsumrail.Outcome, reason gypsumrail.Reason) {
	switch outcome {
	case gypsumrail.NotRun:
		n.counts.NotRun++
	case gypsumrail.Unknown:
		n.counts.Unknown++
	}
	switch reason {
	case gypsumrail.ReasonShed, gypsumrail.ReasonOverload:
		n.counts.Shed++
	case gypsumrail.ReasonDeadline:
		n.counts.Expired++
	case gypsumrail.ReasonOverLimit:
		n.counts.OverLimit++
	case gypsumrail.ReasonNoGrant:
		n.counts.NoGrant++
	}
}

// callerGone cancels a call whose caller left, and all calls below it.
func (n *Node) callerGone(call gypsumrail.CallID) {
	if s := n.senderCalls[call]; s != nil {
		if len(s.attempts) == 0 {
			n.returnGrant(s)
		}
		n.cancelAttempts(s)
		n.dropSenderCall(s)
	} else if v := n.receiverCalls[call]; v != nil {
		n.cancelReceiverCall(v, gypsumrail.ReasonCallerGone)
	}
	delete(n.tickets, call)
}

// cancelAttempts cancels the open attempts of a call. The portions of the
// allowance that they carry count as spent.
func (n *Node) cancelAttempts(s *senderCall) {
	for i := range s.attempts {
		t := &s.attempts[i]
		if !t.open {
			continue
		}
		t.open = false
		n.parts.Router.Failed(n.now, t.upstream.Name, gypsumrail.ReasonCallerGone)
		if !t.local {
			n.emit(gypsumrail.Effect{Kind: gypsumrail.CancelAttempt, Call: s.call, Attempt: i + 1})
		} else if v := n.receiverCalls[s.call]; v != nil {
			n.cancelReceiverCall(v, gypsumrail.ReasonCallerGone)
		}
	}
}
