package shell

import (
	"slices"

	"github.com/gypsumrail/gypsumrail"
)

// post gives one event to the reducer and performs the effects.
func (s *Shell) post(event *gypsumrail.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.step(event)
}

// step is post for callers that hold s.mu.
func (s *Shell) step(event *gypsumrail.Event) { s.loop.Step(event) }

// perform starts the work of an effect. The driver calls it during a step, with
// s.mu locked, so it must neither block nor give the reducer an event.
func (s *Shell) perform(now gypsumrail.Millis, e *gypsumrail.Effect) {
	switch e.Kind {
	case gypsumrail.Forward:
		s.forward(now, e)
	case gypsumrail.RunTarget:
		s.runTarget(now, e)
	case gypsumrail.Answer:
		s.answer(e)
	case gypsumrail.Refuse:
		s.refuse(e)
	case gypsumrail.Join:
		s.join(e)
	case gypsumrail.CancelAttempt:
		if c := s.calls[e.Call]; c != nil {
			c.cancelAttempt(e.Attempt)
		}
	case gypsumrail.CancelTarget:
		if c := s.calls[e.Call]; c != nil && c.run != nil {
			c.run.cancel()
		}
	case gypsumrail.AskResolve:
		go s.askResolve(e.Call, e.Attempt, e.To, e.Key, e.HomeAttempt)
	case gypsumrail.ResolveReply, gypsumrail.Tickets, gypsumrail.ReplyGrant:
		s.reply(e)
	case gypsumrail.SendExchange:
		s.sendExchange(e)
	case gypsumrail.AskGrant:
		s.askGrant(e)
	case gypsumrail.Pull:
		go s.pull(e.To, e.Value)
	case gypsumrail.Adopt:
		if s.store.Adopt(e.Value) && e.Value.Name == gypsumrail.ValueRecords {
			s.ready.setConfigured()
		}
	case gypsumrail.Watch:
		s.watch(e.On)
	case gypsumrail.Log:
		if e.Notice == gypsumrail.NoticeDefaultsInUse {
			s.ready.setConfigured()
		}
		s.log.Put(e.Notice, e.Subject, e.Reason, e.Detail)
	case gypsumrail.Stop:
		if !s.stopping {
			s.stopping = true
			close(s.stopped)
		}
	}
}

// nextCall returns a new ID for a call or for a question to the reducer.
func (s *Shell) nextCall() gypsumrail.CallID {
	s.lastCall++
	return s.lastCall
}

// reply sends an effect to the waiter of its call ID, if it still waits. The
// effect is copied, because it is valid only until the next step.
func (s *Shell) reply(e *gypsumrail.Effect) {
	waiter, ok := s.waiters[e.Call]
	if !ok {
		return
	}
	delete(s.waiters, e.Call)
	waiter <- copyEffect(e)
}

// postQuestion posts an event under a new call ID. The effect that replies has
// the same ID and arrives on the channel, during this step or a later one.
func (s *Shell) postQuestion(event *gypsumrail.Event) (gypsumrail.CallID, <-chan gypsumrail.Effect) {
	waiter := make(chan gypsumrail.Effect, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	event.Call = s.nextCall()
	s.waiters[event.Call] = waiter
	s.step(event)
	return event.Call, waiter
}

// dropWaiter removes the waiter of a question that timed out. A later reply is
// dropped.
func (s *Shell) dropWaiter(id gypsumrail.CallID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, id)
}

func copyEffect(e *gypsumrail.Effect) gypsumrail.Effect {
	c := *e
	c.Report = copyReport(e.Report)
	c.Hints = slices.Clone(e.Hints)
	c.Keys = slices.Clone(e.Keys)
	if e.Exchange != nil {
		x := copyExchange(e.Exchange)
		c.Exchange = &x
	}
	return c
}

func copyReport(r *gypsumrail.Report) *gypsumrail.Report {
	if r == nil {
		return nil
	}
	c := *r
	return &c
}

func copyExchange(x *gypsumrail.Exchange) gypsumrail.Exchange {
	c := *x
	c.Entries = slices.Clone(x.Entries)
	c.Digest.Values = slices.Clone(x.Digest.Values)
	return c
}
