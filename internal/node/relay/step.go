package relay

import (
	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/shell"
)

// delivery is an answer that is written after the step that decided it.
type delivery struct {
	conn *conn
	call *call
	reply
}

// post gives one event to the reducer, performs the effects, and writes the
// answers that came of it. The caller's goroutine writes only to own, its
// connection or that of the call that it works for: a client that reads slowly
// must not hold up what serves others.
func (r *Relay) post(event *gypsumrail.Event) { r.postFor(event, nil) }

func (r *Relay) postFor(event *gypsumrail.Event, own *conn) {
	r.mu.Lock()
	r.step(event)
	out := r.take()
	r.mu.Unlock()
	write(out, own)
}

// take returns the collected answers. The caller holds the mutex.
func (r *Relay) take() []delivery {
	out := r.out
	r.out = nil
	return out
}

func write(out []delivery, own *conn) {
	for i := range out {
		if out[i].conn != own {
			go out[i].conn.respond(out[i].reply)
		}
	}
	for i := range out {
		if out[i].conn == own {
			own.respond(out[i].reply)
		}
	}
}

// step takes an event and those that follow from it.
func (r *Relay) step(event *gypsumrail.Event) {
	r.drive.Step(event)
	for len(r.next) > 0 {
		follows := r.next[0]
		r.next = r.next[1:]
		r.drive.Step(&follows)
	}
	r.next = r.next[:0]
	if event.Kind == gypsumrail.Tick {
		r.drive.Rest(len(r.calls) == 0)
	}
}

// perform starts what an effect asks for. It must neither wait nor step.
func (r *Relay) perform(now gypsumrail.Millis, e *gypsumrail.Effect) {
	switch e.Kind {
	case gypsumrail.Forward:
		r.forward(now, e)
	case gypsumrail.RunTarget:
		r.runTarget(now, e)
	case gypsumrail.Answer:
		r.answer(e)
	case gypsumrail.Refuse:
		r.refuse(e)
	case gypsumrail.CancelAttempt:
		if c := r.calls[e.Call]; c != nil {
			c.cancelAttempt(e.Attempt)
		}
	case gypsumrail.CancelTarget:
		if c := r.calls[e.Call]; c != nil && c.run != nil {
			c.run.cancel()
		}
	case gypsumrail.SendExchange:
		r.sendExchange(e)
	case gypsumrail.Pull:
		go r.pull(e.To, e.Value)
	case gypsumrail.Adopt:
		r.values.Adopt(e.Value)
	case gypsumrail.Log:
		r.lines.Put(e.Notice, e.Subject, e.Reason, e.Detail)
	case gypsumrail.Stop:
		if !r.stopping {
			r.stopping = true
			close(r.stopped)
		}
	case gypsumrail.Watch:
		// Every node watches from its start to its end.
	default:
		r.lines.Put(shell.NoticeServerFault, string(e.Kind), gypsumrail.ReasonNone, "the relay cannot perform this effect")
	}
}

func (r *Relay) nextCall() gypsumrail.CallID {
	r.lastCall++
	return r.lastCall
}
