package grant

import (
	"math"
	"slices"

	"github.com/gypsumrail/gypsumrail"
)

// account is what a node knows of a client account that sends it requests.
type account struct {
	lots         []lot // tokens, the first to expire first
	arrivals     int   // requests since the begin of the period
	expected     float64
	waiting      int
	seen         gypsumrail.Millis // last request
	refused      gypsumrail.Millis // last reply of a broker without tokens
	emptyUntil   gypsumrail.Millis // the node's broker has no tokens until then
	foreignUntil gypsumrail.Millis // the other brokers have been asked, and have no tokens until then
	foreignNext  gypsumrail.Millis // when the other brokers may be asked again

	foreignRounds int // in which other brokers were asked; the second follows the first at once
}

// lot is tokens of one reply.
type lot struct {
	count   int
	expires gypsumrail.Millis // they are valid before this time
}

const never = gypsumrail.Millis(math.MinInt64 / 2)

// account returns the state of an account, or a new one. It returns nil beyond accountsMax.
func (g *Grants) account(name string) *account {
	a := g.accounts[name]
	if a == nil && len(g.accounts) < accountsMax {
		a = &account{refused: never, emptyUntil: never, foreignUntil: never, foreignNext: never}
		g.accounts[name] = a
	}
	return a
}

// drop removes the expired tokens of an account and returns the number of those left.
func (g *Grants) drop(now gypsumrail.Millis, a *account) int {
	left := 0
	a.lots = slices.DeleteFunc(a.lots, func(l lot) bool {
		if l.expires <= now {
			g.status.Expired += uint64(l.count)
			return true
		}
		left += l.count
		return l.count == 0
	})
	return left
}

// add stores tokens.
func (a *account) add(tokens int, expires gypsumrail.Millis) {
	i := 0
	for i < len(a.lots) && a.lots[i].expires < expires {
		i++
	}
	if i < len(a.lots) && a.lots[i].expires == expires {
		a.lots[i].count += tokens
		return
	}
	a.lots = slices.Insert(a.lots, i, lot{tokens, expires})
}

// Count records that a request of a limited account arrived.
func (g *Grants) Count(now gypsumrail.Millis, name string) {
	g.begin(now)
	if a := g.account(name); a != nil {
		a.arrivals++
		a.seen = now
	}
}

// Take takes a token and returns the time at which it becomes invalid.
func (g *Grants) Take(now gypsumrail.Millis, name string) (gypsumrail.Millis, bool) {
	a := g.accounts[name]
	if a == nil || g.drop(now, a) == 0 {
		return 0, false
	}
	a.lots[0].count--
	g.status.Taken++
	return a.lots[0].expires, true
}

// Return gives back the token of a request that did not run. It stays at this node: a
// broker cannot tell when a returned token was granted, and would add it to a later window.
func (g *Grants) Return(now gypsumrail.Millis, name string, expires gypsumrail.Millis) {
	if a := g.accounts[name]; a != nil && expires > now {
		a.add(1, expires)
		g.status.Taken--
	}
}

// Await records that a request waits for a token. It returns false if the request must not
// wait.
func (g *Grants) Await(now gypsumrail.Millis, name string) bool {
	a := g.account(name)
	if a == nil || a.waiting >= waitingEach || g.waiting >= waitingMax {
		return false
	}
	if a.emptyUntil > now+patience && (len(g.fleet.foreign) == 0 || a.foreignUntil > now) {
		return false
	}
	a.waiting++
	g.waiting++
	return true
}

// Leave records that a request does not wait any more.
func (g *Grants) Leave(name string) {
	if a := g.accounts[name]; a != nil && a.waiting > 0 {
		a.waiting--
		g.waiting--
	}
}

// Refusal returns why there is no token, and after which time there may be one.
func (g *Grants) Refusal(now gypsumrail.Millis, name string) (gypsumrail.Reason, gypsumrail.Millis) {
	a := g.accounts[name]
	if a == nil || now-a.refused > emptyMax {
		return gypsumrail.ReasonNoGrant, 0
	}
	return gypsumrail.ReasonOverLimit, max(0, a.emptyUntil-now)
}

// endPeriod updates the expected demand of all accounts after askEvery or longer, and
// forgets those without requests.
func (g *Grants) endPeriod(now gypsumrail.Millis) {
	elapsed := now - g.sender.period
	if elapsed < askEvery {
		return
	}
	g.sender.period = now
	for name, a := range g.accounts {
		recent := float64(a.arrivals) * float64(askEvery) / float64(elapsed)
		a.expected += (recent - a.expected) / 2
		a.arrivals = 0
		if g.drop(now, a) == 0 && a.waiting == 0 && now-a.seen > accountIdle {
			delete(g.accounts, name)
		}
	}
}

// wanted returns the tokens that an account needs for the requests that wait and those
// expected until the next message. Demands below one request are met when it arrives, as
// tokens for them would mostly expire.
func (g *Grants) wanted(now gypsumrail.Millis, a *account) int {
	need := float64(a.waiting)
	if a.expected >= 1 {
		need += math.Round(a.expected)
	}
	return min(max(0, int(need)-g.drop(now, a)), wantedMax)
}
