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
	"github.com/gypsumrail/gypsumrail/internal/node/link"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

// runMax ends a run that nothing else ends: one of a call that may not be
// repeated goes on after its caller left, and would hold its slot forever if
// the target never answered.
const runMax = 10 * time.Minute

// runTarget starts the run of a call on the own target.
func (s *Shell) runTarget(now gypsumrail.Millis, e *gypsumrail.Effect) {
	c := s.calls[e.Call]
	if c == nil {
		return
	}
	ctx, cancel := context.WithTimeout(s.base, runMax)
	r := &run{cancel: cancel, key: e.Key, token: cryptorand.Text()}
	c.run = r
	c.holders++
	s.tokens[r.token] = c
	arrival := c.arrival
	arrival.Key = e.Key
	header := c.header.Clone()
	wire.SetTarget(header, arrival, e.Deadline-now, r.token)
	go s.callTarget(ctx, c, r, header)
}

// callTarget sends a call to the own target. Once the head of the answer is
// there, whoever passes the body on ends the run.
func (s *Shell) callTarget(ctx context.Context, c *call, r *run, header http.Header) {
	answer, err := s.send(ctx, s.targets, s.settings.Target, c, header, link.Silence{})
	if err != nil {
		result := gypsumrail.Result{Outcome: gypsumrail.NotRun, Reason: gypsumrail.ReasonTargetFailed}
		var failure *link.SendError
		if errors.As(err, &failure) && failure.Sent {
			result.Outcome = gypsumrail.Unknown
		}
		if errors.Is(err, link.ErrSpent) {
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
	result := gypsumrail.Result{Outcome: gypsumrail.Ran, Status: answer.StatusCode}
	s.step(&gypsumrail.Event{Kind: gypsumrail.TargetAnswered, Call: c.id, Result: &result})
	waiting := r.answer != nil
	r.answer = nil
	passed := r.passed
	s.mu.Unlock()
	switch {
	case !waiting: // the handler passes it on
	case passed:
		s.finishUnread(c, answer)
	default:
		_ = answer.Body.Close()
		s.endRun(c, gypsumrail.TargetFailed, gypsumrail.Result{Outcome: gypsumrail.Unknown, Reason: gypsumrail.ReasonCallerGone}, nil)
	}
}

// finishUnread reads an answer whose caller has left to its end and keeps it if
// the call may not be repeated.
func (s *Shell) finishUnread(c *call, answer *http.Response) {
	s.finishUnreadWith(c, answer, cache.NewKeeper(c.run.key, c.arrival.Fingerprint, answer))
}

// finishUnreadWith is finishUnread for an answer that was read in part.
func (s *Shell) finishUnreadWith(c *call, answer *http.Response, keep *cache.Keeper) {
	defer func() { _ = answer.Body.Close() }()
	buffer, _ := chunks.Get().(*[chunkBytes]byte)
	defer chunks.Put(buffer)
	result := gypsumrail.Result{Outcome: gypsumrail.Ran, Status: answer.StatusCode}
	for {
		n, err := answer.Body.Read(buffer[:])
		keep.Take(buffer[:n])
		if err != nil {
			if !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
				result.Outcome, result.Reason = gypsumrail.Unknown, gypsumrail.ReasonBroken
			}
			break
		}
	}
	s.endRun(c, gypsumrail.TargetDone, result, keep)
}

// endRun tells the reducer that a run ended, which frees its slot.
func (s *Shell) endRun(c *call, kind gypsumrail.EventKind, result gypsumrail.Result, keep *cache.Keeper) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := c.run
	delete(s.tokens, r.token)
	r.cancel()
	if result.Outcome == gypsumrail.Ran {
		s.kept.Put(keep)
	}
	s.step(&gypsumrail.Event{Kind: kind, Call: c.id, Result: &result})
	s.release(c)
}

// send sends a call to an address and returns the head of the answer.
func (s *Shell) send(ctx context.Context, pool *link.Pool, address string, c *call, header http.Header, silence link.Silence) (*http.Response, error) {
	body, err := c.source.Open()
	if err != nil {
		return nil, err //nolint:wrapcheck // ErrSpent is told apart by the caller
	}
	r, err := http.NewRequestWithContext(ctx, c.method, "http://"+address+c.uri, body)
	if err != nil {
		return nil, &link.SendError{Err: err}
	}
	r.Header = header
	r.Host = c.host
	r.ContentLength = c.source.Length()
	return link.Send(pool, r, silence) //nolint:wrapcheck // the error tells how far the request came
}
