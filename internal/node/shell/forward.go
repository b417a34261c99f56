package shell

import (
	"cmp"
	"context"
	cryptorand "crypto/rand"
	"errors"
	"io"
	"net/http"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/link"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

// forward starts an attempt of a call at a peer.
func (s *Shell) forward(now gypsumrail.Millis, e *gypsumrail.Effect) {
	c := s.calls[e.Call]
	if c == nil {
		return
	}
	ctx, cancel := context.WithCancel(s.base)
	a := &attempt{cancel: cancel}
	c.attempts[e.Attempt] = a
	c.holders++
	out := wire.Call{Arrival: c.arrival, AttemptID: cryptorand.Text(), Sender: s.self}
	out.Arrival.Remaining = e.Deadline - now
	out.Arrival.Allowance = e.Allowance
	out.Arrival.Importance = e.Importance
	out.Arrival.Invested = e.Invested
	out.Arrival.Key = e.Key
	out.Arrival.HomeAttempt = e.HomeAttempt
	header := c.header.Clone()
	wire.SetForward(header, out)
	go s.callPeer(ctx, c, a, e.Attempt, e.To, header)
}

// callPeer makes one attempt and tells the reducer how it went, unless the
// reducer canceled it.
func (s *Shell) callPeer(ctx context.Context, c *call, a *attempt, number int, to gypsumrail.Instance, header http.Header) {
	event := gypsumrail.Event{Kind: gypsumrail.AttemptFailed, Call: c.id, Attempt: number}
	answer, err := s.send(ctx, s.peers, to.Address, c, header, cmp.Or(s.settings.Silence, link.NodeSilence))
	if err == nil {
		var result gypsumrail.Result
		result, err = wire.ParseAnswer(header.Get(wire.HeaderAttemptID), answer.StatusCode, answer.Header)
		if err != nil {
			s.lines.Put(NoticeForeignAnswer, to.Name, gypsumrail.ReasonBroken, err.Error())
			_ = answer.Body.Close()
			answer = nil
		} else {
			event.Kind, event.Result = gypsumrail.AttemptAnswered, &result
			if !passes(&result) {
				discard(answer)
				answer = nil
			}
		}
	}
	if err != nil {
		event.Result = failed(err)
	}
	s.mu.Lock()
	a.answer = answer
	if errors.Is(err, link.ErrSpent) {
		c.spent = true
	}
	if !a.canceled {
		s.step(&event)
	}
	unused := a.answer
	a.answer = nil
	if answer == nil || unused != nil {
		a.cancel()
	}
	s.release(c)
	s.mu.Unlock()
	if unused != nil {
		_ = unused.Body.Close()
	}
}

// refusalMax is the most that is read of a refusal's body so that its
// connection can be used again.
const refusalMax = 8 << 10

// passes tells an answer of a target from a refusal, whose body is not passed
// on: the reducer makes its own for the caller.
func passes(result *gypsumrail.Result) bool {
	return result.Outcome == gypsumrail.Ran && result.Reason == gypsumrail.ReasonNone
}

func discard(answer *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, refusalMax))
	_ = answer.Body.Close()
}

// failed translates the fault of an attempt.
func failed(err error) *gypsumrail.Result {
	result := &gypsumrail.Result{Outcome: gypsumrail.Unknown, Reason: gypsumrail.ReasonBroken}
	var failure *link.SendError
	switch {
	case errors.Is(err, link.ErrSpent):
		// The reducer must not try again: no attempt can be made any more.
		result.Outcome, result.Reason = gypsumrail.NotRun, gypsumrail.ReasonCallerGone
	case errors.As(err, &failure) && !failure.Sent:
		result.Outcome, result.Reason = gypsumrail.NotRun, gypsumrail.ReasonConnect
	case errors.As(err, &failure) && failure.Silent:
		result.Reason = gypsumrail.ReasonSilent
	}
	return result
}
