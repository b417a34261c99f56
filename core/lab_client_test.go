package core_test

import (
	"github.com/gypsumrail/gypsumrail"
)

// labClient is an external caller with one user request. It resends the request
// through a random node until it gets an answer or a refusal with outcome Ran, in at
// most labAttemptsMax attempts.
type labClient struct {
	lab      *lab
	request  string
	class    string
	key      string
	attempt  int
	finished bool // an answer or a refusal with outcome Ran arrived
}

const labAttemptsMax = 4

// start sends a user request. A keyed one is of a non-repeatable class, and the client
// requests a key first.
func (l *lab) start(request string, keyed bool) {
	c := &labClient{lab: l, request: request, class: "Read"}
	if keyed {
		c.class = "Order"
		c.requestKey()
		return
	}
	c.send()
}

func (l *lab) anyNode() *labNode { return l.nodes[l.rng.IntN(len(l.nodes))] }

// requestKey requests an idempotency key from a random node until it gets one, and
// then sends the first attempt.
func (c *labClient) requestKey() {
	l := c.lab
	n := l.anyNode()
	if !n.alive {
		l.after(100, c.requestKey)
		return
	}
	l.nextCall++
	call := l.nextCall
	n.calls[call] = &labCall{reply: func(effect gypsumrail.Effect) {
		if c.key != "" {
			return
		}
		if len(effect.Keys) == 0 {
			l.after(100, c.requestKey)
			return
		}
		c.key = effect.Keys[0]
		c.send()
	}}
	l.step(n, &gypsumrail.Event{Kind: gypsumrail.TicketsAsked, Call: call, Count: 1, Arrival: &gypsumrail.Arrival{Service: "front", Class: c.class}})
}

// send sends the next attempt through a random node.
func (c *labClient) send() {
	l := c.lab
	c.attempt++
	attempt := c.attempt
	n := l.anyNode()
	identity := identityOf(c.request, attempt)
	if !n.alive {
		c.resend(attempt)
		return
	}
	l.nextCall++
	call := l.nextCall
	n.calls[call] = &labCall{
		request: c.request, service: "front", identity: identity, key: c.key, attempts: map[int]*labAttempt{},
		reply: func(effect gypsumrail.Effect) { c.replied(attempt, effect) },
	}
	l.step(n, &gypsumrail.Event{Kind: gypsumrail.CallArrived, Call: call, Arrival: &gypsumrail.Arrival{
		Origin: gypsumrail.FromCaller, Service: "front", Class: c.class, Request: c.request, Attempt: attempt, Key: c.key,
		Remaining: gypsumrail.Millis(200 + l.rng.IntN(2000)),
	}})
	if l.chance(l.faults.callerGone) {
		l.after(gypsumrail.Millis(l.rng.IntN(100)), func() { l.step(n, &gypsumrail.Event{Kind: gypsumrail.CallerGone, Call: call}) })
	}
	l.after(gypsumrail.Millis(300+l.rng.IntN(2500)), func() { c.resend(attempt) })
}

// replied records the reply to an attempt, and resends after a refusal.
func (c *labClient) replied(attempt int, effect gypsumrail.Effect) {
	if effect.Kind == gypsumrail.Answer {
		c.finished = true
		c.lab.answered++
		return
	}
	c.lab.refusals = append(c.lab.refusals, callerRefusal{c.request, attempt, c.key != "", effect.Outcome})
	if effect.Outcome == gypsumrail.Ran {
		c.finished = true
		return
	}
	c.lab.after(gypsumrail.Millis(c.lab.rng.IntN(300)), func() { c.resend(attempt) })
}

// resend sends the next attempt unless the request is finished or an attempt after the
// given one was sent.
func (c *labClient) resend(attempt int) {
	if !c.finished && attempt == c.attempt && c.attempt < labAttemptsMax {
		c.send()
	}
}
