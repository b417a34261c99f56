package shell

import (
	cryptorand "crypto/rand"
	"net/http"
	"strings"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/link"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

const (
	// receiptEvery is the time between the receipts of a forwarded call.
	receiptEvery = time.Second
	// bodyTime bounds the reading of a small body before the call is admitted.
	bodyTime = 10 * time.Second
)

// accept returns the handler of calls that arrive on the port of an origin.
func (s *Shell) accept(origin gypsumrail.Origin) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		began := time.Now()
		parsed, problem := parse(origin, r)
		if problem != nil {
			s.reject(w, parsed, *problem)
			return
		}
		control := http.NewResponseController(w)
		// An answer may begin before the request's body has ended.
		_ = control.EnableFullDuplex()
		if origin == gypsumrail.FromPeer {
			w.WriteHeader(http.StatusProcessing)
		}
		r.Body = http.MaxBytesReader(w, r.Body, wire.BodyBytesMax)
		_ = control.SetReadDeadline(began.Add(bodyTime))
		source, err := link.NewSource(r.Body, r.ContentLength, origin != gypsumrail.FromPeer, s.buffers)
		_ = control.SetReadDeadline(time.Time{})
		if err != nil {
			s.reject(w, parsed, wire.ProblemOf(err))
			return
		}
		if parsed.Arrival.Remaining > 0 {
			parsed.Arrival.Remaining = max(1, parsed.Arrival.Remaining-gypsumrail.MillisOf(time.Since(began)))
		}
		k := s.arrive(r, parsed, source)
		if k == nil {
			source.Release()
			s.reject(w, parsed, wire.Problem{Outcome: gypsumrail.NotRun, Reason: wire.ReasonBusy, RetryAfter: gypsumrail.Second})
			return
		}
		defer s.done(k)
		s.wait(w, r, k, origin, began)
	}
}

// parse checks a call before any work is done for it.
func parse(origin gypsumrail.Origin, r *http.Request) (wire.Call, *wire.Problem) {
	if size := headerSize(r); size > wire.HeaderBytesMax {
		return wire.Call{}, &wire.Problem{Outcome: gypsumrail.NotRun, Reason: wire.ReasonHeadersTooLong}
	}
	call, err := wire.ParseCall(origin, r)
	if err == nil && !strings.HasPrefix(r.URL.RequestURI(), "/") {
		err = &wire.FieldError{Field: "path", Problem: "must begin with /"}
	}
	if err == nil && r.ContentLength > wire.BodyBytesMax {
		err = &http.MaxBytesError{Limit: wire.BodyBytesMax}
	}
	if err != nil {
		problem := wire.ProblemOf(err)
		return call, &problem
	}
	return call, nil
}

func headerSize(r *http.Request) int {
	size := len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}

// reject answers a call that does not reach the reducer.
func (s *Shell) reject(w http.ResponseWriter, parsed wire.Call, problem wire.Problem) {
	if parsed.AttemptID != "" {
		wire.SetAnswer(w.Header(), parsed.AttemptID, gypsumrail.Result{Outcome: problem.Outcome, Reason: problem.Reason})
	}
	s.farewell(w, parsed.Arrival.Origin)
	problem.Request = parsed.Arrival.Request
	wire.WriteProblem(w, problem)
	a := &parsed.Arrival
	s.parts.Meter.Ended(End{
		Origin: a.Origin, Service: a.Service, Class: a.Class, Tenant: a.Tenant,
		Outcome: problem.Outcome, Reason: problem.Reason, Status: wire.StatusOf(problem.Reason),
	})
}

// arrive registers a call and tells the reducer of it. It returns nil if the
// node holds too many calls.
func (s *Shell) arrive(r *http.Request, parsed wire.Call, source *link.Source) *sink {
	c := &call{
		arrival: parsed.Arrival, attemptID: parsed.AttemptID,
		method: r.Method, uri: r.URL.RequestURI(), host: r.Host, header: make(http.Header, len(r.Header)),
		source: source, attempts: make(map[int]*attempt), holders: 1,
	}
	wire.CopyEndToEnd(c.header, r.Header)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.calls) >= callsMax {
		return nil
	}
	if c.arrival.Origin == gypsumrail.FromTarget {
		s.inherit(c, parsed.Token)
	}
	c.id = s.nextCall()
	k := &sink{id: c.id, call: c, mail: make(chan message, 1)}
	c.sink = k
	s.calls[c.id] = c
	s.drive.Rest(false)
	if c.arrival.Origin == gypsumrail.FromPeer {
		s.noteSender(parsed.Sender)
	}
	arrival := c.arrival
	s.step(&gypsumrail.Event{Kind: gypsumrail.CallArrived, Call: c.id, Arrival: &arrival})
	return k
}

// inherit links an outgoing call of the target to the call that it runs. The
// headers of calls to other nodes need what the reducer takes from the parent.
func (s *Shell) inherit(c *call, token string) {
	a := &c.arrival
	if parent := s.tokens[token]; parent != nil && token != "" {
		from := &parent.arrival
		a.Parent = parent.id
		a.Request, a.Tenant, a.Class, a.Hop = from.Request, from.Tenant, from.Class, from.Hop+1
		return
	}
	if a.Request == "" {
		a.Request = cryptorand.Text()
	}
}

// noteSender tells the reducer when a calling instance changed since it last called.
func (s *Shell) noteSender(sender gypsumrail.Instance) {
	last, known := s.seen[sender.Name]
	if last == sender || !known && len(s.seen) >= seenMax {
		return
	}
	s.seen[sender.Name] = sender
	s.step(&gypsumrail.Event{Kind: gypsumrail.PeerCalled, Peer: sender})
}

// wait serves a handler until its call has ended.
func (s *Shell) wait(w http.ResponseWriter, r *http.Request, k *sink, origin gypsumrail.Origin, began time.Time) {
	var receipts <-chan time.Time
	if origin == gypsumrail.FromPeer {
		t := time.NewTicker(receiptEvery)
		defer t.Stop()
		receipts = t.C
	}
	for {
		select {
		case m := <-k.mail:
			s.pass(w, k, m, began)
			return
		case <-receipts:
			w.WriteHeader(http.StatusProcessing)
		case <-r.Context().Done():
			s.leave(k)
			return
		}
	}
}

// done ends the use of a call by its handler.
func (s *Shell) done(k *sink) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k.call.sink == k {
		k.call.sink = nil
	}
	s.release(k.call)
}
