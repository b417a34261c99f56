package relay

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/pool"
	"github.com/gypsumrail/gypsumrail/internal/node/shell"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

// call is one call that the node holds. The relay's mutex guards it, but for the
// fields above conn, which never change.
type call struct {
	id      gypsumrail.CallID
	arrival gypsumrail.Arrival
	began   time.Time
	request string // identity of this request; that of the user request is in arrival
	origin  string // service of the machine where the request began
	expect  string // FromPeer: the instance that is meant
	isHead  bool   // the method is HEAD, so that the answer has no body
	head    []byte // request line and end-to-end headers, without the empty line
	body    []byte
	held    int64 // what the body counts towards heldMax

	conn     *conn // of the caller; nil once it was answered or has left
	attempts []*attempt
	run      *attempt // on the own target
	answered *answer  // of the own target, until it is passed on
	open     int      // attempts and runs under way
}

// attempt is one use of an outgoing connection.
type attempt struct {
	answer *answer // until it is passed on

	mu       sync.Mutex
	conn     *pool.Conn
	canceled bool
}

// bind gives an attempt its connection. It returns false if the attempt was
// canceled before.
func (a *attempt) bind(conn *pool.Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = conn
	return !a.canceled
}

// cancel ends an attempt at any stage by closing its connection.
func (a *attempt) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.canceled = true
	if a.conn != nil {
		_ = a.conn.Close()
	}
}

// release takes the connection back and tells whether the attempt was canceled.
func (a *attempt) release() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
	return a.canceled
}

// answer is a whole answer without the headers of its connection.
type answer struct {
	status int
	head   []byte // status line and headers, without the empty line
	body   []byte
}

// reply is what a caller's connection writes.
type reply struct {
	head  []byte // without the empty line
	extra []byte // further header lines
	body  []byte
	close bool
}

func (c *call) cancelAttempt(number int) {
	if number >= 1 && number <= len(c.attempts) && c.attempts[number-1] != nil {
		c.attempts[number-1].cancel()
	}
}

// arrive registers a call and tells the reducer of it.
func (r *Relay) arrive(c *call) {
	r.mu.Lock()
	c.id = r.nextCall()
	r.calls[c.id] = c
	conn := c.conn
	r.drive.Rest(false)
	r.link(c)
	arrival := c.arrival
	r.step(&gypsumrail.Event{Kind: gypsumrail.CallArrived, Call: c.id, Arrival: &arrival})
	out := r.take()
	r.mu.Unlock()
	write(out, conn)
}

// link recognizes an outgoing request of the own target. Clients and the target
// use the same port and nothing states which call a request is made for, but
// identities are hierarchical: the target's is that of the call that it runs,
// then a dot and a part of its own. A request without such an identity counts as
// a client's.
func (r *Relay) link(c *call) {
	if c.arrival.Origin != gypsumrail.FromCaller {
		return
	}
	dot := strings.LastIndexByte(c.request, '.')
	if dot < 0 {
		return
	}
	if parent := r.running[c.request[:dot]]; parent != nil {
		c.arrival.Origin, c.arrival.Parent = gypsumrail.FromTarget, parent.id
		c.arrival.Request = parent.arrival.Request
		c.arrival.Hop = parent.arrival.Hop + 1
	}
}

// leave tells the reducer that the caller of a call has gone.
func (r *Relay) leave(c *call) {
	r.mu.Lock()
	if c.conn == nil {
		r.mu.Unlock()
		return
	}
	c.conn = nil
	r.step(&gypsumrail.Event{Kind: gypsumrail.CallerGone, Call: c.id})
	r.forget(c)
	out := r.take()
	r.mu.Unlock()
	write(out, nil)
}

// forget drops a call that nobody waits for and that uses no connection.
func (r *Relay) forget(c *call) {
	if c.conn == nil && c.open == 0 && r.calls[c.id] == c {
		delete(r.calls, c.id)
		r.held.Add(-c.held)
	}
}

// deliver collects the answer to a caller that still waits.
func (r *Relay) deliver(c *call, rep reply, result gypsumrail.Result) {
	if c.conn == nil {
		return
	}
	r.out = append(r.out, delivery{conn: c.conn, call: c, reply: rep})
	c.conn = nil
	a := &c.arrival
	r.parts.Meter.Ended(shell.End{
		Origin: a.Origin, Service: a.Service, Class: a.Class, Outcome: result.Outcome, Reason: result.Reason,
		Status: result.Status, Took: time.Since(c.began),
	})
	r.forget(c)
}

// answer passes on the answer of an attempt, or of the own target.
func (r *Relay) answer(e *gypsumrail.Effect) {
	c := r.calls[e.Call]
	if c == nil {
		return
	}
	var from *answer
	if e.Attempt == 0 {
		from, c.answered = c.answered, nil
	} else if e.Attempt <= len(c.attempts) && c.attempts[e.Attempt-1] != nil {
		a := c.attempts[e.Attempt-1]
		from, a.answer = a.answer, nil
	}
	if from == nil {
		return
	}
	result := gypsumrail.Result{Outcome: gypsumrail.Ran, Status: from.status, AllowanceLeft: e.Allowance, Report: e.Report, Hints: e.Hints, Uses: e.Uses}
	rep := reply{head: from.head, body: from.body}
	if c.arrival.Origin == gypsumrail.FromPeer {
		rep.extra = appendAnswer(nil, &result, r.stamp())
	} else {
		r.next = append(r.next, gypsumrail.Event{Kind: gypsumrail.AnswerDone, Call: c.id, Result: &gypsumrail.Result{Outcome: gypsumrail.Ran}})
	}
	r.deliver(c, rep, result)
}

// refuse tells the caller that there is no answer.
func (r *Relay) refuse(e *gypsumrail.Effect) {
	c := r.calls[e.Call]
	if c == nil {
		return
	}
	status := statusOf(e.Outcome, e.Reason)
	result := gypsumrail.Result{
		Outcome: e.Outcome, Reason: e.Reason, Status: status, AllowanceLeft: e.Allowance, Report: e.Report, Hints: e.Hints,
		RetryAfter: e.RetryAfter, Uses: e.Uses,
	}
	rep := refusal(r.settings.Headers.Request, c.request, status, e.Reason, e.RetryAfter)
	if c.arrival.Origin == gypsumrail.FromPeer {
		rep.extra = appendAnswer(nil, &result, r.stamp())
	} else {
		r.logRefusal(c, e, status)
	}
	r.deliver(c, rep, result)
}

// statusOf returns the status of a refusal for a plain client. 503 states that
// the request has not run and never will; 502 and 504 state nothing.
func statusOf(outcome gypsumrail.Outcome, reason gypsumrail.Reason) int {
	const notFound, badGateway, unavailable, timeout = 404, 502, 503, 504
	switch {
	case reason == gypsumrail.ReasonUnknownName && outcome == gypsumrail.NotRun:
		return notFound
	case outcome == gypsumrail.NotRun:
		return unavailable
	case reason == gypsumrail.ReasonDeadline, reason == gypsumrail.ReasonTimeout, reason == gypsumrail.ReasonSilent:
		return timeout
	}
	return badGateway
}

// refusal makes an answer of the node's own.
func refusal(requestHeader, request string, status int, reason gypsumrail.Reason, retryAfter gypsumrail.Millis) reply {
	body := append([]byte(`{"Reason":"`), reason...)
	body = append(body, "\"}\n"...)
	head := appendStatusLine(make([]byte, 0, 192), status)
	if request != "" {
		head = appendHeader(head, requestHeader, request)
	}
	head = append(head, "Content-Type: application/json\r\nContent-Length: "...)
	head = strconv.AppendInt(head, int64(len(body)), 10)
	head = append(head, '\r', '\n')
	if retryAfter > 0 {
		head = append(head, "Retry-After: "...)
		head = strconv.AppendFloat(head, float64(retryAfter)/float64(gypsumrail.Second), 'f', 3, 64)
		head = append(head, '\r', '\n')
	}
	return reply{head: head, body: body}
}

func (r *Relay) logRefusal(c *call, e *gypsumrail.Effect, status int) {
	now := r.parts.Clock.Now()
	detail := "Class=" + c.arrival.Class + " Outcome=" + string(e.Outcome) + countOf(" Status", status) +
		countOf(" Attempts", len(c.attempts)) + countOf(" Remaining", int(c.arrival.Remaining)) +
		countOf(" Waited", int(time.Since(c.began).Milliseconds())) + countOf(" RetryAfter", int(e.RetryAfter)) +
		countOf(" Revision", int(r.revision())) + countOf(" At", int(now))
	notice := NoticeRequestRefused
	if e.Outcome != gypsumrail.NotRun {
		notice = NoticeRequestFailed
	}
	r.lines.Put(notice, c.request, e.Reason, detail)
}

func countOf(name string, n int) string { return name + "=" + strconv.Itoa(n) }

// revision returns the revision of the records in force.
func (r *Relay) revision() gypsumrail.Revision {
	if records := r.records.Load(); records != nil {
		return records.Revision
	}
	return 0
}

// validRequest tells whether a client's request identity can be passed on.
func validRequest(id string) bool { return wire.ValidText(id) }
