package grant

import (
	"maps"
	"slices"

	"github.com/gypsumrail/gypsumrail"
)

// sender is the state of a node towards the brokers.
type sender struct {
	begun     bool
	now       gypsumrail.Millis
	broker    string                 // that this node asks for tokens
	holder    string                 // broker of the last delegation; empty before the first
	holderRun gypsumrail.Incarnation // of the holder
	delegated gypsumrail.Millis      // when the last delegation was sent, or the first event arrived
	period    gypsumrail.Millis      // begin of the period in which arrivals are counted
	sequence  uint64
	turn      int // index of the foreign broker that was asked last
	links     map[string]*link
}

// link is what a node knows of one broker.
type link struct {
	to          gypsumrail.Instance
	incarnation gypsumrail.Incarnation // in the last reply; 0 before the first
	echo        uint64                 // clock of the broker in the last reply
	pending     uint64                 // sequence number of the message without a reply; 0 if there is none
	asked       []gypsumrail.GrantDemand
	sent        gypsumrail.Millis // last message
	silent      gypsumrail.Millis // first message since the last reply, or never
	missed      bool              // the last message got no reply
	recovered   bool              // the last message got a reply, but the one before did not
	failed      bool              // no reply for so long that the node turns to another broker
}

func newSender() sender {
	return sender{links: make(map[string]*link)}
}

func (s *sender) link(name string) *link {
	l := s.links[name]
	if l == nil {
		l = &link{sent: never, silent: never}
		s.links[name] = l
	}
	return l
}

// forget drops the links to nodes that are not brokers any more. The link to the broker
// that may hold a share stays.
func (s *sender) forget(f *fleet) {
	for name := range s.links {
		if _, ok := f.brokers[name]; !ok && name != s.broker {
			delete(s.links, name)
		}
	}
}

// Due returns the messages to send now.
func (g *Grants) Due(now gypsumrail.Millis) []gypsumrail.GrantSend {
	g.begin(now)
	if !g.enabled || !g.fleet.known {
		return nil
	}
	s := &g.sender
	if g.fleet.update() {
		s.forget(&g.fleet)
	}
	g.endPeriod(now)
	for name, l := range s.links { // the order does not matter
		if l.pending != 0 && now-l.sent >= replyTimeout {
			g.replyMissed(now, name, l)
		}
	}
	delegates := g.chooseBroker(now)
	var sends []gypsumrail.GrantSend
	if s.broker != "" {
		if l := s.link(s.broker); l.pending == 0 && g.ownDue(now, l, delegates) {
			sends = g.send(now, s.broker, g.demands(now, false), delegates && !l.missed, sends)
		}
	}
	return g.askForeign(now, g.probe(now, sends))
}

// chooseBroker selects the broker and reports whether this node may delegate to it: its
// share must not be delegated to another run of a broker. Until the lease of the former
// broker is over, the node asks that for tokens without delegating to it.
func (g *Grants) chooseBroker(now gypsumrail.Millis) bool {
	s := &g.sender
	best := ""
	for _, name := range g.fleet.order {
		if l := s.links[name]; l == nil || !l.failed {
			best = name
			break
		}
	}
	if best == "" && len(g.fleet.order) > 0 {
		best = g.fleet.order[0]
	}
	over := now >= s.delegated+lease
	if s.holder == "" || over {
		s.broker = best
	}
	if best == "" || best != s.broker {
		return false
	}
	return over || s.holder == best && s.holderRun == s.link(best).incarnation
}

// ownDue reports whether a message to the node's broker is due.
func (g *Grants) ownDue(now gypsumrail.Millis, l *link, delegates bool) bool {
	since := now - l.sent
	switch {
	case since < askGap, l.missed && since < foreignGap:
		return false
	case l.missed, l.recovered, l.incarnation == 0, since >= renewEvery:
		return true
	case delegates && g.fleet.owns && g.sender.holder != g.sender.broker:
		return true
	}
	for _, a := range g.accounts {
		if a.waiting > 0 && a.emptyUntil <= now || since >= askEvery && g.wanted(now, a) > 0 {
			return true
		}
	}
	return false
}

// demands returns the accounts that need tokens, at most demandsMax, those with waiting
// requests first. For brokers that hold no share of this node these are the accounts for
// which the node's broker has no tokens or does not reply.
func (g *Grants) demands(now gypsumrail.Millis, foreign bool) []gypsumrail.GrantDemand {
	var waiting, expected []gypsumrail.GrantDemand
	own := g.sender.links[g.sender.broker]
	for _, name := range slices.Sorted(maps.Keys(g.accounts)) {
		a := g.accounts[name]
		if foreign && (a.waiting == 0 || a.foreignNext > now || a.emptyUntil <= now && own != nil && !own.missed && own.incarnation != 0) {
			continue
		}
		wanted := g.wanted(now, a)
		switch demand := (gypsumrail.GrantDemand{Account: name, Wanted: wanted}); {
		case wanted == 0:
		case a.waiting > 0:
			waiting = append(waiting, demand)
		default:
			expected = append(expected, demand)
		}
	}
	waiting = append(waiting, expected...)
	return waiting[:min(len(waiting), demandsMax)]
}

// probe sends messages to failed brokers that the node prefers to its own, as it returns to
// a broker only when that replies. Three of them are enough to find a live one.
func (g *Grants) probe(now gypsumrail.Millis, sends []gypsumrail.GrantSend) []gypsumrail.GrantSend {
	for i, name := range g.fleet.order {
		if name == g.sender.broker || i == 3 {
			break
		}
		if l := g.sender.link(name); l.failed && l.pending == 0 && now-l.sent >= gypsumrail.Second {
			sends = g.send(now, name, nil, false, sends)
		}
	}
	return sends
}

// askForeign asks up to foreignMax brokers that hold no share of this node, in turn.
func (g *Grants) askForeign(now gypsumrail.Millis, sends []gypsumrail.GrantSend) []gypsumrail.GrantSend {
	if g.waiting == 0 {
		return sends
	}
	demands := g.demands(now, true)
	if len(demands) == 0 {
		return sends
	}
	s := &g.sender
	for _, demand := range demands {
		a := g.accounts[demand.Account]
		a.foreignNext = now + foreignGap
		a.foreignRounds++
	}
	asked := 0
	for range g.fleet.foreign {
		s.turn = (s.turn + 1) % len(g.fleet.foreign)
		name := g.fleet.foreign[s.turn]
		if name == s.broker {
			continue
		}
		l := s.link(name)
		if l.pending != 0 || now-l.sent < foreignGap || l.missed && now-l.sent < gypsumrail.Second {
			continue
		}
		sends = g.send(now, name, partOf(demands, asked), false, sends)
		if asked++; asked == foreignMax || len(partOf(demands, asked)) == 0 {
			break
		}
	}
	return sends
}

// partOf divides demands among foreignMax brokers and returns those for one of them. If two
// brokers granted a token for one request, one of the tokens would expire.
func partOf(demands []gypsumrail.GrantDemand, broker int) []gypsumrail.GrantDemand {
	var part []gypsumrail.GrantDemand
	for _, demand := range demands {
		if demand.Wanted = (demand.Wanted + foreignMax - 1 - broker) / foreignMax; demand.Wanted > 0 {
			part = append(part, demand)
		}
	}
	return part
}

// send adds a message to sends, or handles it if this node is the broker.
func (g *Grants) send(now gypsumrail.Millis, name string, demands []gypsumrail.GrantDemand, delegate bool, sends []gypsumrail.GrantSend) []gypsumrail.GrantSend {
	s := &g.sender
	l := s.link(name)
	if to, ok := g.fleet.brokers[name]; ok {
		l.to = to
	}
	s.sequence++
	l.pending, l.asked, l.sent, l.recovered = s.sequence, demands, now, false
	if l.silent == never {
		l.silent = now
	}
	ask := &gypsumrail.GrantAsk{
		From: g.self.Name, Incarnation: g.self.Incarnation, Sequence: s.sequence,
		Broker: l.incarnation, Echo: l.echo, Demands: demands,
	}
	if parts := g.fleet.parts(now); delegate && l.incarnation != 0 && parts > 0 {
		ask.Parts = parts
		s.holder, s.holderRun, s.delegated = name, l.incarnation, now
	}
	if name == g.fleet.self.Name {
		g.Replied(now, name, g.answer(now, ask))
		return sends
	}
	g.status.Asked++
	return append(sends, gypsumrail.GrantSend{To: l.to, Ask: ask})
}

// Replied handles the reply of a broker. A reply without an incarnation means that there is
// none to the message of its sequence number.
func (g *Grants) Replied(now gypsumrail.Millis, broker string, reply gypsumrail.GrantReply) {
	g.begin(now)
	l := g.sender.links[broker]
	if l == nil || reply.Incarnation != 0 && reply.Incarnation < l.incarnation {
		return
	}
	pending := reply.Sequence != 0 && reply.Sequence == l.pending
	if reply.Incarnation == 0 {
		if pending {
			g.replyMissed(now, broker, l)
		}
		return
	}
	if reply.Incarnation > l.incarnation || reply.Clock > l.echo {
		l.incarnation, l.echo = reply.Incarnation, reply.Clock
	}
	l.missed, l.recovered, l.failed, l.silent = false, l.missed, false, never
	if !pending {
		return
	}
	l.pending = 0
	expires := l.sent + tokenLife
	for i := range l.asked {
		grant, known := grantOf(reply.Grants, l.asked[i].Account)
		g.granted(now, broker, &l.asked[i], grant, known, expires)
	}
	l.asked = nil
}

// grantOf returns the grant of an account in a reply, and whether the broker knows it.
func grantOf(grants []gypsumrail.Grant, account string) (gypsumrail.Grant, bool) {
	for _, grant := range grants[:min(len(grants), demandsMax)] {
		if grant.Account == account {
			return grant, true
		}
	}
	return gypsumrail.Grant{Account: account}, false
}

// granted handles the grant for one account. A broker that does not know the account has
// older records, and may have tokens as soon as it reads the present ones.
func (g *Grants) granted(now gypsumrail.Millis, broker string, demand *gypsumrail.GrantDemand, grant gypsumrail.Grant, known bool, expires gypsumrail.Millis) {
	a := g.accounts[demand.Account]
	if a == nil {
		return
	}
	if grant.Tokens > 0 {
		if expires > now {
			a.add(min(grant.Tokens, demand.Wanted), expires)
		}
		if grant.Tokens < demand.Wanted && broker == g.sender.broker {
			a.emptyUntil = now + shortGap
		}
		return
	}
	if known {
		a.refused = now
	}
	switch {
	case broker == g.sender.broker:
		a.emptyUntil = now + min(max(grant.Wait, foreignGap), emptyMax)
	case a.foreignRounds%2 == 1:
		a.foreignNext = now // another broker may have tokens
	default:
		a.foreignUntil = now + foreignGap
	}
}

// replyMissed handles a message that got no reply.
func (g *Grants) replyMissed(now gypsumrail.Millis, broker string, l *link) {
	l.pending, l.asked, l.missed = 0, nil, true
	g.status.Unreplied++
	after := failedAfter
	if g.sender.holder != broker {
		after = failedFirst
	}
	if now-l.silent >= after {
		l.failed = true
	}
}
