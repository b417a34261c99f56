package core

import "github.com/gypsumrail/gypsumrail"

// clocks holds the times of what the tick drives.
type clocks struct {
	began     gypsumrail.Millis // time of the first step
	tick      gypsumrail.Millis
	resumed   gypsumrail.Millis // end of the last pause of the process
	observe   gypsumrail.Millis
	gossip    gypsumrail.Millis
	expire    gypsumrail.Millis
	upstreams gypsumrail.Millis
}

const (
	noTick = gypsumrail.Millis(-1)
	// observeEvery is how often the threshold moves.
	observeEvery = 100 * gypsumrail.Millis(1)
	// expireEvery is how often slow state is cleaned.
	expireEvery = gypsumrail.Second
	// pauseGap is the gap between two ticks from which the process counts as paused. Ticks come
	// every 10 ms; a busy scheduler delays them by tens of milliseconds, not hundreds.
	pauseGap = gypsumrail.Second / 2
)

// tick drives everything that depends on time alone.
func (n *Node) tick() {
	if n.clocks.tick != noTick && n.now-n.clocks.tick > pauseGap {
		n.counts.Pauses++
		n.clocks.resumed = n.now
		n.notice(gypsumrail.NoticePaused, n.self.Name, gypsumrail.ReasonNone)
	}
	n.clocks.tick = n.now
	n.expireCalls()
	n.parts.Directory.Expire(n.now)
	n.admitHeld()
	n.retryAwaiting()
	n.pump()
	if n.now-n.clocks.observe >= observeEvery {
		n.clocks.observe = n.now
		n.observe()
		n.askQuiet()
	}
	every := n.settings.GossipEvery
	if n.away || n.listed == nil || n.records == nil {
		every = n.settings.GossipAway
	}
	if every > 0 && n.now-n.clocks.gossip >= every {
		n.clocks.gossip = n.now
		n.gossip()
	}
	if n.now-n.clocks.expire >= expireEvery {
		n.clocks.expire = n.now
		n.expireState()
	}
	n.finishDrain()
}

// expireCalls ends the calls whose deadline has passed.
func (n *Node) expireCalls() {
	for {
		first, ok := n.due.Min()
		if !ok || first.at > n.now {
			return
		}
		n.due.DeleteMin()
		if s := n.sends[first.call]; s != nil {
			n.expireSend(s)
		} else if v := n.serves[first.call]; v != nil {
			n.expireServe(v)
		}
	}
}

// expireSend tells the caller that the time is over. What was sent and not
// answered may have run.
func (n *Node) expireSend(s *send) {
	for i := range s.tries {
		t := &s.tries[i]
		if !t.open {
			continue
		}
		if v := n.serves[s.call]; t.local && v != nil && !v.running {
			continue // still queued here, so it did not run
		}
		s.mayHaveRun = true
	}
	if s.resolving && len(s.tries) > 0 {
		s.mayHaveRun = true
	}
	n.finishRefused(s, gypsumrail.ReasonDeadline)
}

// expireServe ends a call whose sender has stopped waiting.
func (n *Node) expireServe(v *serve) {
	if !v.running {
		n.parts.Queue.Remove(v.call)
		n.refuseServe(v, gypsumrail.NotRun, gypsumrail.ReasonDeadline)
		return
	}
	n.cancelServe(v, gypsumrail.ReasonDeadline)
}

// observe moves the threshold of the receiver role.
func (n *Node) observe() {
	before := n.parts.Shedder.Threshold()
	n.parts.Shedder.Observe(n.now, gypsumrail.Load{
		Limit:    n.parts.Limiter.Limit(),
		InFlight: n.running,
		Queued:   n.parts.Queue.Len(),
		Urgent:   n.parts.Queue.Ahead(gypsumrail.Level(gypsumrail.ImportanceMax) * gypsumrail.LevelsPerImportance),
		MinDelay: n.parts.Queue.MinDelay(n.now),
	})
	n.dropUnimportant()
	switch after := n.parts.Shedder.Threshold(); {
	case before == 0 && after > 0:
		n.notice(gypsumrail.NoticeThresholdRaised, n.self.Name, gypsumrail.ReasonShed)
	case before > 0 && after == 0:
		n.notice(gypsumrail.NoticeThresholdZero, n.self.Name, gypsumrail.ReasonNone)
	}
}

// dropUnimportant refuses what waits here before calls of the highest importance
// are refused. The calls that wait are mostly less important, and their age kept
// the threshold up although important ones hardly waited.
func (n *Node) dropUnimportant() {
	if n.parts.Shedder.Threshold() <= gypsumrail.Level(gypsumrail.ImportanceMax)*gypsumrail.LevelsPerImportance {
		return
	}
	n.expired = n.parts.Queue.DropBelow(gypsumrail.ImportanceMax, n.expired[:0])
	for _, waiting := range n.expired {
		if v := n.serves[waiting.Call]; v != nil {
			n.refuseServe(v, gypsumrail.NotRun, gypsumrail.ReasonShed)
		}
	}
}

// expireState cleans the state that changes slowly.
func (n *Node) expireState() {
	n.parts.Ledger.Expire(n.now)
	for name, seen := range n.callers {
		if n.now-seen > callerLife {
			delete(n.callers, name)
		}
	}
	n.expireTickets()
	if !n.defaults && n.records == nil && n.parts.Values.Missing(n.now) {
		n.defaults = true
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

func (n *Node) expireTickets() {
	for _, call := range sortedCalls(n.tickets) {
		if n.tickets[call].due <= n.now {
			delete(n.tickets, call)
			n.emit(gypsumrail.Effect{Kind: gypsumrail.Tickets, Call: call, Reason: gypsumrail.ReasonNoUpstream})
		}
	}
}
