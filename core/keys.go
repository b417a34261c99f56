package core

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/ledger"
)

// epoch is the newest epoch that a home reported.
type epoch struct {
	incarnation gypsumrail.Incarnation
	number      uint32
	reported    gypsumrail.Millis
}

// ticket is a request for keys that waits for the epoch of a home.
type ticket struct {
	service string
	class   *gypsumrail.Class
	count   int
	expires gypsumrail.Millis // when the request is refused
}

const (
	epochsMax    = 4096 // instances whose epoch is stored
	ticketsMax   = 1024 // requests for keys that wait for an epoch
	keysMax      = 64   // keys in one answer
	childKeysMax = 64   // idempotency keys of the outgoing calls of one call
	ticketWait   = gypsumrail.Second
	// epochTTL is how long a reported epoch is used for new keys. A home accepts
	// its last 10 epochs of one minute each, the current one included, so a key stays
	// valid for at least 4 minutes.
	epochTTL = 5 * gypsumrail.Minute
)

// readKey reads the idempotency key of a non-repeatable call. It returns the
// reason to refuse the call, or ReasonNone.
func (n *Node) readKey(s *senderCall, arrival *gypsumrail.Arrival) gypsumrail.Reason {
	if s.class.Repeatable || s.class.Unkeyed {
		return gypsumrail.ReasonNone
	}
	if s.origin == gypsumrail.FromTarget && s.parent != 0 {
		s.ownKey = true
		return n.claimChildKey(s.parent, arrival.Key)
	}
	key, err := ledger.ParseKey(arrival.Key)
	if err != nil {
		// A call without a key cannot have run at any node.
		s.knownNotRun = arrival.Key == ""
		return gypsumrail.ReasonKeyRequired
	}
	s.key = key
	s.keyText = arrival.Key
	return gypsumrail.ReasonNone
}

// claimChildKey records the key of an outgoing call of the target. It refuses a
// second call of the same parent with that key, because the first may have run.
func (n *Node) claimChildKey(parent gypsumrail.CallID, key string) gypsumrail.Reason {
	v := n.receiverCalls[parent]
	if key == "" || v == nil {
		return gypsumrail.ReasonNone
	}
	for _, used := range v.childKeys {
		if used == key {
			return gypsumrail.ReasonKeyInUse
		}
	}
	if len(v.childKeys) >= childKeysMax {
		return gypsumrail.ReasonOverload
	}
	v.childKeys = append(v.childKeys, key)
	return gypsumrail.ReasonNone
}

// home returns the instance that a key names as home, or ReasonHomeGone if it
// is not known or has restarted since the key was made.
func (n *Node) home(key gypsumrail.Key) (gypsumrail.Instance, gypsumrail.Reason) {
	if key.Home == n.self.Name {
		return n.self, gypsumrail.ReasonNone
	}
	instance, ok := n.parts.Directory.Lookup(key.Home)
	if !ok || instance.Incarnation > key.Incarnation {
		return gypsumrail.Instance{}, gypsumrail.ReasonHomeGone
	}
	return instance, gypsumrail.ReasonNone
}

// makeKey makes a key for the next attempt of an outgoing call of the own
// target. It returns false if the epoch of the upstream is not known.
func (n *Node) makeKey(s *senderCall, upstream gypsumrail.Instance) bool {
	key, ok := n.newKey(upstream)
	if !ok {
		return false
	}
	s.key = key
	s.keyText = ledger.FormatKey(key)
	return true
}

// newKey returns a new key for a home, or false if its epoch is not known.
func (n *Node) newKey(home gypsumrail.Instance) (gypsumrail.Key, bool) {
	known, ok := n.epochOf(home)
	if !ok {
		return gypsumrail.Key{}, false
	}
	return gypsumrail.Key{
		Home:        home.Name,
		Incarnation: known.incarnation,
		Epoch:       known.number,
		Nonce:       fmt.Sprintf("%016x%016x", n.random.Uint64(), n.random.Uint64()^xxhash.Sum64String(n.self.Name)),
	}, true
}

// epochOf returns the epoch of a home, if the home reported one for this
// incarnation within epochTTL.
func (n *Node) epochOf(home gypsumrail.Instance) (epoch, bool) {
	if home.Name == n.self.Name {
		return epoch{n.self.Incarnation, n.parts.Ledger.Epoch(n.now), n.now}, true
	}
	known, ok := n.epochs[home.Name]
	if !ok || known.incarnation < home.Incarnation || n.now-known.reported > epochTTL {
		return epoch{}, false
	}
	return known, true
}

// recordEpoch stores the epoch of a report, unless a newer one is stored. Beyond
// epochsMax homes it ignores new ones.
func (n *Node) recordEpoch(report *gypsumrail.Report) {
	known, ok := n.epochs[report.Instance]
	if !ok && len(n.epochs) >= epochsMax {
		return
	}
	next := epoch{report.Incarnation, report.Epoch, n.now}
	if !ok || next.incarnation > known.incarnation || next.incarnation == known.incarnation && next.number >= known.number {
		n.epochs[report.Instance] = next
	}
}

// ticketsAsked issues keys for a class. The router chooses their homes like
// upstreams. If no usable home's epoch is known, one home is asked for it
// first.
func (n *Node) ticketsAsked(event *gypsumrail.Event) {
	arrival := event.Arrival
	if arrival == nil {
		n.counts.Dropped++
		return
	}
	class, ok := n.class(arrival.Class)
	if !ok || !n.knowsService(arrival.Service) {
		n.emit(gypsumrail.Effect{Kind: gypsumrail.Tickets, Call: event.Call, Reason: gypsumrail.ReasonUnknownName})
		return
	}
	count := min(max(event.Count, 1), keysMax)
	if keys := n.freshKeys(arrival.Service, class, count); len(keys) > 0 {
		n.emit(gypsumrail.Effect{Kind: gypsumrail.Tickets, Call: event.Call, Keys: keys})
		return
	}
	home, reason := n.parts.Router.Choose(n.now, n.ticketChoice(arrival.Service, class))
	if reason != gypsumrail.ReasonNone || len(n.tickets) >= ticketsMax {
		n.emit(gypsumrail.Effect{Kind: gypsumrail.Tickets, Call: event.Call, Reason: gypsumrail.ReasonNoUpstream})
		return
	}
	n.tickets[event.Call] = ticket{arrival.Service, class, count, n.now + ticketWait}
	n.emit(gypsumrail.Effect{Kind: gypsumrail.AskResolve, Call: event.Call, To: home})
}

// ticketChoice returns the request to the router for the home of a key.
func (n *Node) ticketChoice(service string, class *gypsumrail.Class) gypsumrail.Choice {
	return gypsumrail.Choice{
		Service: service, Capabilities: class.Capabilities[service], Level: gypsumrail.LevelMax - 1,
		Random: n.random.Uint64(), Importance: class.Importance,
	}
}

// freshKeys returns up to count new keys, with homes that the router chooses. It
// returns none if the epoch of no usable home is known.
func (n *Node) freshKeys(service string, class *gypsumrail.Class, count int) []string {
	if class == nil {
		return nil
	}
	var keys []string
	choice := n.ticketChoice(service, class)
	for len(keys) < count {
		home, reason := n.parts.Router.Choose(n.now, choice)
		if reason != gypsumrail.ReasonNone {
			break
		}
		key, ok := n.newKey(home)
		if !ok {
			choice.Exclude = append(choice.Exclude, home.Name)
			continue
		}
		keys = append(keys, ledger.FormatKey(key))
		choice.Random = n.random.Uint64()
	}
	return keys
}

// checkKey reads the key of a call and asks the ledger whether the attempt may
// start. It returns ReasonNone if the call may go on to admission.
func (n *Node) checkKey(v *receiverCall) (gypsumrail.Outcome, gypsumrail.Reason) {
	if v.keyText == "" {
		return "", gypsumrail.ReasonNone
	}
	key, err := ledger.ParseKey(v.keyText)
	if err != nil {
		return gypsumrail.NotRun, gypsumrail.ReasonKeyRequired
	}
	v.key = key
	verdict := n.parts.Ledger.State(n.now, key, v.homeAttempt)
	if verdict == gypsumrail.VerdictStart {
		v.keyed = true
		return "", gypsumrail.ReasonNone
	}
	return verdictOutcome(verdict)
}

// startKey records the start of a keyed call in the ledger. It returns
// ReasonNone if the ledger lets the call start.
func (n *Node) startKey(v *receiverCall) (gypsumrail.Outcome, gypsumrail.Reason) {
	verdict := n.parts.Ledger.Start(n.now, v.key, v.homeAttempt)
	if verdict == gypsumrail.VerdictStart {
		return "", gypsumrail.ReasonNone
	}
	if verdict == gypsumrail.VerdictFull {
		n.notice(gypsumrail.NoticeLedgerFull, n.self.Name, gypsumrail.ReasonOverload)
	}
	v.keyed = false // the ledger has recorded its decision; leave no second tombstone
	return verdictOutcome(verdict)
}

// verdictOutcome returns the outcome and reason for a verdict other than
// VerdictStart.
func verdictOutcome(verdict gypsumrail.Verdict) (gypsumrail.Outcome, gypsumrail.Reason) {
	switch verdict {
	case gypsumrail.VerdictRefused, gypsumrail.VerdictFull:
		return gypsumrail.NotRun, gypsumrail.ReasonKeyRefused
	case gypsumrail.VerdictInvalid:
		// A key of a future epoch leaves no tombstone and could start later, so the
		// outcome must not be NotRun.
		return gypsumrail.Unknown, gypsumrail.ReasonKeyRequired
	case gypsumrail.VerdictRunning:
		return gypsumrail.Unknown, gypsumrail.ReasonKeyInUse
	case gypsumrail.VerdictDone:
		return gypsumrail.Ran, gypsumrail.ReasonKeyDone
	case gypsumrail.VerdictExpired:
		return gypsumrail.Unknown, gypsumrail.ReasonKeyExpired
	}
	return gypsumrail.Unknown, gypsumrail.ReasonHomeGone
}
