package shell

import (
	cryptorand "crypto/rand"
	"net/http"
	"strings"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/client"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

const (
	// receiptInterval is the time between the 102 Processing answers that tell the
	// sender of a forwarded call that its receiver is alive.
	receiptInterval = time.Second
	// bodyTimeout bounds the time to buffer a small body before the reducer gets
	// the call.
	bodyTimeout = 10 * time.Second
)

// callHandler returns the HTTP handler of calls with the given origin.
func (s *Shell) callHandler(origin gypsumrail.Origin) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		began := time.Now()
		parsed, problem := parseCall(origin, r)
		if problem != nil {
			s.reject(w, parsed, *problem)
			return
		}
		rc := http.NewResponseController(w)
		// The answer may start before the whole request body is read.
		_ = rc.EnableFullDuplex()
		if origin == gypsumrail.FromPeer {
			w.WriteHeader(http.StatusProcessing)
		}
		r.Body = http.MaxBytesReader(w, r.Body, wire.BodyBytesMax)
		_ = rc.SetReadDeadline(began.Add(bodyTimeout))
		requestBody, err := client.NewRequestBody(r.Body, r.ContentLength, origin != gypsumrail.FromPeer, s.bufferBudget)
		_ = rc.SetReadDeadline(time.Time{})
		if err != nil {
			s.reject(w, parsed, wire.ProblemOf(err))
			return
		}
		if parsed.Arrival.Remaining > 0 {
			parsed.Arrival.Remaining = max(1, parsed.Arrival.Remaining-gypsumrail.MillisOf(time.Since(began)))
		}
		rsp := s.registerCall(r, parsed, requestBody)
		if rsp == nil {
			requestBody.Release()
			s.reject(w, parsed, wire.Problem{Outcome: gypsumrail.NotRun, Reason: wire.ReasonBusy, RetryAfter: gypsumrail.Second})
			return
		}
		defer s.detachHandler(rsp)
		s.awaitAnswer(w, r, rsp, origin, began)
	}
}

// parseCall checks the headers, path and declared length of a call, before its
// body is read.
func parseCall(origin gypsumrail.Origin, r *http.Request) (wire.Call, *wire.Problem) {
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

// headerSize returns the bytes of the URI and the header lines.
func headerSize(r *http.Request) int {
	size := len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}

// reject answers a call that the reducer never gets: it is malformed or too
// long, or the node serves callsMax calls.
func (s *Shell) reject(w http.ResponseWriter, parsed wire.Call, problem wire.Problem) {
	if parsed.AttemptID != "" {
		wire.SetAnswer(w.Header(), parsed.AttemptID, gypsumrail.Result{Outcome: problem.Outcome, Reason: problem.Reason})
	}
	s.closeIfDraining(w, parsed.Arrival.Origin)
	problem.Request = parsed.Arrival.Request
	wire.WriteProblem(w, problem)
	a := &parsed.Arrival
	s.parts.Meter.RecordCall(End{
		Origin: a.Origin, Service: a.Service, Class: a.Class, Account: a.Account,
		Outcome: problem.Outcome, Reason: problem.Reason, Status: wire.StatusOf(problem.Reason),
	})
}

// registerCall adds a call to the table and gives the reducer a CallArrived
// event. It returns nil if callsMax calls are in the table.
func (s *Shell) registerCall(r *http.Request, parsed wire.Call, requestBody *client.RequestBody) *responder {
	c := &call{
		arrival: parsed.Arrival, attemptID: parsed.AttemptID,
		method: r.Method, uri: r.URL.RequestURI(), host: r.Host, header: make(http.Header, len(r.Header)),
		requestBody: requestBody, attempts: make(map[int]*attempt), refs: 1,
	}
	wire.CopyEndToEnd(c.header, r.Header)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.calls) >= callsMax {
		return nil
	}
	if c.arrival.Origin == gypsumrail.FromTarget {
		s.linkToParent(c, parsed.Token)
	}
	c.id = s.nextCall()
	rsp := &responder{id: c.id, call: c, inbox: make(chan delivery, 1)}
	c.responder = rsp
	s.calls[c.id] = c
	s.loop.SetIdle(false)
	if c.arrival.Origin == gypsumrail.FromPeer {
		s.reportSender(parsed.Sender)
	}
	arrival := c.arrival
	s.step(&gypsumrail.Event{Kind: gypsumrail.CallArrived, Call: c.id, Arrival: &arrival})
	return rsp
}

// linkToParent links an outgoing call of the target to its parent, the call that
// the target runs, by the token of the run. The child gets the parent's request,
// account and class and the next hop, because the headers of its attempts need
// what the reducer takes from the parent. Without a parent it becomes the root
// of a user request, and gets a new request identity if it has none.
func (s *Shell) linkToParent(c *call, token string) {
	a := &c.arrival
	if parent := s.tokens[token]; parent != nil && token != "" {
		from := &parent.arrival
		a.Parent = parent.id
		a.Request, a.Account, a.Class, a.Hop = from.Request, from.Account, from.Class, from.Hop+1
		return
	}
	if a.Request == "" {
		a.Request = cryptorand.Text()
	}
}

// reportSender gives the reducer a PeerCalled event if the calling instance is
// new or changed since its last call. New instances are ignored once sendersMax
// are stored.
func (s *Shell) reportSender(sender gypsumrail.Instance) {
	last, known := s.senders[sender.Name]
	if last == sender || !known && len(s.senders) >= sendersMax {
		return
	}
	s.senders[sender.Name] = sender
	s.step(&gypsumrail.Event{Kind: gypsumrail.PeerCalled, Peer: sender})
}

// awaitAnswer writes the answer of a call once it is delivered, or ends the call
// if the caller disconnects first. Meanwhile it sends receipts to a calling peer.
func (s *Shell) awaitAnswer(w http.ResponseWriter, r *http.Request, rsp *responder, origin gypsumrail.Origin, began time.Time) {
	var receipts <-chan time.Time
	if origin == gypsumrail.FromPeer {
		t := time.NewTicker(receiptInterval)
		defer t.Stop()
		receipts = t.C
	}
	for {
		select {
		case m := <-rsp.inbox:
			s.writeAnswer(w, rsp, m, began)
			return
		case <-receipts:
			w.WriteHeader(http.StatusProcessing)
		case <-r.Context().Done():
			s.callerGone(rsp)
			return
		}
	}
}

// detachHandler releases the handler's reference to its call.
func (s *Shell) detachHandler(rsp *responder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rsp.call.responder == rsp {
		rsp.call.responder = nil
	}
	s.release(rsp.call)
}
