package replay

import (
	"math/rand/v2"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/lab/loads"
)

// user is the client of one user request.
type user struct {
	simulation *simulation
	request    *loads.Request
	tries      int    // started so far
	answered   bool   // with success
	key        string // idempotency key
	random     *rand.Rand
}

// try is one try of a client: a call to one node, after a request for an
// idempotency key if the class needs one.
type try struct {
	user *user
	node *node
	call *call // nil until the first call reaches the node
	done bool  // answered or timed out
}

// startClients starts each client when its request arrives. Only the next
// arrival is queued, so the event queue stays short.
func (s *simulation) startClients(requests []loads.Request) {
	if len(requests) == 0 {
		return
	}
	request := &requests[0]
	s.after(request.At-s.now, func() {
		u := &user{simulation: s, request: request, random: rand.New(rand.NewPCG(request.Seed, 0))}
		u.startTry()
		s.startClients(requests[1:])
	})
}

// startTry starts the next try at a random node of the client's zone.
func (u *user) startTry() {
	s, phase := u.simulation, u.request.Phase
	nodes := s.byZone[phase.Zone]
	u.tries++
	s.tally.ByRequest[u.request.Index].ClientAttempts++
	t := &try{user: u, node: nodes[u.random.IntN(len(nodes))]}
	wait := u.request.Deadline() - s.now
	if phase.Timeout > 0 {
		wait = min(wait, loads.FromMillis(phase.Timeout))
	}
	s.after(wait, t.handleTimeout)
	s.after(s.clientDelay, func() {
		if !u.request.Tree.Class.Repeatable && u.key == "" {
			t.requestTicket()
			return
		}
		t.send()
	})
}

// remaining returns the remaining time that the client states. It leaves out the
// delay of the answer, because clients know that delay from earlier answers. Hard
// clients state none (0), so the deadline of the class applies to their calls.
func (t *try) remaining() gypsumrail.Millis {
	if t.user.request.Phase.Hard {
		return 0
	}
	s := t.user.simulation
	remaining := t.user.request.Deadline() - s.now - s.clientDelay
	if timeout := t.user.request.Phase.Timeout; timeout > 0 {
		remaining = min(remaining, loads.FromMillis(timeout)-2*s.clientDelay)
	}
	return max(remaining.Millis(), 1)
}

func (t *try) send() {
	if t.done && !t.user.request.Phase.Hard {
		return
	}
	t.call = t.node.newCall(call{
		request: t.user.request, origin: gypsumrail.FromCaller, clientTry: t.user.tries, key: t.user.key, reply: t.handleResult,
	})
	t.call.arrive(gypsumrail.Arrival{Remaining: t.remaining(), Key: t.user.key})
}

// requestTicket asks the node for an idempotency key, as clients of classes that
// are not repeatable do before the first call.
func (t *try) requestTicket() {
	class := t.user.request.Tree.Class
	t.call = t.node.newCall(call{request: t.user.request, origin: gypsumrail.FromCaller, reply: t.handleTicket})
	t.node.step(gypsumrail.Event{
		Kind: gypsumrail.TicketsAsked, Call: t.call.id, Count: 1,
		Arrival: &gypsumrail.Arrival{Service: class.Service, Class: class.Name},
	})
}

func (t *try) handleTicket(result callResult) {
	if t.done {
		return
	}
	if len(result.keys) == 0 {
		t.handleResult(result)
		return
	}
	if t.user.key == "" {
		t.user.key = result.keys[0]
	}
	t.user.simulation.after(t.user.simulation.clientDelay, t.send)
}

func (t *try) handleResult(result callResult) {
	u := t.user
	if result.ok() {
		// Hard clients also accept answers to earlier tries.
		if !t.done || u.request.Phase.Hard {
			u.answered = true
			u.simulation.tally.Answered(u.request, u.simulation.now)
		}
		t.done = true
		return
	}
	if t.done {
		return
	}
	t.done = true
	if len(result.keys) > 0 && result.outcome == gypsumrail.NotRun {
		u.key = result.keys[0]
	}
	u.retry(result.retryAfter)
}

func (t *try) handleTimeout() {
	if t.done || t.user.answered {
		return
	}
	t.done = true
	if t.call != nil && !t.user.request.Phase.Hard {
		t.user.simulation.after(t.user.simulation.clientDelay, t.call.disconnect)
	}
	t.user.retry(0)
}

// retry schedules another try if the client has one left and the try would start
// before the deadline. The backoff doubles with each try, at most 10 times, and
// has random jitter; a longer retryAfter replaces it. Hard clients do not wait.
func (u *user) retry(retryAfter gypsumrail.Millis) {
	phase := u.request.Phase
	if u.answered || u.tries > phase.Retries {
		return
	}
	wait := loads.Micros(0)
	if !phase.Hard {
		wait = loads.Micros(float64(loads.FromMillis(phase.Backoff)<<min(u.tries-1, 10)) * (0.5 + u.random.Float64()))
		wait = max(wait, loads.FromMillis(retryAfter))
	}
	if u.simulation.now+wait >= u.request.Deadline() {
		return
	}
	u.simulation.after(wait, u.startTry)
}
