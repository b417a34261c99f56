package shell

import (
	"context"
	cryptorand "crypto/rand"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/cache"
	"github.com/gypsumrail/gypsumrail/internal/node/client"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

// runTimeout ends a run that nothing else would end. The run of a call that must
// not be repeated continues after its caller disconnected, and would occupy its
// slot forever if the target never answered.
const runTimeout = 10 * time.Minute

// runTarget performs the RunTarget effect: it sends a call to this node's target.
func (s *Shell) runTarget(now gypsumrail.Millis, e *gypsumrail.Effect) {
	c := s.calls[e.Call]
	if c == nil {
		return
	}
	ctx, cancel := context.WithTimeout(s.base, runTimeout)
	r := &run{cancel: cancel, key: e.Key, token: cryptorand.Text()}
	c.run = r
	c.refs++
	s.tokens[r.token] = c
	arrival := c.arrival
	arrival.Key = e.Key
	header := c.header.Clone()
	wire.SetTarget(header, arrival, e.Deadline-now, r.token)
	go s.callTarget(ctx, c, r, header)
}

// callTarget sends a call to this node's target and gives the reducer a
// TargetAnswered event when the head of the answer arrives, or a TargetFailed
// event. After TargetAnswered, the reader of the body ends the run: the
// responder's handler, or readAbandoned if the caller has disconnected. If the
// reducer returns no Answer effect, callTarget closes the body and ends the run.
func (s *Shell) callTarget(ctx context.Context, c *call, r *run, header http.Header) {
	answer, err := s.send(ctx, s.targetPool, s.settings.Target, c, header, client.ReceiptTimeouts{})
	if err != nil {
		result := gypsumrail.Result{Outcome: gypsumrail.NotRun, Reason: gypsumrail.ReasonTargetFailed}
		var failure *client.SendError
		if errors.As(err, &failure) && failure.Sent {
			result.Outcome = gypsumrail.Unknown
		}
		if errors.Is(err, client.ErrBodyConsumed) {
			result.Reason = gypsumrail.ReasonCallerGone
		}
		s.endRun(c, gypsumrail.TargetFailed, result, nil)
		return
	}
	s.mu.Lock()
	r.answer = answer
	if slots, busy, ok := wire.ParseLoad(answer.Header); ok {
		s.step(&gypsumrail.Event{Kind: gypsumrail.TargetReported, Slots: slots, Busy: busy})
	}
	result := gypsumrail.Result{Outcome: gypsumrail.Ran, Status: answer.StatusCode, Stated: wire.ReadStated(answer.Header)}
	s.step(&gypsumrail.Event{Kind: gypsumrail.TargetAnswered, Call: c.id, Result: &result})
	waiting := r.answer != nil
	r.answer = nil
	passOn := r.passOn
	s.mu.Unlock()
	switch {
	case !waiting: // the responder's handler reads the body and ends the run
	case passOn:
		s.readAbandoned(c, answer)
	default:
		_ = answer.Body.Close()
		s.endRun(c, gypsumrail.TargetFailed, gypsumrail.Result{Outcome: gypsumrail.Unknown, Reason: gypsumrail.ReasonCallerGone}, nil)
	}
}

// readAbandoned reads the body of an answer whose caller has disconnected to its
// end, and stores the answer if the call has an idempotency key.
func (s *Shell) readAbandoned(c *call, answer *http.Response) {
	s.readAbandonedRest(c, answer, cache.NewCollector(c.run.key, c.arrival.Fingerprint, answer))
}

// readAbandonedRest is readAbandoned for an answer of which the collector already
// has the first part.
func (s *Shell) readAbandonedRest(c *call, answer *http.Response, collector *cache.Collector) {
	defer func() { _ = answer.Body.Close() }()
	buffer, _ := chunks.Get().(*[chunkBytes]byte)
	defer chunks.Put(buffer)
	result := gypsumrail.Result{Outcome: gypsumrail.Ran, Status: answer.StatusCode}
	for {
		n, err := answer.Body.Read(buffer[:])
		collector.Append(buffer[:n])
		if err != nil {
			if !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
				result.Outcome, result.Reason = gypsumrail.Unknown, gypsumrail.ReasonBroken
			}
			break
		}
	}
	s.endRun(c, gypsumrail.TargetDone, result, collector)
}

// endRun stores the answer of a run that has an idempotency key, and gives the
// reducer the event that ends the run, upon which the reducer frees its slot.
func (s *Shell) endRun(c *call, kind gypsumrail.EventKind, result gypsumrail.Result, collector *cache.Collector) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := c.run
	delete(s.tokens, r.token)
	r.cancel()
	if result.Outcome == gypsumrail.Ran {
		s.stored.Put(collector)
	}
	s.step(&gypsumrail.Event{Kind: kind, Call: c.id, Result: &result})
	s.release(c)
}

// send sends a call to an address and returns the answer once its head arrived.
// The error is client.ErrBodyConsumed or a *client.SendError, which tells whether the
// request may have reached the receiver.
func (s *Shell) send(ctx context.Context, pool *client.Pool, address string, c *call, header http.Header, timeouts client.ReceiptTimeouts) (*http.Response, error) {
	body, err := c.requestBody.Open()
	if err != nil {
		return nil, err //nolint:wrapcheck // ErrBodyConsumed is told apart by the caller
	}
	r, err := http.NewRequestWithContext(ctx, c.method, "http://"+address+c.uri, body)
	if err != nil {
		return nil, &client.SendError{Err: err}
	}
	r.Header = header
	r.Host = c.host
	r.ContentLength = c.requestBody.Length()
	return client.Send(pool, r, timeouts) //nolint:wrapcheck // the error tells how far the request came
}
