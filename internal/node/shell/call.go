package shell

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/cache"
	"github.com/gypsumrail/gypsumrail/internal/node/client"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

// call is a call that this node is serving. Shell.mu guards it.
type call struct {
	id           gypsumrail.CallID
	arrival      gypsumrail.Arrival
	attemptID    string // set if the call came from a peer
	method       string
	uri          string
	host         string
	header       http.Header // without hop-by-hop and gypsumrail headers
	requestBody  *client.RequestBody
	bodyConsumed bool // an attempt failed because the body was sent before and is not buffered
	responder    *responder
	attempts     map[int]*attempt
	run          *run
	refs         int // the handler, the attempts and the run that still use the call
}

// responder is a caller's HTTP handler that waits for the answer of a call.
type responder struct {
	id        gypsumrail.CallID // of the call that the caller sent
	call      *call             // whose answer it waits for; another call after a Join
	inbox     chan delivery     // buffers one
	delivered bool              // a delivery was put into inbox
}

// delivery is what a responder writes: one of answer, stored and problem.
type delivery struct {
	answer  *http.Response
	attempt int // that answer belongs to; 0 for this node's target
	stored  *cache.Answer
	problem *wire.Problem
	result  gypsumrail.Result // for the headers of an answer to a peer
}

// attempt is one attempt of a call at a peer.
type attempt struct {
	cancel   context.CancelFunc
	canceled bool
	answer   *http.Response // nil again once a responder has it
}

// run is the run of a call on this node's target.
type run struct {
	cancel context.CancelFunc
	key    string         // idempotency key; if set, the answer is stored
	token  string         // identifies the run in the target's outgoing calls
	answer *http.Response // nil again once a responder has it
	passOn bool           // the reducer returned an Answer effect for the run
}

// cancelAttempt cancels an attempt. The reducer gets no further event for it.
func (c *call) cancelAttempt(number int) {
	a := c.attempts[number]
	if a == nil {
		return
	}
	a.canceled = true
	a.cancel()
}

// deliver puts a delivery into the responder's inbox. It returns false if no
// responder waits or it already got one. If it returns true, the responder has
// to close the body of m.answer, if any.
func (c *call) deliver(m delivery) bool {
	rsp := c.responder
	if rsp == nil || rsp.delivered {
		return false
	}
	rsp.delivered = true
	rsp.inbox <- m
	return true
}

// release drops one reference to a call. With the last one it removes the call
// from the table and frees its body buffer.
func (s *Shell) release(c *call) {
	c.refs--
	if c.refs > 0 {
		return
	}
	delete(s.calls, c.id)
	for _, a := range c.attempts {
		a.cancel()
	}
	c.requestBody.Release()
}

// answer performs the Answer effect: it delivers the answer of an attempt, or
// of this node's target, to the responder.
func (s *Shell) answer(e *gypsumrail.Effect) {
	c := s.calls[e.Call]
	if c == nil {
		return
	}
	m := delivery{attempt: e.Attempt, result: gypsumrail.Result{
		Outcome: gypsumrail.Ran, AllowanceLeft: e.Allowance, Report: copyReport(e.Report), Hints: slices.Clone(e.Hints),
	}}
	if e.Attempt == 0 {
		if c.run == nil || c.run.answer == nil {
			return
		}
		c.run.passOn = true
		m.answer = c.run.answer
		if c.deliver(m) {
			c.run.answer = nil
		}
		return
	}
	if a := c.attempts[e.Attempt]; a != nil && a.answer != nil {
		m.answer = a.answer
		if c.deliver(m) {
			a.answer = nil
		}
	}
}

// refuse performs the Refuse effect: it delivers a problem. If the outcome is
// Ran and the effect has a key, it delivers the stored answer of that key
// instead, if there is one.
func (s *Shell) refuse(e *gypsumrail.Effect) {
	c := s.calls[e.Call]
	if c == nil {
		return
	}
	result := gypsumrail.Result{
		Outcome: e.Outcome, Reason: e.Reason, AllowanceLeft: e.Allowance,
		Report: copyReport(e.Report), Hints: slices.Clone(e.Hints),
	}
	if e.Outcome == gypsumrail.Ran && e.Key != "" {
		if found := s.stored.Get(e.Key, c.arrival.Fingerprint); found != nil {
			result.Reason = gypsumrail.ReasonNone
			c.deliver(delivery{stored: found, result: result})
			return
		}
	}
	switch {
	case c.requestBody.TooLong():
		result.Reason = wire.ReasonBodyTooLong
	case c.bodyConsumed && e.Reason == gypsumrail.ReasonCallerGone: // see resultOfError
		result.Reason = gypsumrail.ReasonBroken
	}
	c.deliver(delivery{result: result, problem: &wire.Problem{
		Outcome: result.Outcome, Reason: result.Reason, Request: c.arrival.Request,
		Keys: slices.Clone(e.Keys), RetryAfter: e.RetryAfter,
	}})
}

// join performs the Join effect: the responder of a resend gets the answer of
// the running call. The responder that waited before gets the problem
// ReasonSuperseded.
func (s *Shell) join(e *gypsumrail.Effect) {
	resend, running := s.calls[e.Call], s.calls[e.Onto]
	if resend == nil || running == nil || resend.responder == nil {
		return
	}
	running.deliver(delivery{
		result: gypsumrail.Result{Outcome: gypsumrail.Unknown, Reason: gypsumrail.ReasonSuperseded},
		problem: &wire.Problem{
			Outcome: gypsumrail.Unknown, Reason: gypsumrail.ReasonSuperseded, Request: running.arrival.Request,
		},
	})
	rsp := resend.responder
	resend.responder = nil
	rsp.call, running.responder = running, rsp
	running.refs++
	s.release(resend)
}

// callerGone ends the wait of a responder whose caller disconnected. It gives the
// reducer a CallerGone event unless the reducer has refused the call or another
// responder has replaced this one. An answer that was delivered but not written
// is read to its end if it came from this node's target, and closed otherwise.
func (s *Shell) callerGone(rsp *responder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := rsp.call
	waiting := c.responder == rsp
	if waiting {
		c.responder = nil
	}
	var m delivery
	select {
	case m = <-rsp.inbox:
	default:
	}
	if m.problem == nil && m.stored == nil && waiting {
		s.step(&gypsumrail.Event{Kind: gypsumrail.CallerGone, Call: rsp.id})
	}
	if m.answer != nil {
		if m.attempt == 0 {
			go s.readAbandoned(c, m.answer)
		} else {
			_ = m.answer.Body.Close()
		}
	}
}

// reportEnd reports an ended call to the meter.
func (s *Shell) reportEnd(c *call, began time.Time, result gypsumrail.Result) {
	a := &c.arrival
	s.parts.Meter.RecordCall(End{
		Origin: a.Origin, Service: a.Service, Class: a.Class, Account: a.Account,
		Outcome: result.Outcome, Reason: result.Reason, Status: result.Status, Duration: time.Since(began),
	})
}
