package relay

import (
	"errors"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/pool"
)

// forward starts an attempt of a call at another node.
func (r *Relay) forward(now gypsumrail.Millis, e *gypsumrail.Effect) {
	c := r.calls[e.Call]
	if c == nil {
		return
	}
	a := &attempt{}
	for len(c.attempts) < e.Attempt {
		c.attempts = append(c.attempts, nil)
	}
	c.attempts[e.Attempt-1] = a
	c.open++
	remaining := max(e.Deadline-now, 1)
	message := make([]byte, 0, len(c.head)+len(c.body)+256)
	message = append(message, c.head...)
	message = appendCall(message, c, e, remaining, r.stamp())
	message = append(message, '\r', '\n')
	message = append(message, c.body...)
	x := &exchange{
		pool: r.peers, host: e.To.Address, message: message, request: c.request, header: r.settings.Headers.Request,
		isHead: c.isHead, deadline: time.Now().Add(remaining.Duration()),
	}
	if e.Attempt > 1 {
		r.lines.Put(NoticeRequestResent, c.request, gypsumrail.ReasonNone,
			"Class="+c.arrival.Class+" To="+e.To.Name+countOf(" Attempt", e.Attempt)+countOf(" Remaining", int(remaining)))
	}
	go r.send(c, a, e.Attempt, e.To, x)
}

// send makes an attempt and tells the reducer how it went.
func (r *Relay) send(c *call, a *attempt, number int, to gypsumrail.Instance, x *exchange) {
	response := responses.Get().(*fasthttp.Response) //nolint:forcetypeassert // the pool holds nothing else
	defer responses.Put(response)
	event := gypsumrail.Event{Kind: gypsumrail.AttemptFailed, Call: c.id, Attempt: number}
	var got *answer
	err := x.do(a, response)
	if err == nil {
		var result gypsumrail.Result
		var theirs stamp
		if result, theirs, err = parseAnswer(&response.Header); err == nil {
			event.Kind, event.Result = gypsumrail.AttemptAnswered, &result
			r.learnStamp(theirs, to.Address)
			if result.Outcome == gypsumrail.Ran && result.Reason == gypsumrail.ReasonNone {
				got = copyAnswer(response, c.isHead)
			}
		}
	}
	if err != nil {
		event.Result = failure(err)
		if event.Result.Reason == gypsumrail.ReasonSilent || errors.Is(err, pool.ErrConnect) {
			r.peers.Forget(to.Address)
		}
	}
	r.finish(c, a, got, &event)
}

// finish takes the end of an attempt or a run under the mutex.
func (r *Relay) finish(c *call, a *attempt, got *answer, events ...*gypsumrail.Event) {
	r.mu.Lock()
	c.open--
	a.answer = got
	if a == c.run {
		c.answered, c.run = got, nil
		if r.running[c.request] == c {
			delete(r.running, c.request)
		}
	}
	own := c.conn
	// A canceled attempt is over for the reducer, while the end of a run is always told.
	a.mu.Lock()
	canceled := a.canceled
	a.mu.Unlock()
	for _, event := range events {
		if !canceled || event.Attempt == 0 {
			r.step(event)
		}
	}
	r.forget(c)
	out := r.take()
	r.mu.Unlock()
	write(out, own)
}

// copyAnswer copies an answer out of a pooled response.
func copyAnswer(response *fasthttp.Response, isHead bool) *answer {
	body := append([]byte(nil), response.Body()...)
	return &answer{status: response.StatusCode(), head: answerHead(&response.Header, len(body), isHead), body: body}
}

// runTarget starts a call on the own target.
func (r *Relay) runTarget(now gypsumrail.Millis, e *gypsumrail.Effect) {
	c := r.calls[e.Call]
	if c == nil {
		r.next = append(r.next, gypsumrail.Event{
			Kind: gypsumrail.TargetFailed, Call: e.Call,
			Result: &gypsumrail.Result{Outcome: gypsumrail.NotRun, Reason: gypsumrail.ReasonCallerGone},
		})
		return
	}
	own := &r.settings.Headers
	a := &attempt{}
	c.run = a
	c.open++
	r.running[c.request] = c
	remaining := max(e.Deadline-now, 1)
	expect := c.expect
	if expect == "" {
		expect = e.To.Name
	}
	message := make([]byte, 0, len(c.head)+len(c.body)+128)
	message = append(message, c.head...)
	message = appendNumber(message, own.Remaining, int64(remaining))
	if expect != "" {
		message = appendHeader(message, own.Expect, expect)
	}
	message = appendHeader(message, own.Origin, c.origin)
	message = append(message, '\r', '\n')
	message = append(message, c.body...)
	x := &exchange{
		pool: r.targets, host: r.settings.Target, message: message, request: c.request, header: own.Request,
		isHead: c.isHead, deadline: time.Now().Add(remaining.Duration()),
	}
	go r.work(c, a, x)
}

// work runs a call on the own target and tells the reducer how it went.
func (r *Relay) work(c *call, a *attempt, x *exchange) {
	response := responses.Get().(*fasthttp.Response) //nolint:forcetypeassert // the pool holds nothing else
	defer responses.Put(response)
	result := &gypsumrail.Result{Outcome: gypsumrail.Ran}
	err := x.do(a, response)
	if err == nil {
		result = r.judge(response)
	} else {
		result = failure(err)
		if result.Reason == gypsumrail.ReasonConnect {
			result.Reason = gypsumrail.ReasonTargetFailed
		}
		r.targets.Sweep()
	}
	if result.Reason != gypsumrail.ReasonNone {
		r.lines.Put(NoticeTargetFailed, c.request, result.Reason,
			"Class="+c.arrival.Class+" Outcome="+string(result.Outcome)+countOf(" Status", response.StatusCode())+errorOf(err))
		r.finish(c, a, nil, &gypsumrail.Event{Kind: gypsumrail.TargetFailed, Call: c.id, Result: result})
		return
	}
	r.finish(c, a, copyAnswer(response, c.isHead),
		&gypsumrail.Event{Kind: gypsumrail.TargetAnswered, Call: c.id, Result: result},
		&gypsumrail.Event{Kind: gypsumrail.TargetDone, Call: c.id, Result: &gypsumrail.Result{Outcome: gypsumrail.Ran}})
}

// judge tells from the head of a target's answer whether the call ran.
func (r *Relay) judge(response *fasthttp.Response) *gypsumrail.Result {
	own := &r.settings.Headers
	status := response.StatusCode()
	switch {
	case status == http.StatusMisdirectedRequest:
		return &gypsumrail.Result{Outcome: gypsumrail.NotRun, Reason: gypsumrail.ReasonMisdirected, Status: status}
	case len(response.Header.Peek(own.NotRun)) > 0:
		return &gypsumrail.Result{Outcome: gypsumrail.NotRun, Reason: gypsumrail.ReasonTargetBusy, Status: status}
	case status < http.StatusMultipleChoices && len(response.Header.Peek(own.Proof)) == 0:
		return &gypsumrail.Result{Outcome: gypsumrail.Unknown, Reason: gypsumrail.ReasonBroken, Status: status}
	}
	return &gypsumrail.Result{Outcome: gypsumrail.Ran, Status: status}
}

func errorOf(err error) string {
	if err == nil {
		return ""
	}
	return " Error=" + err.Error()
}
