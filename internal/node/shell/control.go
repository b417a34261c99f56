package shell

import (
	"context"
	"fmt"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/feed"
	"github.com/gypsumrail/gypsumrail/internal/node/peer"
)

// Bounds of control messages.
const (
	exchangeTime = time.Second
	resolveTime  = time.Second
	pullTime     = 5 * time.Second
	replyTime    = 2 * time.Second // for a question to the own reducer
)

// controlHandler answers the control messages of peers.
type controlHandler struct{ s *Shell }

var _ peer.Handler = controlHandler{}

func (h controlHandler) Exchange(ctx context.Context, message gypsumrail.Exchange) (gypsumrail.Exchange, error) {
	e, err := h.s.question(ctx, &gypsumrail.Event{Kind: gypsumrail.Exchanged, Peer: message.From, Exchange: &message})
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
	e, err := h.s.question(ctx, &gypsumrail.Event{Kind: gypsumrail.ResolveAsked, Key: key, HomeAttempt: attempt})
	if err != nil {
		return peer.Resolution{}, err
	}
	return peer.Resolution{Outcome: e.Outcome, Reason: e.Reason, Report: e.Report}, nil
}

// question posts an event and waits for the effect that answers it.
func (s *Shell) question(ctx context.Context, event *gypsumrail.Event) (gypsumrail.Effect, error) {
	ctx, cancel := context.WithTimeout(ctx, replyTime)
	defer cancel()
	id, answer := s.ask(event)
	select {
	case e := <-answer:
		return e, nil
	case <-ctx.Done():
		s.forget(id)
		return gypsumrail.Effect{}, fmt.Errorf("%w: %w", peer.ErrUnavailable, ctx.Err())
	}
}

// sendExchange sends a control message, or hands it to the peer that asked.
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
	if !s.enter() {
		return // gossip goes on with the next exchange
	}
	go s.exchange(e.To, copyExchange(e.Exchange))
}

// enter takes one of the bounded control messages under way.
func (s *Shell) enter() bool {
	select {
	case s.limit <- struct{}{}:
		return true
	default:
		return false
	}
}

func (s *Shell) exit() { <-s.limit }

func (s *Shell) exchange(to gypsumrail.Instance, message gypsumrail.Exchange) {
	defer s.exit()
	ctx, cancel := context.WithTimeout(s.base, exchangeTime)
	defer cancel()
	answer, err := s.control.Exchange(ctx, to.Address, message)
	if s.base.Err() != nil {
		return
	}
	if err != nil {
		s.post(&gypsumrail.Event{Kind: gypsumrail.PeerFailed, Peer: to})
		return
	}
	// The answer to an answer is only a receipt; taking it as news would go on forever.
	if !message.Answer {
		s.post(&gypsumrail.Event{Kind: gypsumrail.Exchanged, Peer: answer.From, Exchange: &answer})
	}
}

// askResolve asks the home of a key about an attempt.
func (s *Shell) askResolve(id gypsumrail.CallID, attempt int, to gypsumrail.Instance, key string, home gypsumrail.HomeAttempt) {
	ctx, cancel := context.WithTimeout(s.base, resolveTime)
	defer cancel()
	result := gypsumrail.Result{Outcome: gypsumrail.Unknown, Reason: gypsumrail.ReasonHomeGone}
	if answer, err := s.control.Resolve(ctx, to.Address, key, home); err == nil {
		result = gypsumrail.Result{Outcome: answer.Outcome, Reason: answer.Reason, Report: answer.Report}
	}
	s.post(&gypsumrail.Event{Kind: gypsumrail.Resolved, Call: id, Attempt: attempt, Result: &result})
}

// pull fetches a value from a peer.
func (s *Shell) pull(from gypsumrail.Instance, wanted gypsumrail.ValueVersion) {
	if !s.enter() {
		return
	}
	defer s.exit()
	ctx, cancel := context.WithTimeout(s.base, pullTime)
	defer cancel()
	version, content, err := s.control.Pull(ctx, from.Address, wanted)
	if err != nil {
		if s.base.Err() == nil {
			s.lines.Put(NoticePullFailed, from.Name, gypsumrail.ReasonNone, err.Error())
		}
		return
	}
	s.offer(feed.Value{Version: version, Content: content}, from)
}
