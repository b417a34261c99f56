package shell

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

func (h controlHandler) Grant(ctx context.Context, ask gypsumrail.GrantAsk) (gypsumrail.GrantReply, error) {
	e, err := h.s.askReducer(ctx, &gypsumrail.Event{Kind: gypsumrail.GrantAsked, Ask: &ask})
	if err != nil {
		return gypsumrail.GrantReply{}, err
	}
	if e.Granted == nil {
		return gypsumrail.GrantReply{}, fmt.Errorf("%w: no grant in the reply", peer.ErrUnavailable)
	}
	return *e.Granted, nil
}

// askGrant performs the AskGrant effect. Without a free slot nothing is sent, and the
// reducer regards the message as lost.
func (s *Shell) askGrant(e *gypsumrail.Effect) {
	if e.Ask != nil && s.acquireControlSlot() {
		go s.runGrant(e.To, e.Ask)
	}
}

func (s *Shell) runGrant(to gypsumrail.Instance, ask *gypsumrail.GrantAsk) {
	defer s.releaseControlSlot()
	ctx, cancel := context.WithTimeout(s.base, grantTimeout)
	defer cancel()
	reply, err := s.control.Grant(ctx, to.Address, *ask)
	if s.base.Err() != nil {
		return
	}
	if err != nil {
		reply = gypsumrail.GrantReply{Sequence: ask.Sequence}
	}
	s.post(&gypsumrail.Event{Kind: gypsumrail.GrantReplied, Peer: to, Granted: &reply})
}
