// Package grant enforces the rate limits of client accounts over all nodes.
//
// Each node owns the share 1/n of each limit, where n is the number of instances. It
// delegates its share to a broker for a short lease. The broker pools the shares of its
// nodes in one token bucket for each account and grants tokens to the nodes that have
// requests. (Escrow, as in O'Neil: The escrow transactional method, ACM TODS 11(4), 1986,
// with leases.) No share can be spent twice, whatever nodes believe of each other:
//
//   - A node delegates to one broker at a time. It turns to another one when the lease of
//     its last message to the former has ended on its own clock.
//   - The lease ends on the broker's clock at echo + lease, where the echo is the broker's
//     clock in its last reply. The echo is older than the sending of the message, so the
//     lease ends at the broker first, however late the message is read.
//   - Tokens end a fixed time after the message that asked for them was sent.
//
// docs/design/grants.md derives the bound on the requests that pass in a window.
package grant

import "github.com/gypsumrail/gypsumrail"

const (
	// lease is the time for which a node's share is delegated.
	lease = 1200 * gypsumrail.Millis(1)
	// tokenLife is the time from the sending of a GrantAsk to the end of its tokens.
	tokenLife = gypsumrail.Second / 2
	// advance is the time for which a broker grants the tokens to come, as far as the
	// delegations last that long. Without it, a pool with a small burst would overflow
	// between two messages of its nodes.
	advance = askEvery
	// askEvery is the interval of GrantAsk messages while there is demand.
	askEvery = gypsumrail.Second / 4
	// renewEvery is the interval without demand. An echo is one interval old when it is sent,
	// which leaves 700 ms to notice a lost message (300 ms) and to renew the lease.
	renewEvery = gypsumrail.Second / 2
	// askGap is the shortest time between two messages to the node's broker.
	askGap = 20 * gypsumrail.Millis(1)
	// shortGap is the time until the next message for an account after its broker granted
	// fewer tokens than asked for. Meanwhile waiting requests may use those of other brokers:
	// a broker that grants the few tokens of each 20 ms is never without any.
	shortGap = 50 * gypsumrail.Millis(1)
	// foreignGap is the shortest time between two messages to a broker that the node does
	// not delegate to, and between two rounds of such messages for one account.
	foreignGap = gypsumrail.Second / 10
	// replyTimeout is the time after which a message counts as lost. The shells give up after
	// 300 ms and report it; this covers messages that a shell dropped.
	replyTimeout = 400 * gypsumrail.Millis(1)
	// failedAfter is the time without replies after which a node turns to another broker,
	// failedFirst the same for a broker that does not hold the node's share.
	failedAfter = 800 * gypsumrail.Millis(1)
	failedFirst = 400 * gypsumrail.Millis(1)
	// emptyMax bounds the time for which a node trusts a broker's statement that it has no
	// tokens.
	emptyMax = gypsumrail.Second
	// patience is the longest useful wait of a request; see core.
	patience = 150 * gypsumrail.Millis(1)
	// accountIdle is the time without requests after which a node forgets an account.
	accountIdle = 10 * gypsumrail.Second
)

// Parameters of the buckets. In any 5 s, (5 + 0.5 + 0.25) s × 1.05 × Rate + 1.1 × Burst + 18
// requests pass at most: the window, the life of tokens granted before it, and the advance.
// The bound is 6.25 × Rate + 1.25 × Burst + 20. The rest allows the sum of the shares to be
// 1.03 while instances are added.
const (
	rateFactor  = 1.05
	burstFactor = 1.1
	extraDepth  = 14
	// A pool with at least the share minPool has a depth of at least one token, as otherwise an
	// account without a burst never gets one. There are 18 such pools at most, with 18
	// tokens together.
	minPool = 1.0 / 18
)

// Bounds.
const (
	accountsMax    = 4096 // buckets of a broker, and accounts with demand at a node
	demandsMax     = 256  // accounts in one message
	wantedMax      = 1 << 16
	limitMax       = 1e9 // rate and burst; numbers of tokens fit into an int
	partsMax       = 1 << 20
	delegationsMax = 1024
	waitingMax     = 1024 // requests that wait at a node
	waitingEach    = 256  // of these, requests of one account; 64 refused a burst of 180 at one node
	nodesPerBroker = 16
	brokersMax     = 12 // in all zones, but at least one in each; keeps the pools above minPool
	foreignMax     = 2  // brokers that a node asks in one round besides its own
	historyMax     = 32
)

// Grants implements gypsumrail.Grants.
type Grants struct {
	self     gypsumrail.Instance // as the process was started; names the sender
	enabled  bool
	fleet    fleet
	broker   broker
	sender   sender
	accounts map[string]*account // with recent demand
	waiting  int
	status   gypsumrail.GrantStatus
}

var _ gypsumrail.Grants = (*Grants)(nil)

// New returns the grants of the node that runs as the instance self. The incarnation
// identifies the run of the process.
func New(self gypsumrail.Instance) *Grants {
	return &Grants{
		self:     self,
		broker:   newBroker(self.Incarnation),
		sender:   newSender(),
		accounts: make(map[string]*account),
	}
}

// SetLimits sets the accounts of the records in force.
func (g *Grants) SetLimits(now gypsumrail.Millis, accounts map[string]*gypsumrail.Account) {
	g.begin(now)
	g.broker.setLimits(now, accounts)
	g.enabled = len(g.broker.buckets) > 0
}

// SetInstances sets the instances of the platform's list.
func (g *Grants) SetInstances(now gypsumrail.Millis, self gypsumrail.Instance, listed []gypsumrail.Instance) {
	g.begin(now)
	g.fleet.set(now, self, listed)
}

// Limited reports whether requests of an account need a token.
func (g *Grants) Limited(account string) bool { return g.broker.buckets[account] != nil }

// Answer handles the message of a node and returns the reply of this broker.
func (g *Grants) Answer(now gypsumrail.Millis, ask *gypsumrail.GrantAsk) gypsumrail.GrantReply {
	g.begin(now)
	g.status.Answered++
	return g.answer(now, ask)
}

func (g *Grants) answer(now gypsumrail.Millis, ask *gypsumrail.GrantAsk) gypsumrail.GrantReply {
	reply := g.broker.answer(now, ask)
	for _, grant := range reply.Grants {
		g.status.Granted += uint64(grant.Tokens)
	}
	return reply
}

// Broker returns the name of the broker that this node asks.
func (g *Grants) Broker() string {
	if !g.enabled {
		return ""
	}
	return g.sender.broker
}

// Status returns the state for operators.
func (g *Grants) Status() gypsumrail.GrantStatus {
	s := g.status
	if !g.enabled {
		return s
	}
	s.Broker, s.Parts, s.Waiting = g.Broker(), g.fleet.parts(g.sender.now), g.waiting
	s.Delegated, s.Shares = len(g.broker.delegations), g.broker.shares
	return s
}

// begin notes the time of the first call. Until a lease later the node delegates nothing,
// because an earlier process may have delegated the node's share.
func (g *Grants) begin(now gypsumrail.Millis) {
	if !g.sender.begun {
		g.sender.begun = true
		g.sender.delegated = now
	}
	g.sender.now = max(g.sender.now, now)
}
