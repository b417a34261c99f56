package core

import (
	"maps"
	"slices"

	"github.com/gypsumrail/gypsumrail"
)

// grantPatience is the longest wait for a token. It covers a message to a broker in another
// zone and one more to the own broker after 100 ms.
const grantPatience = 150 * gypsumrail.Millis(1)

// takeGrant takes a token for a new call of an external caller and reports whether the call
// may go on. Otherwise the call waits for a token or was refused. Calls of targets belong to
// a request that has taken one.
func (n *Node) takeGrant(s *senderCall) bool {
	if s.origin != gypsumrail.FromCaller || s.account == "" || !n.parts.Grants.Limited(s.account) {
		return true
	}
	n.parts.Grants.Count(n.now, s.account)
	if n.holdGrant(s) {
		return true
	}
	if !n.parts.Grants.Await(n.now, s.account) {
		n.refuseWithoutGrant(s)
		return false
	}
	s.awaitsGrant = true
	n.awaitingGrant = append(n.awaitingGrant, s.call)
	n.askGrants()
	return false
}

// holdGrant takes a token for a call if there is one.
func (n *Node) holdGrant(s *senderCall) bool {
	s.grantExpires, s.hasGrant = n.parts.Grants.Take(n.now, s.account)
	return s.hasGrant
}

// returnGrant gives back the token of a call that has not run.
func (n *Node) returnGrant(s *senderCall) {
	if s.hasGrant {
		s.hasGrant = false
		n.parts.Grants.Return(n.now, s.account, s.grantExpires)
	}
}

// stopAwaitingGrant ends the wait of a call for a token. Its entry in awaitingGrant is
// removed by dispatchGranted.
func (n *Node) stopAwaitingGrant(s *senderCall) {
	if s.awaitsGrant {
		s.awaitsGrant = false
		n.parts.Grants.Leave(s.account)
	}
}

// refuseWithoutGrant refuses a call for which there is no token.
func (n *Node) refuseWithoutGrant(s *senderCall) {
	var reason gypsumrail.Reason
	reason, s.grantWait = n.parts.Grants.Refusal(n.now, s.account)
	n.refuseSenderCall(s, reason)
}

// dispatchGranted dispatches the waiting calls for which there are tokens now, and refuses
// those that have waited too long. A call whose account has no limit any more needs none.
func (n *Node) dispatchGranted() {
	calls := n.awaitingGrant
	n.awaitingGrant = nil
	kept := calls[:0]
	for _, call := range calls {
		s := n.senderCalls[call]
		switch {
		case s == nil || !s.awaitsGrant:
		case s.deadline <= n.now:
			n.expireSenderCall(s) // a reply may come before the tick that ends the call
		case !n.parts.Grants.Limited(s.account) || n.holdGrant(s):
			n.stopAwaitingGrant(s)
			n.dispatch(s)
		case n.now-s.arrived >= grantPatience:
			n.refuseWithoutGrant(s)
		default:
			kept = append(kept, call)
		}
	}
	n.awaitingGrant = append(kept, n.awaitingGrant...)
}

// askGrants sends the messages to brokers that are due. Tokens of the own broker are there
// at once.
func (n *Node) askGrants() {
	for _, send := range n.parts.Grants.Due(n.now) {
		n.emit(gypsumrail.Effect{Kind: gypsumrail.AskGrant, To: send.To, Ask: send.Ask})
	}
	if len(n.awaitingGrant) > 0 {
		n.dispatchGranted()
	}
	n.noteBroker()
}

// noteBroker logs a change of the broker that holds this node's share.
func (n *Node) noteBroker() {
	broker := n.parts.Grants.Broker()
	if broker != n.grantBroker {
		n.grantBroker = broker
		if broker == "" {
			return // no account has a limit any more
		}
		n.notice(gypsumrail.NoticeBrokerChanged, broker, gypsumrail.ReasonNone)
	}
}

// grantAsked replies to a node that takes this one for its broker.
func (n *Node) grantAsked(event *gypsumrail.Event) {
	if event.Ask == nil {
		n.counts.Dropped++
		return
	}
	reply := n.parts.Grants.Answer(n.now, event.Ask)
	n.emit(gypsumrail.Effect{Kind: gypsumrail.ReplyGrant, Call: event.Call, Granted: &reply})
}

// grantReplied handles the reply of a broker, or that there is none.
func (n *Node) grantReplied(event *gypsumrail.Event) {
	if event.Granted == nil {
		n.counts.Dropped++
		return
	}
	n.parts.Grants.Replied(n.now, event.Peer.Name, *event.Granted)
	n.dispatchGranted()
	n.askGrants()
}

// setGrantInstances tells the grants which instances the platform lists.
func (n *Node) setGrantInstances() {
	if n.listedStates == nil {
		return
	}
	listed := make([]gypsumrail.Instance, 0, len(n.listedStates))
	for _, name := range slices.Sorted(maps.Keys(n.listedStates)) {
		instance, ok := n.parts.Directory.Lookup(name)
		if !ok {
			instance = gypsumrail.Instance{Name: name, State: gypsumrail.Leaving}
		}
		listed = append(listed, instance)
	}
	n.parts.Grants.SetInstances(n.now, n.self, listed)
}
