package shell

import (
	"context"
	"fmt"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/fetch"
	"github.com/gypsumrail/gypsumrail/internal/node/peer"
)

// Timeouts of control messages, and of the reducer's reply to one.
const (
	exchangeTimeout = time.Second
	resolveTimeout  = time.Second
	pullTimeout     = 5 * time.Second
	replyTimeout    = 2 * time.Second // for the effect that answers askReducer
)

// controlHandler serves the control messages of peers.
type controlHandler struct{ s *Shell }

var _ peer.Handler = controlHandler{}

func (h controlHandler) Exchange(ctx context.Context, message gypsumrail.Exchange) (gypsumrail.Exchange, error) {
	e, err := h.s.askReducer(ctx, &gypsumrail.Event{Kind: gypsumrail.Exchanged, Peer: message.From, Exchange: &message})
	if err != nil {
		return gypsumrail.Exchange{}, err
	}
	if e.Exchange == nil {
		return gypsumrail.Exchange{}, fmt.Errorf("%w: no exchange in the reply", peer.ErrUnavailable)
	}
	return *e.Exchange, nil
}

func (h controlHandler) Pull(_ context.Context, wanted gypsumrail.ValueVersion) (gypsumrail.ValueVersion, []byte, error) {
	value, ok := h.s.store.Current(wanted.Name)
	if !ok || value.Version.Revision < wanted.Revision {
		return gypsumrail.ValueVersion{}, nil, peer.ErrNotFound
	}
	return value.Version, value.Content, nil
}

func (h controlHandler) Resolve(ctx context.Context, key string, attempt gypsumrail.HomeAttempt) (peer.Resolution, error) {
	e, err := h.s.askReducer(ctx, &gypsumrail.Event{Kind: gypsumrail.ResolveAsked, Key: key, HomeAttempt: attempt})
	if err != nil {
		return peer.Resolution{}, err
	}
	return peer.Resolution{Outcome: e.Outcome, Reason: e.Reason, Report: e.Report}, nil
}

// askReducer posts an event and waits up to replyTimeout for the effect that
// answers it. Its error wraps peer.ErrUnavailable.
func (s *Shell) askReducer(ctx context.Context, event *gypsumrail.Event) (gypsumrail.Effect, error) {
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	id, answer := s.postQuestion(event)
	select {
	case e := <-answer:
		return e, nil
	case <-ctx.Done():
		s.dropWaiter(id)
		return gypsumrail.Effect{}, fmt.Errorf("%w: %w", peer.ErrUnavailable, ctx.Err())
	}
}

// sendExchange performs the SendExchange effect. With a call ID, its message is
// the reply to a peer's exchange. Without one, the message is sent to e.To in the
// background, or dropped if all control slots are taken.
func (s *Shell) sendExchange(e *gypsumrail.Effect) {
	if e.Exchange == nil {
		return
	}
	if e.Exchange.From.Name == s.self.Name {
		s.self = e.Exchange.From
	}
	if e.Call != 0 {
		s.reply(e)
		return
	}
	if !s.acquireControlSlot() {
		return // a later exchange spreads the same state
	}
	go s.runExchange(e.To, copyExchange(e.Exchange))
}

// acquireControlSlot takes a slot for a SendExchange or Pull effect. It returns
// false if outgoingControlMax of them are in flight.
func (s *Shell) acquireControlSlot() bool {
	select {
	case s.controlSlots <- struct{}{}:
		return true
	default:
		return false
	}
}

func (s *Shell) releaseControlSlot() { <-s.controlSlots }

func (s *Shell) runExchange(to gypsumrail.Instance, message gypsumrail.Exchange) {
	defer s.releaseControlSlot()
	ctx, cancel := context.WithTimeout(s.base, exchangeTimeout)
	defer cancel()
	answer, err := s.control.Exchange(ctx, to.Address, message)
	if s.base.Err() != nil {
		return
	}
	if err != nil {
		s.post(&gypsumrail.Event{Kind: gypsumrail.PeerFailed, Peer: to})
		return
	}
	// The answer to an answer only confirms its receipt. As an event it would
	// cause another answer, without end.
	if !message.Answer {
		s.post(&gypsumrail.Event{Kind: gypsumrail.Exchanged, Peer: answer.From, Exchange: &answer})
	}
}

// askResolve asks the home of a key for the outcome of an attempt and gives the
// reducer a Resolved event. If the home does not answer, the outcome is Unknown
// with the reason ReasonHomeGone.
func (s *Shell) askResolve(id gypsumrail.CallID, attempt int, to gypsumrail.Instance, key string, home gypsumrail.HomeAttempt) {
	ctx, cancel := context.WithTimeout(s.base, resolveTimeout)
	defer cancel()
	result := gypsumrail.Result{Outcome: gypsumrail.Unknown, Reason: gypsumrail.ReasonHomeGone}
	if answer, err := s.control.Resolve(ctx, to.Address, key, home); err == nil {
		result = gypsumrail.Result{Outcome: answer.Outcome, Reason: answer.Reason, Report: answer.Report}
	}
	s.post(&gypsumrail.Event{Kind: gypsumrail.Resolved, Call: id, Attempt: attempt, Result: &result})
}

// pull fetches a value from a peer and offers it to the reducer. A failure is
// logged; no event reports it. The pull is skipped if all control slots are
// taken.
func (s *Shell) pull(from gypsumrail.Instance, wanted gypsumrail.ValueVersion) {
	if !s.acquireControlSlot() {
		return
	}
	defer s.releaseControlSlot()
	ctx, cancel := context.WithTimeout(s.base, pullTimeout)
	defer cancel()
	version, content, err := s.control.Pull(ctx, from.Address, wanted)
	if err != nil {
		if s.base.Err() == nil {
			s.log.Put(NoticePullFailed, from.Name, gypsumrail.ReasonNone, err.Error())
		}
		return
	}
	s.offer(fetch.Value{Version: version, Content: content}, from)
}
