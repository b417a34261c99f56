package shell

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/cache"
	"github.com/gypsumrail/gypsumrail/internal/node/link"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

// call is one call that the node holds. The shell's mutex guards it.
type call struct {
	id        gypsumrail.CallID
	arrival   gypsumrail.Arrival
	attemptID string // FromPeer
	method    string
	uri       string
	host      string
	header    http.Header // without those of the connection and of gypsumrail
	source    *link.Source
	spent     bool // an attempt could not be made because the body was sent already
	sink      *sink
	attempts  map[int]*attempt
	run       *run
	holders   int // the handler, the attempts and the run that still use the call
}

// sink is the handler of a caller, waiting for its answer.
type sink struct {
	id    gypsumrail.CallID // of the call that it came with
	call  *call             // whose answer it waits for; another one after a Join
	mail  chan message      // holds one
	taken bool              // mail got its message
}

// message is the answer for a sink: one of answer, kept and problem.
type message struct {
	answer  *http.Response
	attempt int // of answer; 0 for the own target
	kept    *cache.Answer
	problem *wire.Problem
	result  gypsumrail.Result // for the headers to a peer
}

// attempt is one attempt of a call at a peer.
type attempt struct {
	cancel   context.CancelFunc
	canceled bool
	answer   *http.Response // until it is handed to a sink
}

// run is the run of a call on the own target.
type run struct {
	cancel context.CancelFunc
	key    string // of a call that may not be repeated; its answer is kept
	token  string
	answer *http.Response // until it is handed on
	passed bool           // the reducer asked to pass the answer on
}

// cancelAttempt ends an attempt, of which the reducer wants to hear nothing more.
func (c *call) cancelAttempt(number int) {
	a := c.attempts[number]
	if a == nil {
		return
	}
	a.canceled = true
	a.cancel()
}

// deliver hands a message to the waiting handler, if there is one.
func (c *call) deliver(m message) bool {
	k := c.sink
	if k == nil || k.taken {
		return false
	}
	k.taken = true
	k.mail <- m
	return true
}

// release ends one use of a call and forgets it after the last.
func (s *Shell) release(c *call) {
	c.holders--
	if c.holders > 0 {
		return
	}
	delete(s.calls, c.id)
	for _, a := range c.attempts {
		a.cancel()
	}
	c.source.Release()
}

// answer passes the head and body of an attempt to the handler.
func (s *Shell) answer(e *gypsumrail.Effect) {
	c := s.calls[e.Call]
	if c == nil {
		return
	}
	m := message{attempt: e.Attempt, result: gypsumrail.Result{
		Outcome: gypsumrail.Ran, AllowanceLeft: e.Allowance, Report: copyReport(e.Report), Hints: slices.Clone(e.Hints),
	}}
	if e.Attempt == 0 {
		if c.run == nil || c.run.answer == nil {
			return
		}
		c.run.passed = true
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

// refuse tells the handler that there is no answer, or passes a kept one on.
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
		if k := s.kept.Get(e.Key, c.arrival.Fingerprint); k != nil {
			result.Reason = gypsumrail.ReasonNone
			c.deliver(message{kept: k, result: result})
			return
		}
	}
	switch {
	case c.source.TooLong():
		result.Reason = wire.ReasonBodyTooLong
	case c.spent && e.Reason == gypsumrail.ReasonCallerGone:
		result.Reason = gypsumrail.ReasonBroken
	}
	c.deliver(message{result: result, problem: &wire.Problem{
		Outcome: result.Outcome, Reason: result.Reason, Request: c.arrival.Request,
		Keys: slices.Clone(e.Keys), RetryAfter: e.RetryAfter,
	}})
}

// join gives the answer of a running call to the handler of a resend. The
// handler that waited before is told so.
func (s *Shell) join(e *gypsumrail.Effect) {
	resend, running := s.calls[e.Call], s.calls[e.Onto]
	if resend == nil || running == nil || resend.sink == nil {
		return
	}
	running.deliver(message{
		result: gypsumrail.Result{Outcome: gypsumrail.Unknown, Reason: gypsumrail.ReasonSuperseded},
		problem: &wire.Problem{
			Outcome: gypsumrail.Unknown, Reason: gypsumrail.ReasonSuperseded, Request: running.arrival.Request,
		},
	})
	k := resend.sink
	resend.sink = nil
	k.call, running.sink = running, k
	running.holders++
	s.release(resend)
}

// leave ends the wait of a handler whose caller has gone.
func (s *Shell) leave(k *sink) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := k.call
	waiting := c.sink == k
	if waiting {
		c.sink = nil
	}
	var m message
	select {
	case m = <-k.mail:
	default:
	}
	if m.problem == nil && m.kept == nil && waiting {
		s.step(&gypsumrail.Event{Kind: gypsumrail.CallerGone, Call: k.id})
	}
	if m.answer != nil {
		if m.attempt == 0 {
			go s.finishUnread(c, m.answer)
		} else {
			_ = m.answer.Body.Close()
		}
	}
}

// ended reports a call to the meter.
func (s *Shell) ended(c *call, began time.Time, result gypsumrail.Result) {
	a := &c.arrival
	s.parts.Meter.Ended(End{
		Origin: a.Origin, Service: a.Service, Class: a.Class, Tenant: a.Tenant,
		Outcome: result.Outcome, Reason: result.Reason, Status: result.Status, Took: time.Since(began),
	})
}
