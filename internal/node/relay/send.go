package relay

import (
	"cmp"
	"errors"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/form"
	"github.com/gypsumrail/gypsumrail/internal/node/pool"
	"github.com/gypsumrail/gypsumrail/internal/node/shell"
)

// forward performs the Forward effect: it starts sending an attempt to another node.
func (r *Relay) forward(now gypsumrail.Millis, e *gypsumrail.Effect) {
	c := r.calls[e.Call]
	if c == nil {
		return
	}
	a := newAttempt()
	for len(c.attempts) < e.Attempt {
		c.attempts = append(c.attempts, nil)
	}
	c.attempts[e.Attempt-1] = a
	c.active++
	remaining := max(e.Deadline-now, 1)
	message := make([]byte, 0, len(c.head)+256)
	message = append(message, c.head...)
	message = appendCall(message, c, e, remaining, r.revisions())
	if zone := r.settings.Self.Zone; e.To.Zone != zone {
		message = appendHeader(message, headerZone, url.QueryEscape(zone))
	}
	message = append(message, '\r', '\n')
	x := &httpExchange{
		pool: r.peers, host: e.To.Address, request: c.request, header: r.settings.Headers.Request,
		isHead: c.isHead, deadline: time.Now().Add(remaining.Duration()),
		answer: answerReader{quota: r.parts.Answers, target: e.To.Name},
	}
	x.setMessage(message, c.body)
	if e.Attempt > 1 {
		r.log.Put(NoticeRequestResent, c.request, gypsumrail.ReasonNone,
			"Class="+c.arrival.Class+" To="+e.To.Name+countField(" Attempt", e.Attempt)+countField(" Remaining", int(remaining)))
	}
	go r.send(c, a, e.Attempt, e.To, x)
}

// send sends an attempt and gives the reducer an AttemptAnswered or AttemptFailed
// event.
func (r *Relay) send(c *call, a *attempt, number int, to gypsumrail.Instance, x *httpExchange) {
	response := responses.Get().(*fasthttp.Response) //nolint:forcetypeassert // the pool holds nothing else
	defer responses.Put(response)
	event := gypsumrail.Event{Kind: gypsumrail.AttemptFailed, Call: c.id, Attempt: number}
	var got *answer
	defer x.answer.drop()
	err := x.do(a, response)
	if err == nil {
		var result gypsumrail.Result
		var theirs revisions
		if result, theirs, err = parseAnswer(&response.Header); err != nil {
			err = form.New(form.NodeHeader, err)
		} else {
			event.Kind, event.Result = gypsumrail.AttemptAnswered, &result
			r.checkPeerRevisions(theirs, to.Address)
			if result.Outcome == gypsumrail.Ran && result.Reason == gypsumrail.ReasonNone {
				result.Stated = r.readStated(&response.Header, false)
				got = x.takeAnswer(response)
				result.Bytes = len(got.head) + got.body.size()
			}
		}
	}
	if err != nil {
		r.logGivenUp(c, x, err)
		r.reportFault(shell.HopPeer, c, a, x, err)
		event.Result = resultOf(err)
		if event.Result.Reason == gypsumrail.ReasonSilent || errors.Is(err, pool.ErrConnect) {
			r.peers.CloseIdle(to.Address)
		}
	}
	r.finishAttempt(c, a, got, &event)
}

// finishAttempt records the end of an attempt or run with its answer, or nil, and
// gives its events to the reducer, except those of a canceled attempt.
func (r *Relay) finishAttempt(c *call, a *attempt, got *answer, events ...*gypsumrail.Event) {
	r.mu.Lock()
	c.active--
	// The reducer no longer tracks a canceled attempt. It needs the end of every run.
	canceled := a.isCanceled()
	switch {
	case a == c.targetAttempt:
		c.targetAnswer.release() // of an earlier run
		c.targetAnswer, c.targetAttempt = got, nil
		if r.running[c.request] == c {
			delete(r.running, c.request)
		}
	case !canceled && slices.Contains(c.attempts, a):
		a.answer = got
	default:
		got.release()
	}
	own := c.conn
	for _, event := range events {
		if !canceled || event.Attempt == 0 {
			r.step(event)
		}
	}
	r.removeIfDone(c)
	out := r.takeDeliveries()
	r.mu.Unlock()
	writeReplies(out, own)
}

// takeAnswer takes the answer out of the exchange and its response, which returns to its
// pool. The receiver must pass the answer on or release it.
func (x *httpExchange) takeAnswer(response *fasthttp.Response) *answer {
	body, hold := x.answer.body, x.answer.hold
	x.answer.body, x.answer.hold = nil, nil
	return &answer{status: response.StatusCode(), head: answerHead(&response.Header, body.size(), x.isHead), body: body, hold: hold}
}

// runTarget performs the RunTarget effect: it starts a call on this node's target. If the
// call was removed, its caller has gone and a TargetFailed event follows.
func (r *Relay) runTarget(now gypsumrail.Millis, e *gypsumrail.Effect) {
	c := r.calls[e.Call]
	if c == nil {
		r.followUps = append(r.followUps, gypsumrail.Event{
			Kind: gypsumrail.TargetFailed, Call: e.Call,
			Result: &gypsumrail.Result{Outcome: gypsumrail.NotRun, Reason: gypsumrail.ReasonCallerGone},
		})
		return
	}
	own := &r.settings.Headers
	a := newAttempt()
	c.targetAttempt = a
	c.active++
	r.running[c.request] = c
	remaining := max(e.Deadline-now, 1)
	expectedTarget := c.expectedTarget
	if expectedTarget == "" {
		expectedTarget = e.To.Name
	}
	message := make([]byte, 0, len(c.head)+128)
	message = append(message, c.head...)
	message = appendNumber(message, own.Remaining, int64(remaining))
	if expectedTarget != "" {
		message = appendHeader(message, own.Expect, expectedTarget)
	}
	message = appendHeader(message, own.Origin, c.origin)
	if account := targetAccount(c); account != "" && own.Account != "" {
		message = appendHeader(message, own.Account, account)
	}
	message = append(message, '\r', '\n')
	x := &httpExchange{
		pool: r.targets, host: r.settings.Target, request: c.request, header: own.Request,
		isHead: c.isHead, deadline: time.Now().Add(remaining.Duration()),
		answer: answerReader{quota: r.parts.Answers, target: cmp.Or(expectedTarget, r.settings.Target)},
	}
	x.setMessage(message, c.body)
	go r.runOnTarget(c, a, x)
}

// runOnTarget runs a call on this node's target. It gives the reducer a TargetFailed
// event, or TargetAnswered and TargetDone.
func (r *Relay) runOnTarget(c *call, a *attempt, x *httpExchange) {
	response := responses.Get().(*fasthttp.Response) //nolint:forcetypeassert // the pool holds nothing else
	defer responses.Put(response)
	result := &gypsumrail.Result{Outcome: gypsumrail.Ran}
	defer x.answer.drop()
	err := x.do(a, response)
	if err == nil {
		if result = r.classifyAnswer(response); result.Reason == gypsumrail.ReasonBroken {
			r.reportFault(shell.HopTarget, c, a, x, form.New(form.Proof, nil))
		}
		if x.unidentified {
			// The next node would otherwise have to doubt the answer again.
			response.Header.Set(x.header, x.request)
			if result.Outcome == gypsumrail.NotRun {
				result.Outcome, result.Reason = gypsumrail.Unknown, gypsumrail.ReasonBroken
			}
		}
	} else {
		r.logGivenUp(c, x, err)
		r.reportFault(shell.HopTarget, c, a, x, err)
		result = resultOf(err)
		switch {
		case result.Reason == gypsumrail.ReasonConnect:
			result.Reason = gypsumrail.ReasonTargetFailed
		case result.Reason == gypsumrail.ReasonBroken && !a.isCanceled() && !isGivenUp(err) && r.targetEnded():
			result.Reason = gypsumrail.ReasonCrashed
		}
		r.targets.CloseExpired()
	}
	result.Stated = r.readStated(&response.Header, err != nil)
	if result.Stated != nil && result.Stated.Unreadable {
		r.logUnreadable(&response.Header, c.request)
	}
	result.Bytes = x.answer.body.size()
	result.Stated = r.readLoad(&response.Header, result.Stated, c.request)
	if result.Reason != gypsumrail.ReasonNone {
		r.log.Put(NoticeTargetFailed, c.request, result.Reason,
			"Class="+c.arrival.Class+" Outcome="+string(result.Outcome)+countField(" Status", response.StatusCode())+
				" Fingerprint="+gypsumrail.FormatFingerprint(c.arrival.Fingerprint)+errorField(err))
		r.finishAttempt(c, a, nil, &gypsumrail.Event{Kind: gypsumrail.TargetFailed, Call: c.id, Result: result})
		return
	}
	r.finishAttempt(c, a, x.takeAnswer(response),
		&gypsumrail.Event{Kind: gypsumrail.TargetAnswered, Call: c.id, Result: result},
		&gypsumrail.Event{Kind: gypsumrail.TargetDone, Call: c.id, Result: &gypsumrail.Result{Outcome: gypsumrail.Ran}})
}

// classifyAnswer returns, from the status and headers of a target's answer, whether
// the call ran.
func (r *Relay) classifyAnswer(response *fasthttp.Response) *gypsumrail.Result {
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

// errorField formats an error for the end of a log detail, or returns "" for nil.
func errorField(err error) string {
	if err == nil {
		return ""
	}
	return " Error=" + err.Error()
}
