package core

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/ledger"
)

// epoch is the last epoch that a home reported.
type epoch struct {
	incarnation gypsumrail.Incarnation
	number      uint32
	learned     gypsumrail.Millis
}

// ticket is a request for keys that waits for a home to tell its epoch.
type ticket struct {
	service string
	class   *gypsumrail.Class
	count   int
	due     gypsumrail.Millis
}

const (
	epochsMax    = 4096 // instances whose epoch is remembered
	ticketsMax   = 1024 // requests for keys that wait
	keysMax      = 64   // keys in one answer
	childKeysMax = 64   // idempotency keys that one call's target may use
	ticketWait   = gypsumrail.Second
	// epochLife is how long a reported epoch is used for new keys. A home accepts
	// the last 10 epochs of a minute each, so a key lives at least 5 minutes.
	epochLife = 5 * gypsumrail.Minute
)

// takeKey finds the idempotency key of a non-repeatable call.
func (n *Node) takeKey(s *send, arrival *gypsumrail.Arrival) gypsumrail.Reason {
	if s.class.Repeatable || s.class.Unkeyed {
		return gypsumrail.ReasonNone
	}
	if s.origin == gypsumrail.FromTarget && s.parent != 0 {
		s.ownKey = true
		return n.takeChildKey(s.parent, arrival.Key)
	}
	key, err := ledger.ParseKey(arrival.Key)
	if err != nil {
		// Without a key no attempt can have run anywhere.
		s.homeSpoke = arrival.Key == ""
		return gypsumrail.ReasonKeyRequired
	}
	s.key = key
	s.keyText = arrival.Key
	return gypsumrail.ReasonNone
}

// takeChildKey refuses a second outgoing call of the target under one key,
// because the first may have run.
func (n *Node) takeChildKey(parent gypsumrail.CallID, key string) gypsumrail.Reason {
	v := n.serves[parent]
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

// home returns the instance that a key names.
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

// makeKey gives an outgoing call of the own target a key for this attempt. It
// fails if the upstream's epoch is not known.
func (n *Node) makeKey(s *send, upstream gypsumrail.Instance) bool {
	key, ok := n.newKey(upstream)
	if !ok {
		return false
	}
	s.key = key
	s.keyText = ledger.FormatKey(key)
	return true
}

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

func (n *Node) epochOf(home gypsumrail.Instance) (epoch, bool) {
	if home.Name == n.self.Name {
		return epoch{n.self.Incarnation, n.parts.Ledger.Epoch(n.now), n.now}, true
	}
	known, ok := n.epochs[home.Name]
	if !ok || known.incarnation < home.Incarnation || n.now-known.learned > epochLife {
		return epoch{}, false
	}
	return known, true
}

func (n *Node) learnEpoch(report *gypsumrail.Report) {
	known, ok := n.epochs[report.Instance]
	if !ok && len(n.epochs) >= epochsMax {
		return
	}
	next := epoch{report.Incarnation, report.Epoch, n.now}
	if !ok || next.incarnation > known.incarnation || next.incarnation == known.incarnation && next.number >= known.number {
		n.epochs[report.Instance] = next
	}
}

// ticketsAsked issues keys for a class. The home of each is chosen as an upstream
// would be. If its epoch is not known yet, the home is asked first.
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

func (n *Node) ticketChoice(service string, class *gypsumrail.Class) gypsumrail.Choice {
	return gypsumrail.Choice{
		Service: service, Capabilities: class.Capabilities[service], Level: gypsumrail.LevelMax - 1,
		Random: n.random.Uint64(), Importance: class.Importance,
	}
}

// freshKeys returns keys whose homes are spread by the router, or none if no
// usable home has told its epoch.
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

// checkKey tells whether the ledger lets a keyed call go on to admission.
func (n *Node) checkKey(v *serve) (gypsumrail.Outcome, gypsumrail.Reason) {
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

// startKey records the start of a keyed call.
func (n *Node) startKey(v *serve) (gypsumrail.Outcome, gypsumrail.Reason) {
	verdict := n.parts.Ledger.Start(n.now, v.key, v.homeAttempt)
	if verdict == gypsumrail.VerdictStart {
		return "", gypsumrail.ReasonNone
	}
	if verdict == gypsumrail.VerdictFull {
		n.notice(gypsumrail.NoticeLedgerFull, n.self.Name, gypsumrail.ReasonOverload)
	}
	v.keyed = false // the ledger has decided; leave no second tombstone
	return verdictOutcome(verdict)
}

// verdictOutcome translates a verdict that is not VerdictStart.
func verdictOutcome(verdict gypsumrail.Verdict) (gypsumrail.Outcome, gypsumrail.Reason) {
	switch verdict {
	case gypsumrail.VerdictRefused, gypsumrail.VerdictFull:
		return gypsumrail.NotRun, gypsumrail.ReasonKeyRefused
	case gypsumrail.VerdictInvalid:
		// A key of a future epoch leaves no tombstone and could start later, so it
		// must not be called NotRun.
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
