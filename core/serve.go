package core

import (
	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/retry"
)

// peerCallArrived adds a call that a peer forwarded to the receiver role.
func (n *Node) peerCallArrived(call gypsumrail.CallID, arrival *gypsumrail.Arrival) {
	n.recordCaller(arrival.From)
	n.recordPeerRateLimit(arrival.RateLimit)
	n.mergeCrashes(arrival.Fingerprint, arrival.Crashes)
	v := n.newReceiverCall(call)
	v.service = arrival.Service
	v.request = arrival.Request
	v.fingerprint = arrival.Fingerprint
	v.account = arrival.Account
	v.hop = arrival.Hop
	v.exempt = arrival.Kept
	v.invested = arrival.Invested
	v.allowance = retry.NewAllowance(arrival.Allowance)
	v.class, _ = n.class(arrival.Class)
	if v.class == nil {
		// The sender may have newer records. The headers of the call carry its
		// importance, deadline and allowance.
		v.class = defaultClass
	}
	v.importance = min(max(arrival.Importance, gypsumrail.ImportanceMin), gypsumrail.ImportanceMax)
	v.level = gypsumrail.LevelOf(v.importance, v.request)
	if arrival.Level > 0 {
		v.level = min(arrival.Level, gypsumrail.LevelMax-1)
	}
	v.deadline = n.now + v.class.Deadline
	if arrival.Remaining > 0 {
		v.deadline = n.now + arrival.Remaining
	}
	v.keyText = arrival.Key
	v.homeAttempt = arrival.HomeAttempt
	v.foreign = n.isForeign(arrival)
	n.admit(v)
}

// admitLocal adds a call that this node's sender role routed to its own target
// to the receiver role.
func (n *Node) admitLocal(s *senderCall, chosen gypsumrail.Instance, retries int, attempt gypsumrail.HomeAttempt) {
	v := n.newReceiverCall(s.call)
	v.chosen = chosen
	v.local = true
	v.service = s.service
	v.class = s.class
	v.request = s.request
	v.fingerprint = s.fingerprint
	v.account = s.account
	v.level = s.level
	v.importance = s.importance
	v.deadline = s.deadline
	v.invested = s.invested
	v.hop = s.hop
	v.exempt = s.exempt
	v.allowance = retry.NewAllowance(retries)
	v.keyText = s.keyText
	v.homeAttempt = attempt
	n.admit(v)
}

// admit starts a call, queues it or refuses it. A forwarded call that arrives
// while the node is bootstrapping is held instead.
func (n *Node) admit(v *receiverCall) {
	n.reserve.arrived(n.now, v.importance)
	if outcome, reason := n.checkKey(v); reason != gypsumrail.ReasonNone {
		n.refuseReceiverCall(v, outcome, reason)
		return
	}
	if !v.local && !n.draining && v.deadline > n.now && len(n.receiverCalls) < callsMax && n.bootstrapping(v.class) {
		n.holdUntilReady(v)
		return
	}
	if reason := n.checkAdmission(v); reason != gypsumrail.ReasonNone {
		n.parts.Shedder.Offered(n.now, v.level, false)
		n.refuseReceiverCall(v, gypsumrail.NotRun, reason)
		return
	}
	n.parts.Shedder.Offered(n.now, v.level, true)
	n.addReceiverCall(v)
	if n.running < n.limitFor(v.importance) && n.parts.Queue.Ahead(v.level) == 0 && n.stated.rate.Ready(n.now) {
		n.start(v)
		return
	}
	n.enqueue(v)
}

// addReceiverCall registers a call in the receiver role.
func (n *Node) addReceiverCall(v *receiverCall) {
	n.receiverCalls[v.call] = v
	if !v.local {
		n.deadlines.ReplaceOrInsert(deadlineEntry{v.deadline, v.call})
	}
}

// checkAdmission returns the reason to refuse a call before it is queued, or
// ReasonNone. A call is refused for its deadline if the expected wait plus the
// time that its class needs exceed the time left.
func (n *Node) checkAdmission(v *receiverCall) gypsumrail.Reason {
	switch {
	case n.draining && !v.local && !n.finishesInDrain(v.deadline):
		return gypsumrail.ReasonDraining
	case len(n.receiverCalls) >= callsMax:
		return gypsumrail.ReasonOverload
	case v.hop >= n.settings.DepthMax:
		return gypsumrail.ReasonTooDeep
	case v.deadline <= n.now:
		return gypsumrail.ReasonDeadline
	case n.isQuarantined(v.fingerprint):
		return gypsumrail.ReasonQuarantined
	case v.level < n.parts.Shedder.Threshold() && !n.reservedSlotFree(v) && !v.exempt:
		return gypsumrail.ReasonShed
	case v.foreign && n.refusesForeign():
		return gypsumrail.ReasonOverload
	}
	if n.settings.NoDeadlines {
		return gypsumrail.ReasonNone
	}
	begins := n.now + n.expectedWait(v)
	if begins+n.need(begins, v.class.Name) > v.deadline {
		return gypsumrail.ReasonDeadline
	}
	return gypsumrail.ReasonNone
}

// reservedSlotFree reports whether a call is important enough for the reserved
// slots and can start at once. The threshold does not apply to such a call,
// because it only regulates the load on the other slots.
func (n *Node) reservedSlotFree(v *receiverCall) bool {
	return v.importance >= gypsumrail.ImportanceReserved &&
		n.running < n.parts.Limiter.Limit() && n.parts.Queue.Ahead(v.level) == 0 && n.stated.rate.Ready(n.now)
}

// expectedWait estimates how long a call waits for a slot, if all slots serve
// the calls ahead of it in parallel, and for the rate limit of the target.
func (n *Node) expectedWait(v *receiverCall) gypsumrail.Millis {
	limit := n.limitFor(v.importance)
	ahead := n.parts.Queue.Ahead(v.level)
	wait := n.stated.rate.Wait(n.now, ahead)
	if ahead == 0 && n.running < limit {
		return wait
	}
	mean, work := n.runTime(v.class.Name)
	calls, slots := float64(ahead+1), float64(max(limit, 1))
	return max(wait, n.stretched(n.now, calls*mean/slots, calls*work/slots))
}

// enqueue adds a call to the queue. If the queue is full, it refuses the call
// that the queue evicts, which may be the new one.
func (n *Node) enqueue(v *receiverCall) {
	evicted, full := n.parts.Queue.Push(n.now, gypsumrail.Waiting{
		Call: v.call, Level: v.level, Invested: v.invested, Deadline: v.deadline, Arrived: n.now, Account: v.account,
		ByLevel: n.records != nil && n.records.KeysRequired,
	})
	if !full {
		return
	}
	n.counts.Evicted++
	if evictedCall := n.receiverCalls[evicted.Call]; evictedCall != nil {
		n.refuseReceiverCall(evictedCall, gypsumrail.NotRun, gypsumrail.ReasonOverload)
	}
}

// limitFor returns the number of slots that calls of this importance may use, at
// least 1.
func (n *Node) limitFor(importance gypsumrail.Importance) int {
	limit := n.parts.Limiter.Limit()
	if importance >= gypsumrail.ImportanceReserved {
		return limit
	}
	return max(1, limit-n.reserve.slots(n.now, limit, n.settings.ReserveShare))
}

// start runs a call on the target. It checks the key again, because another
// node may have had the attempt refused while the call was queued.
func (n *Node) start(v *receiverCall) {
	standing := n.parts.Quarantine.Judge(n.now, v.fingerprint).Standing
	if !n.mayStart(v, standing) {
		return
	}
	if v.keyed {
		if outcome, reason := n.startKey(v); reason != gypsumrail.ReasonNone {
			n.refuseReceiverCall(v, outcome, reason)
			return
		}
	}
	n.stated.rate.Take(n.now)
	n.running++
	if v.importance >= gypsumrail.ImportanceReserved {
		n.reserve.running++
	}
	if standing == gypsumrail.Suspected {
		n.suspicions.running, v.onTrial = v.call, true
	}
	n.counts.Served++
	v.running = true
	v.started = n.now
	v.workStarted = n.stated.slowdown.Work(n.now)
	v.inFlight = n.running
	n.emit(gypsumrail.Effect{
		Kind: gypsumrail.RunTarget, Call: v.call, To: v.chosen, Deadline: v.deadline, Key: v.keyText, Importance: v.importance,
	})
}

// startQueued starts queued calls while slots are free and the rate limit of the
// target allows it. It first refuses the calls that can no longer finish in time, so
// that no slot runs work whose caller has stopped waiting.
func (n *Node) startQueued() {
	n.expireQueue()
	n.startSuspected()
	for {
		atLeast := gypsumrail.Level(0)
		if n.running >= n.limitFor(gypsumrail.ImportanceMin) {
			atLeast = gypsumrail.Level(gypsumrail.ImportanceReserved) * gypsumrail.LevelsPerImportance
		}
		if n.running >= n.parts.Limiter.Limit() || !n.stated.rate.Ready(n.now) {
			return
		}
		waiting, ok := n.parts.Queue.Pop(n.now, atLeast)
		if !ok {
			return
		}
		if v := n.receiverCalls[waiting.Call]; v != nil && !v.running {
			if n.isTooLate(v) {
				n.refuseReceiverCall(v, gypsumrail.NotRun, gypsumrail.ReasonDeadline)
				continue
			}
			n.start(v)
		}
	}
}

// expireQueue refuses the queued calls that have less time left than the least
// need of any class, or no time left.
func (n *Node) expireQueue() {
	need := gypsumrail.Millis(1)
	if !n.settings.NoDeadlines {
		need = max(need, n.leastNeed())
	}
	n.expired = n.parts.Queue.Expire(n.now, need, n.expired[:0])
	for _, waiting := range n.expired {
		if v := n.receiverCalls[waiting.Call]; v != nil {
			n.refuseReceiverCall(v, gypsumrail.NotRun, gypsumrail.ReasonDeadline)
		}
	}
}

// refuseReceiverCall ends a call that did not start. If the call is keyed and the
// outcome NotRun, it leaves a tombstone in the ledger, so that a late copy of the
// same attempt does not run. If the ledger has another state of the attempt, the
// outcome follows from that state.
func (n *Node) refuseReceiverCall(v *receiverCall, outcome gypsumrail.Outcome, reason gypsumrail.Reason) {
	if v.keyed && outcome == gypsumrail.NotRun {
		if verdict := n.parts.Ledger.Refuse(n.now, v.key, v.homeAttempt); verdict != gypsumrail.VerdictRefused && verdict != gypsumrail.VerdictFull {
			outcome, reason = verdictOutcome(verdict)
		}
	}
	n.replyReceiverCall(v, outcome, reason)
}

// replyReceiverCall reports to the sender that a call has no answer, and drops
// the call.
func (n *Node) replyReceiverCall(v *receiverCall, outcome gypsumrail.Outcome, reason gypsumrail.Reason) {
	if v.local {
		s := n.senderCalls[v.call]
		left := v.allowance.Left()
		n.dropReceiverCall(v)
		if s != nil && len(s.attempts) > 0 {
			n.localAttemptEnded(s, left, outcome, reason)
		}
		return
	}
	n.countOutcome(outcome, reason)
	effect := gypsumrail.Effect{
		Kind: gypsumrail.Refuse, Call: v.call, Outcome: outcome, Reason: reason, RetryAfter: n.retryAfter(reason, v.fingerprint),
		Allowance: v.allowance.Left(), Report: n.ownReport(), Hints: n.allHints(), Uses: n.usesOf(v.class.Name),
	}
	if outcome == gypsumrail.Ran {
		effect.Key = v.keyText
	}
	n.emit(effect)
	n.dropReceiverCall(v)
}

// localAttemptEnded ends the last attempt of a call that was routed to the own
// target and returns its unused allowance, left.
func (n *Node) localAttemptEnded(s *senderCall, left int, outcome gypsumrail.Outcome, reason gypsumrail.Reason) {
	attempt := len(s.attempts)
	t := &s.attempts[attempt-1]
	if !t.open {
		return
	}
	t.open = false
	t.slowed = n.slowed()
	s.allowance.Return(&t.portion, left)
	if outcome == gypsumrail.NotRun && reason != gypsumrail.ReasonConnect && reason != gypsumrail.ReasonTargetFailed {
		n.parts.Router.Answered(n.now, t.upstream.Name, noLatency, n.ownReport())
	} else {
		n.parts.Router.Failed(n.now, t.upstream.Name, reason)
	}
	n.attemptEnded(s, attempt, outcome, reason)
}

// cancelReceiverCall cancels a call whose caller no longer waits. A keyed call that
// already started runs on, so that a resend finds its answer.
func (n *Node) cancelReceiverCall(v *receiverCall, reason gypsumrail.Reason) {
	if !v.running {
		n.parts.Queue.Remove(v.call)
		if v.keyed {
			n.parts.Ledger.Refuse(n.now, v.key, v.homeAttempt)
		}
		n.dropReceiverCall(v)
		return
	}
	if v.keyed || v.canceled {
		return
	}
	v.canceled = true
	n.noteCanceled(v)
	n.emit(gypsumrail.Effect{Kind: gypsumrail.CancelTarget, Call: v.call, Reason: reason})
	n.cancelChildren(v)
}

// cancelChildren ends the open outgoing calls of a call on the target.
func (n *Node) cancelChildren(v *receiverCall) {
	for len(v.children) > 0 {
		child := v.children[len(v.children)-1]
		s := n.senderCalls[child]
		if s == nil {
			v.dropChild(child)
			continue
		}
		outcome := gypsumrail.NotRun
		if s.mayHaveRun || len(s.attempts) > 0 {
			outcome = gypsumrail.Unknown
		}
		if s.answering {
			// No refusal is sent: the caller is the target, whose run is being canceled.
			n.cancelAttempts(s)
			n.dropSenderCall(s)
			continue
		}
		n.refuseWithOutcome(s, outcome, gypsumrail.ReasonCallerGone)
	}
}
