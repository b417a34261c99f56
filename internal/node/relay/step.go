package relay

import (
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/shell"
)

// delivery is a reply that waits to be written after the current step.
type delivery struct {
	conn *conn
	call *call
	reply
}

// post gives an event to the reducer, performs the effects and writes the resulting
// replies in goroutines of their own.
func (r *Relay) post(event *gypsumrail.Event) { r.postFor(event, nil) }

// postFor is post, but writes a reply to own in the calling goroutine.
func (r *Relay) postFor(event *gypsumrail.Event, own *conn) {
	r.mu.Lock()
	r.step(event)
	out := r.takeDeliveries()
	r.mu.Unlock()
	writeReplies(out, own)
}

// takeDeliveries returns the collected replies and clears the list. The caller holds
// the mutex.
func (r *Relay) takeDeliveries() []delivery {
	deliveries := r.deliveries
	r.deliveries = nil
	r.unwritten.Add(int64(len(deliveries)))
	return deliveries
}

// writeReplies writes a reply to the connection own in the calling goroutine and each
// other reply in a new goroutine, because a client that reads slowly must not delay
// other clients. The caller passes as own the connection that it serves or that of
// the call that it works for, or nil. It must not hold the mutex.
func writeReplies(out []delivery, own *conn) {
	for i := range out {
		if out[i].conn != own {
			go out[i].write()
		}
	}
	for i := range out {
		if out[i].conn == own {
			out[i].write()
		}
	}
}

func (d *delivery) write() {
	defer d.conn.relay.unwritten.Add(-1)
	defer d.hold.Release()
	d.conn.respond(d.reply)
}

const (
	// stopWriteTime is the time after DrainMax in which the last answers are still written.
	// It is part of the reserve of package verbs.
	stopWriteTime = 300 * time.Millisecond
	// stopPollInterval is short enough that the stop of a node does not seem delayed.
	stopPollInterval = 2 * time.Millisecond
)

// awaitWrites waits until all replies are written, because the reducer regards a call as done
// before that, but not longer than stopWriteTime after DrainMax.
func (r *Relay) awaitWrites() {
	for r.unwritten.Load() > 0 && time.Now().UnixNano() < r.stopBy.Load() {
		time.Sleep(stopPollInterval)
	}
}

// step gives the reducer an event and then the follow-up events of its effects. The
// caller holds the mutex.
func (r *Relay) step(event *gypsumrail.Event) {
	r.loop.Step(event)
	for len(r.followUps) > 0 {
		follows := r.followUps[0]
		r.followUps = r.followUps[1:]
		r.loop.Step(&follows)
	}
	r.followUps = r.followUps[:0]
	if event.Kind == gypsumrail.Tick {
		r.loop.SetIdle(len(r.calls) == 0)
	}
}

// perform starts an effect. The driver calls it during a step, under the mutex, so it
// must neither block nor give the reducer an event.
func (r *Relay) perform(now gypsumrail.Millis, e *gypsumrail.Effect) {
	switch e.Kind {
	case gypsumrail.Forward:
		r.forward(now, e)
	case gypsumrail.RunTarget:
		r.runTarget(now, e)
	case gypsumrail.Answer:
		r.passAnswer(e)
	case gypsumrail.Refuse:
		r.refuse(e)
	case gypsumrail.CancelAttempt:
		if c := r.calls[e.Call]; c != nil {
			c.cancelAttempt(e.Attempt)
		}
	case gypsumrail.CancelTarget:
		if c := r.calls[e.Call]; c != nil && c.targetAttempt != nil {
			c.targetAttempt.cancel()
		}
	case gypsumrail.SendExchange:
		r.sendExchange(e)
	case gypsumrail.AskGrant:
		r.askGrant(e)
	case gypsumrail.ReplyGrant:
		r.grantReply = e.Granted
	case gypsumrail.Pull:
		go r.pull(e.To, e.Value)
	case gypsumrail.Adopt:
		r.values.Adopt(e.Value)
	case gypsumrail.Log:
		r.log.Put(e.Notice, e.Subject, e.Reason, e.Detail)
	case gypsumrail.Stop:
		if !r.stopping {
			r.stopping = true
			close(r.stopped)
		}
	case gypsumrail.Watch:
		// The follower watches from the start of the node to its end.
	default:
		r.log.Put(shell.NoticeServerFault, string(e.Kind), gypsumrail.ReasonNone, "the relay does not support this kind of effect")
	}
}

// nextCall returns a new ID. The caller holds the mutex.
func (r *Relay) nextCall() gypsumrail.CallID {
	r.lastCall++
	return r.lastCall
}
