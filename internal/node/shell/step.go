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

// step is post for callers that hold the mutex.
func (s *Shell) step(event *gypsumrail.Event) { s.drive.Step(event) }

// perform starts what an effect asks for. It must neither wait nor step.
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
	case gypsumrail.ResolveReply, gypsumrail.Tickets:
		s.reply(e)
	case gypsumrail.SendExchange:
		s.sendExchange(e)
	case gypsumrail.Pull:
		go s.pull(e.To, e.Value)
	case gypsumrail.Adopt:
		if s.store.Adopt(e.Value) && e.Value.Name == gypsumrail.ValueRecords {
			s.ready.adopt()
		}
	case gypsumrail.Watch:
		s.watch(e.On)
	case gypsumrail.Log:
		if e.Notice == gypsumrail.NoticeDefaultsInUse {
			s.ready.adopt()
		}
		s.lines.Put(e.Notice, e.Subject, e.Reason, e.Detail)
	case gypsumrail.Stop:
		if !s.stopping {
			s.stopping = true
			close(s.stopped)
		}
	}
}

// nextCall returns a new number for a call or a question.
func (s *Shell) nextCall() gypsumrail.CallID {
	s.lastCall++
	return s.lastCall
}

// reply hands an answer to whoever asked with this call number. The effect is
// copied, because it is valid only until the next step.
func (s *Shell) reply(e *gypsumrail.Effect) {
	waiter, ok := s.waiters[e.Call]
	if !ok {
		return
	}
	delete(s.waiters, e.Call)
	waiter <- copyEffect(e)
}

// ask posts an event that an effect with the same call number answers, now or later.
func (s *Shell) ask(event *gypsumrail.Event) (gypsumrail.CallID, <-chan gypsumrail.Effect) {
	waiter := make(chan gypsumrail.Effect, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	event.Call = s.nextCall()
	s.waiters[event.Call] = waiter
	s.step(event)
	return event.Call, waiter
}

// forget ends a question that is no longer waited for.
func (s *Shell) forget(id gypsumrail.CallID) {
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
