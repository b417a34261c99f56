package relay

import (
	"context"
	"fmt"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/peer"
)

// grantTimeout is twice the time that a request waits for a token. The reducer regards a
// message as lost a little later.
const grantTimeout = 300 * time.Millisecond

// Grant gives the message of a node that takes this one for its broker to the reducer,
// which replies in the same step.
func (h controlHandler) Grant(_ context.Context, ask gypsumrail.GrantAsk) (gypsumrail.GrantReply, error) {
	r := h.r
	r.mu.Lock()
	r.grantReply = nil
	r.step(&gypsumrail.Event{Kind: gypsumrail.GrantAsked, Call: r.nextCall(), Ask: &ask})
	reply := r.grantReply
	out := r.takeDeliveries()
	r.mu.Unlock()
	writeReplies(out, nil)
	if reply == nil {
		return gypsumrail.GrantReply{}, fmt.Errorf("%w: the node has no broker", peer.ErrUnavailable)
	}
	return *reply, nil
}

// askGrant performs the AskGrant effect. Without a free slot the message counts as lost.
func (r *Relay) askGrant(e *gypsumrail.Effect) {
	if e.Ask == nil {
		return
	}
	if !r.acquireControlSlot() {
		r.followUps = append(r.followUps, noGrantReply(e.To, e.Ask))
		return
	}
	go r.runGrant(e.To, e.Ask)
}

// noGrantReply is the event that a broker did not reply.
func noGrantReply(to gypsumrail.Instance, ask *gypsumrail.GrantAsk) gypsumrail.Event {
	return gypsumrail.Event{Kind: gypsumrail.GrantReplied, Peer: to, Granted: &gypsumrail.GrantReply{Sequence: ask.Sequence}}
}

// runGrant sends a message to a broker and gives the reducer the reply. The caller has
// acquired a control slot.
func (r *Relay) runGrant(to gypsumrail.Instance, ask *gypsumrail.GrantAsk) {
	defer r.releaseControlSlot()
	ctx, cancel := context.WithTimeout(r.base, grantTimeout)
	defer cancel()
	reply, err := r.control.Grant(ctx, controlAddress(to.Address), *ask)
	if r.base.Err() != nil {
		return
	}
	event := noGrantReply(to, ask)
	if err == nil {
		event.Granted = &reply
	}
	r.post(&event)
}
