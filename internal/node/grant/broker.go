package grant

import (
	"maps"
	"math"
	"slices"

	"github.com/gypsumrail/gypsumrail"
)

// broker pools the shares of the nodes that delegate to this one.
type broker struct {
	incarnation gypsumrail.Incarnation
	delegations map[string]delegation // by name of the node
	shares      float64               // sum of the delegated shares, at most 1
	earned      float64               // integral of shares over time, in ms
	now         gypsumrail.Millis     // up to which earned is complete
	buckets     map[string]*bucket    // by account, one for each limited account of the records
}

// delegation is the share of one node.
type delegation struct {
	incarnation gypsumrail.Incarnation
	sequence    uint64
	share       float64
	until       gypsumrail.Millis // end of the lease
}

// bucket holds the tokens of one account. The level is below zero if tokens were granted
// in advance.
type bucket struct {
	rate   float64 // tokens per ms for the share 1
	burst  float64
	level  float64
	earned float64 // of the broker, up to which the level is complete
}

func newBroker(incarnation gypsumrail.Incarnation) broker {
	return broker{incarnation: incarnation, delegations: make(map[string]delegation), buckets: make(map[string]*bucket)}
}

// setLimits replaces the limits. A bucket that stays keeps its tokens up to its new depth, a
// new one begins empty. What was granted in advance stays the same time ahead: 0.25 s of a
// rate of 1000 would otherwise take 25 s to earn at a rate of 10. Beyond accountsMax accounts, in order of their names, the others get
// no tokens.
func (b *broker) setLimits(now gypsumrail.Millis, accounts map[string]*gypsumrail.Account) {
	b.advance(now)
	b.settleAll()
	buckets := make(map[string]*bucket)
	for _, name := range slices.Sorted(maps.Keys(accounts)) {
		limit := accounts[name]
		if limit == nil || !(limit.Rate > 0) {
			continue
		}
		next := b.buckets[name]
		if next == nil {
			next = &bucket{earned: b.earned}
		}
		rate := rateFactor * min(limit.Rate, limitMax) / float64(gypsumrail.Second)
		if next.level < 0 && next.rate > 0 {
			next.level *= rate / next.rate
		}
		next.rate = rate
		next.burst = min(max(0, limit.Burst), limitMax)
		if len(buckets) >= accountsMax {
			next = &bucket{}
		}
		buckets[name] = next
	}
	b.buckets = buckets
	b.settleAll()
}

// depth returns the most tokens that a bucket holds.
func (b *broker) depth(k *bucket) float64 {
	depth := (burstFactor*k.burst + extraDepth) * b.shares
	if b.shares >= minPool {
		depth = max(depth, 1)
	}
	return depth
}

// settle adds the tokens that a bucket has earned.
func (b *broker) settle(k *bucket) {
	k.level = min(k.level+k.rate*(b.earned-k.earned), b.depth(k))
	k.earned = b.earned
}

func (b *broker) settleAll() {
	for _, k := range b.buckets {
		b.settle(k)
	}
}

// advance moves the time forward and ends the leases that are over, in their order.
// Buckets lose what exceeds their depth whenever the shares fall, since the share may earn at
// another broker from then on.
func (b *broker) advance(now gypsumrail.Millis) {
	for {
		name, first := "", now+1
		for n, d := range b.delegations {
			if d.until < first || d.until == first && n < name {
				name, first = n, d.until
			}
		}
		if first > now {
			break
		}
		b.earn(first)
		delete(b.delegations, name)
		b.sharesChanged()
	}
	b.earn(now)
}

func (b *broker) earn(to gypsumrail.Millis) {
	if to > b.now {
		b.earned += b.shares * float64(to-b.now)
		b.now = to
	}
}

// sharesChanged sums up the shares. The caller has called earn. The sum is taken in the
// order of the names, so that a replay gives equal results.
func (b *broker) sharesChanged() {
	sum := 0.0
	for _, name := range slices.Sorted(maps.Keys(b.delegations)) {
		sum += b.delegations[name].share
	}
	b.settleAll()
	b.shares = min(1, sum)
	b.settleAll()
}

// delegate applies the delegation of a message and reports whether the sender delegates to
// this broker now. Without a valid echo the delegation in force stays as it is.
func (b *broker) delegate(now gypsumrail.Millis, ask *gypsumrail.GrantAsk) bool {
	known, ok := b.delegations[ask.From]
	newer := !ok || ask.Incarnation > known.incarnation || ask.Incarnation == known.incarnation && ask.Sequence > known.sequence
	until := gypsumrail.Millis(min(ask.Echo, math.MaxInt64/2)) + lease
	if ask.Parts > 0 && ask.Broker == b.incarnation && ask.Echo <= uint64(now) && until > now && newer && (ok || len(b.delegations) < delegationsMax) {
		next := delegation{ask.Incarnation, ask.Sequence, 1 / float64(ask.Parts), until}
		b.delegations[ask.From] = next
		if !ok || next.share != known.share {
			b.sharesChanged()
		}
		return true
	}
	return ok && ask.Incarnation == known.incarnation
}

// answer handles a message.
func (b *broker) answer(now gypsumrail.Millis, ask *gypsumrail.GrantAsk) gypsumrail.GrantReply {
	b.advance(now)
	delegates := b.delegate(now, ask)
	reply := gypsumrail.GrantReply{Incarnation: b.incarnation, Clock: uint64(max(0, now)), Sequence: ask.Sequence}
	toCome := 0.0 // share × time that is certain to be earned
	if delegates {
		for _, name := range slices.Sorted(maps.Keys(b.delegations)) {
			d := b.delegations[name]
			toCome += d.share * float64(min(advance, d.until-now))
		}
	}
	for _, demand := range ask.Demands[:min(len(ask.Demands), demandsMax)] {
		k := b.buckets[demand.Account]
		if k == nil {
			continue
		}
		b.settle(k)
		free := k.level + k.rate*toCome
		if !delegates {
			// Tokens above half of the depth, and one more, as a small pool never holds a
			// whole token above half of its depth.
			free = k.level - max(0, b.depth(k)/2-1)
		}
		grant := gypsumrail.Grant{Account: demand.Account}
		grant.Tokens = max(0, min(int(free+rounding), demand.Wanted, wantedMax))
		k.level -= float64(grant.Tokens)
		if grant.Tokens == 0 && demand.Wanted > 0 {
			grant.Wait = emptyMax
			if earning := k.rate * b.shares; earning > 0 {
				grant.Wait = gypsumrail.Millis(min(math.Ceil((1-free)/earning), float64(gypsumrail.Minute)))
			}
		}
		reply.Grants = append(reply.Grants, grant)
	}
	return reply
}

// rounding makes up for sums such as 0.1 × 10 that are just below a whole number.
const rounding = 1e-9
