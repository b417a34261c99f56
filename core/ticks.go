package core

import "github.com/gypsumrail/gypsumrail"

// clocks holds the time of the last run of each periodic task, and of some events.
type clocks struct {
	began     gypsumrail.Millis // time of the first step
	tick      gypsumrail.Millis // last tick
	resumed   gypsumrail.Millis // end of the last pause of the process
	observe   gypsumrail.Millis
	gossip    gypsumrail.Millis
	expire    gypsumrail.Millis
	upstreams gypsumrail.Millis // last setUpstreams
}

const (
	// noTime is the value of a time in clocks that is not set yet.
	noTime = gypsumrail.Millis(-1)
	// observeEvery is the interval at which the shedder adjusts the threshold and
	// overdue upstreams are probed.
	observeEvery = 100 * gypsumrail.Millis(1)
	// expireEvery is the interval of expireState.
	expireEvery = gypsumrail.Second
	// pauseGap is the time between two ticks above which the process counts as
	// paused. Ticks come every 10 ms; a busy scheduler delays them by tens of
	// milliseconds, not hundreds.
	pauseGap = gypsumrail.Second / 2
)

// tick runs the periodic tasks that are due, and expires calls and other state.
func (n *Node) tick() {
	if n.clocks.tick != noTime && n.now-n.clocks.tick > pauseGap {
		n.counts.Pauses++
		n.clocks.resumed = n.now
		n.notice(gypsumrail.NoticePaused, n.self.Name, gypsumrail.ReasonNone)
	}
	n.clocks.tick = n.now
	n.expireCalls()
	n.parts.Directory.Expire(n.now)
	n.admitHeld()
	n.dispatchAwaiting()
	n.dispatchGranted()
	n.askGrants()
	n.refuseLate()
	n.startQueued()
	if n.now-n.clocks.observe >= observeEvery {
		n.clocks.observe = n.now
		n.observe()
		n.probeOverdue()
		n.reportZones()
	}
	every := n.settings.GossipEvery
	if n.platformLost || n.listedStates == nil || n.records == nil {
		every = n.settings.GossipAway
	}
	n.passOnNews()
	if every > 0 && n.now-n.clocks.gossip >= every || n.exchangesEvidence() {
		n.clocks.gossip = n.now
		n.gossip()
	}
	if n.now-n.clocks.expire >= expireEvery {
		n.clocks.expire = n.now
		n.expireState()
	}
	n.finishDrain()
}

// expireCalls refuses or cancels the calls whose deadline has passed.
func (n *Node) expireCalls() {
	for {
		first, ok := n.deadlines.Min()
		if !ok || first.at > n.now {
			return
		}
		n.deadlines.DeleteMin()
		if s := n.senderCalls[first.call]; s != nil {
			n.expireSenderCall(s)
		} else if v := n.receiverCalls[first.call]; v != nil {
			n.expireReceiverCall(v)
		}
	}
}

// expireSenderCall refuses a call of the sender role whose deadline has passed.
func (n *Node) expireSenderCall(s *senderCall) {
	n.noteOpenAttempts(s)
	n.refuseSenderCall(s, gypsumrail.ReasonDeadline)
}

// noteOpenAttempts records that a call may have run if an attempt was sent and got no
// answer.
func (n *Node) noteOpenAttempts(s *senderCall) {
	for i := range s.attempts {
		t := &s.attempts[i]
		if !t.open {
			continue
		}
		if v := n.receiverCalls[s.call]; t.local && v != nil && !v.running {
			continue // still queued on this node, so it did not run
		}
		s.mayHaveRun = true
	}
	if s.resolving && len(s.attempts) > 0 {
		s.mayHaveRun = true
	}
}

// expireReceiverCall ends a call of the receiver role whose deadline has passed: it
// refuses a queued call and cancels a running one.
func (n *Node) expireReceiverCall(v *receiverCall) {
	if !v.running {
		n.parts.Queue.Remove(v.call)
		n.refuseReceiverCall(v, gypsumrail.NotRun, gypsumrail.ReasonDeadline)
		return
	}
	n.cancelReceiverCall(v, gypsumrail.ReasonDeadline)
}

// observe passes the load to the shedder, which adjusts the threshold of the
// receiver role, and logs when the threshold leaves or reaches zero.
func (n *Node) observe() {
	before := n.parts.Shedder.Threshold()
	n.parts.Shedder.Observe(n.now, gypsumrail.Load{
		Limit:         n.parts.Limiter.Limit(),
		InFlight:      n.running,
		Queued:        n.parts.Queue.Len(),
		QueuedHighest: n.parts.Queue.Ahead(gypsumrail.Level(gypsumrail.ImportanceMax) * gypsumrail.LevelsPerImportance),
		MinDelay:      n.parts.Queue.MinDelay(n.now),
		Late:          n.late,
	})
	n.late = 0
	n.shedQueueBelowHighest()
	switch after := n.parts.Shedder.Threshold(); {
	case before == 0 && after > 0:
		n.notice(gypsumrail.NoticeThresholdRaised, n.self.Name, gypsumrail.ReasonShed)
	case before > 0 && after == 0:
		n.notice(gypsumrail.NoticeThresholdZero, n.self.Name, gypsumrail.ReasonNone)
	}
}

// shedQueueBelowHighest sheds the queued calls below the highest importance when the
// threshold would shed calls of the highest importance. Most queued calls are less
// important, and their queueing delay would keep the threshold high although calls of
// the highest importance hardly wait.
func (n *Node) shedQueueBelowHighest() {
	if n.parts.Shedder.Threshold() <= gypsumrail.Level(gypsumrail.ImportanceMax)*gypsumrail.LevelsPerImportance {
		return
	}
	n.expired = n.parts.Queue.DropBelow(gypsumrail.ImportanceMax, n.expired[:0])
	for _, waiting := range n.expired {
		if v := n.receiverCalls[waiting.Call]; v != nil {
			n.refuseReceiverCall(v, gypsumrail.NotRun, gypsumrail.ReasonShed)
		}
	}
}

// expireState drops expired ledger entries, callers and tickets. It also puts the
// defaults in use if no records arrived in time, and starts or stops the watch of
// the platform when this node becomes or stops being the reader of its zone.
func (n *Node) expireState() {
	n.parts.Ledger.Expire(n.now)
	n.expireQuarantine()
	for name, seen := range n.callers {
		if n.now-seen > callerTTL {
			delete(n.callers, name)
		}
	}
	n.expireTickets()
	if !n.defaultsInUse && n.records == nil && n.parts.Values.Missing(n.now) {
		n.defaultsInUse = true
		n.notice(gypsumrail.NoticeDefaultsInUse, n.self.Name, gypsumrail.ReasonNone)
	}
	if reader := n.parts.Directory.IsReader(); reader != n.reader {
		n.reader = reader
		n.emit(gypsumrail.Effect{Kind: gypsumrail.Watch, On: reader})
		notice := gypsumrail.NoticeReaderStopped
		if reader {
			notice = gypsumrail.NoticeReaderStarted
		}
		n.notice(notice, n.self.Name, gypsumrail.ReasonNone)
	}
}

// expireTickets refuses the requests for keys that were not answered in time.
func (n *Node) expireTickets() {
	for _, call := range sortedCalls(n.tickets) {
		if n.tickets[call].expires <= n.now {
			delete(n.tickets, call)
			n.emit(gypsumrail.Effect{Kind: gypsumrail.Tickets, Call: call, Reason: gypsumrail.ReasonNoUpstream})
		}
	}
}
