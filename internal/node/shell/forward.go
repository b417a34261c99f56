package shell

import (
	"cmp"
	"context"
	cryptorand "crypto/rand"
	"errors"
	"io"
	"net/http"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/client"
	"github.com/gypsumrail/gypsumrail/internal/node/form"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

// forward performs the Forward effect: it starts an attempt of a call at a peer.
func (s *Shell) forward(now gypsumrail.Millis, e *gypsumrail.Effect) {
	c := s.calls[e.Call]
	if c == nil {
		return
	}
	ctx, cancel := context.WithCancel(s.base)
	a := &attempt{cancel: cancel}
	c.attempts[e.Attempt] = a
	c.refs++
	out := wire.Call{Arrival: c.arrival, AttemptID: cryptorand.Text(), Sender: s.self}
	out.Arrival.Remaining = e.Deadline - now
	out.Arrival.Allowance = e.Allowance
	out.Arrival.Importance = e.Importance
	out.Arrival.Invested = e.Invested
	out.Arrival.RateLimit = e.RateLimit
	out.Arrival.Key = e.Key
	out.Arrival.HomeAttempt = e.HomeAttempt
	header := c.header.Clone()
	wire.SetForward(header, out)
	go s.callPeer(ctx, c, a, e.Attempt, e.To, header)
}

// callPeer makes one attempt and gives the reducer an AttemptAnswered or
// AttemptFailed event, unless the reducer canceled the attempt.
func (s *Shell) callPeer(ctx context.Context, c *call, a *attempt, number int, to gypsumrail.Instance, header http.Header) {
	event := gypsumrail.Event{Kind: gypsumrail.AttemptFailed, Call: c.id, Attempt: number}
	answer, err := s.send(ctx, s.peerPool, to.Address, c, header, cmp.Or(s.settings.ReceiptTimeouts, client.NodeReceiptTimeouts))
	if err == nil {
		var result gypsumrail.Result
		result, err = wire.ParseAnswer(header.Get(wire.HeaderAttemptID), answer.StatusCode, answer.Header)
		if err != nil {
			s.log.Put(NoticeForeignAnswer, to.Name, gypsumrail.ReasonBroken, err.Error())
			s.parts.Meter.RecordFault(HopPeer, form.NodeHeader)
			_ = answer.Body.Close()
			answer = nil
		} else {
			event.Kind, event.Result = gypsumrail.AttemptAnswered, &result
			if !isTargetAnswer(&result) {
				discardBody(answer)
				answer = nil
			}
		}
	}
	if err != nil {
		event.Result = resultOfError(err)
	}
	s.mu.Lock()
	a.answer = answer
	if errors.Is(err, client.ErrBodyConsumed) {
		c.bodyConsumed = true
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

// refusalMax bounds the bytes that are read of a refusal's body. Only after a
// body is read to its end can its connection be used again.
const refusalMax = 8 << 10

// isTargetAnswer returns true for an answer of a target and false for a refusal
// of the peer. The body of a refusal is not passed on, because this node writes
// its own problem body for the caller.
func isTargetAnswer(result *gypsumrail.Result) bool {
	return result.Outcome == gypsumrail.Ran && result.Reason == gypsumrail.ReasonNone
}

// discardBody reads up to refusalMax bytes of the body and closes it.
func discardBody(answer *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, refusalMax))
	_ = answer.Body.Close()
}

// resultOfError returns the outcome and reason of an attempt that got no valid
// answer. The outcome is NotRun if the peer cannot have run the call.
func resultOfError(err error) *gypsumrail.Result {
	result := &gypsumrail.Result{Outcome: gypsumrail.Unknown, Reason: gypsumrail.ReasonBroken}
	var failure *client.SendError
	switch {
	case errors.Is(err, client.ErrBodyConsumed):
		// The body cannot be sent again, so no further attempt can be made.
		// ReasonCallerGone keeps the reducer from a retry.
		result.Outcome, result.Reason = gypsumrail.NotRun, gypsumrail.ReasonCallerGone
	case errors.As(err, &failure) && !failure.Sent:
		result.Outcome, result.Reason = gypsumrail.NotRun, gypsumrail.ReasonConnect
	case errors.As(err, &failure) && failure.ReceiptTimedOut:
		result.Reason = gypsumrail.ReasonSilent
	}
	return result
}
