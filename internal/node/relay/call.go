package relay

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/pool"
	"github.com/gypsumrail/gypsumrail/internal/node/quota"
	"github.com/gypsumrail/gypsumrail/internal/node/shell"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

// call is a call in flight at this node. The fields above conn do not change after
// registerCall has added the call to the table. The relay's mutex guards the others.
type call struct {
	id             gypsumrail.CallID
	arrival        gypsumrail.Arrival
	began          time.Time
	request        string // request identity of this call; that of the user request is in arrival
	origin         string // service of the machine where the user request began
	expectedTarget string // name of the instance that the sending node chose; empty for a client's request
	isHead         bool   // the method is HEAD: the answer has no body
	head           []byte // request line and end-to-end headers, without the empty line
	body           body
	hold           *quota.Hold // of the body's memory; nil for a short one
	credential     credential

	conn          *conn // of the caller; nil after the answer or after the caller has gone
	attempts      []*attempt
	targetAttempt *attempt // current run on this node's target, or nil
	targetAnswer  *answer  // of this node's target, until passAnswer takes it
	active        int      // attempts and runs whose goroutine has not finished
}

// attempt is one send of a call to another node, or one run of it on this node's target.
type attempt struct {
	answer *answer // set by finishAttempt, taken by passAnswer; guarded by the relay's mutex

	canceling chan struct{} // closed by cancel; nil if nothing waits for it

	mu       sync.Mutex
	conn     *pool.Conn
	canceled bool
	aborted  bool
}

func newAttempt() *attempt { return &attempt{canceling: make(chan struct{})} }

// bind records the connection that cancel closes. It returns false if the attempt
// is already canceled.
func (a *attempt) bind(conn *pool.Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = conn
	return !a.canceled
}

// cancel aborts an attempt by closing its connection. If it has none yet, bind
// reports the cancellation.
func (a *attempt) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.canceled && a.canceling != nil {
		close(a.canceling)
	}
	a.canceled = true
	if a.conn != nil {
		_ = a.conn.Close()
	}
}

// abort ends the reading of an answer by closing its connection. Unlike a canceled
// attempt, the reducer still gets the result.
func (a *attempt) abort() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.aborted = true
	if a.conn != nil {
		_ = a.conn.Close()
	}
}

func (a *attempt) isAborted() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.aborted
}

func (a *attempt) isCanceled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.canceled
}

// release detaches the connection, so that cancel no longer closes it, and returns
// whether the attempt was canceled.
func (a *attempt) release() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
	return a.canceled
}

// answer is a complete answer without hop-by-hop headers.
type answer struct {
	status int
	head   []byte // status line and headers, without the empty line
	body   body
	hold   *quota.Hold // of the body's memory; nil for a short one
}

// release frees the memory of an answer that is not passed on. The answer may be nil.
func (a *answer) release() {
	if a != nil {
		a.hold.Release()
	}
}

// reply is an answer, or a refusal of the node's own, for a caller's connection.
type reply struct {
	head      []byte // status line and headers, without the empty line
	extraHead []byte // header lines for the sending node
	body      body
	hold      *quota.Hold // released when the reply is written; nil if the body is short
	close     bool        // close the connection after it
}

// cancelAttempt cancels an attempt by its number, from 1. Unknown numbers are ignored.
func (c *call) cancelAttempt(number int) {
	if number >= 1 && number <= len(c.attempts) && c.attempts[number-1] != nil {
		c.attempts[number-1].cancel()
	}
}

// registerCall assigns the call its account and ID, adds it to the table and gives the
// reducer a CallArrived event. It rejects a client's request whose key is not valid.
func (r *Relay) registerCall(c *call) {
	r.mu.Lock()
	r.linkToParent(c)
	if status, reason := r.identify(c); reason != gypsumrail.ReasonNone {
		r.mu.Unlock()
		r.rejectCall(c, status, reason)
		return
	}
	c.arrival.Fingerprint = accountFingerprint(c.arrival.Fingerprint, c.arrival.Account)
	c.id = r.nextCall()
	r.calls[c.id] = c
	conn := c.conn
	r.loop.SetIdle(false)
	arrival := c.arrival
	r.step(&gypsumrail.Event{Kind: gypsumrail.CallArrived, Call: c.id, Arrival: &arrival})
	out := r.takeDeliveries()
	r.mu.Unlock()
	writeReplies(out, conn)
}

// linkToParent links an outgoing request of this node's target to the call that the
// target runs. Clients and the target use the same port, and no header names the
// parent call. But identities are hierarchical: the target sends the identity of
// the call that it runs, then a dot and a part of its own. A request whose prefix
// matches no running call counts as a client's, and so does one with a credential, as
// targets have none. A request that was read before the first records with keys came into
// force may still hold a key; identify refuses it.
func (r *Relay) linkToParent(c *call) {
	if c.arrival.Origin != gypsumrail.FromCaller || c.credential.present || !c.credential.taken && r.needsConfirmation() {
		return
	}
	dot := strings.LastIndexByte(c.request, '.')
	if dot < 0 {
		return
	}
	if parent := r.running[c.request[:dot]]; parent != nil {
		c.arrival.Origin, c.arrival.Parent = gypsumrail.FromTarget, parent.id
		c.arrival.Request = parent.arrival.Request
		c.arrival.Account = parent.arrival.Account
		c.arrival.Hop = parent.arrival.Hop + 1
	}
}

// callerGone gives the reducer a CallerGone event after the caller closed its
// connection, unless the call was answered.
func (r *Relay) callerGone(c *call) {
	r.mu.Lock()
	if c.conn == nil {
		r.mu.Unlock()
		return
	}
	c.conn = nil
	r.step(&gypsumrail.Event{Kind: gypsumrail.CallerGone, Call: c.id})
	r.removeIfDone(c)
	out := r.takeDeliveries()
	r.mu.Unlock()
	writeReplies(out, nil)
}

// removeIfDone deletes a call that has no waiting caller and no attempt or run.
func (r *Relay) removeIfDone(c *call) {
	if c.conn == nil && c.active == 0 && r.calls[c.id] == c {
		delete(r.calls, c.id)
		c.hold.Release()
		c.targetAnswer.release()
		for _, a := range c.attempts {
			if a != nil {
				a.answer.release()
			}
		}
	}
}

// queueReply collects the reply to a caller that still waits, for writing after the
// step, and records the end of the call in the metrics.
func (r *Relay) queueReply(c *call, rep reply, result gypsumrail.Result) {
	if c.conn == nil {
		rep.hold.Release()
		return
	}
	r.deliveries = append(r.deliveries, delivery{conn: c.conn, call: c, reply: rep})
	c.conn = nil
	a := &c.arrival
	r.parts.Meter.RecordCall(shell.End{
		Origin: a.Origin, Service: a.Service, Class: a.Class, Account: a.Account, Outcome: result.Outcome, Reason: result.Reason,
		Status: result.Status, Duration: time.Since(c.began),
	})
	r.removeIfDone(c)
}

// passAnswer performs the Answer effect: it passes on the answer of an attempt, or
// that of this node's target if the effect's Attempt is 0.
func (r *Relay) passAnswer(e *gypsumrail.Effect) {
	c := r.calls[e.Call]
	if c == nil {
		return
	}
	var from *answer
	if e.Attempt == 0 {
		from, c.targetAnswer = c.targetAnswer, nil
	} else if e.Attempt <= len(c.attempts) && c.attempts[e.Attempt-1] != nil {
		a := c.attempts[e.Attempt-1]
		from, a.answer = a.answer, nil
	}
	if from == nil {
		return
	}
	result := gypsumrail.Result{Outcome: gypsumrail.Ran, Status: from.status, AllowanceLeft: e.Allowance, Report: e.Report, Hints: e.Hints, Uses: e.Uses, TargetFault: e.TargetFault}
	rep := reply{head: from.head, body: from.body, hold: from.hold}
	if c.arrival.Origin == gypsumrail.FromPeer {
		rep.extraHead = appendAnswer(nil, &result, r.revisions())
	} else {
		r.followUps = append(r.followUps, gypsumrail.Event{Kind: gypsumrail.AnswerDone, Call: c.id, Result: &gypsumrail.Result{Outcome: gypsumrail.Ran}})
	}
	r.queueReply(c, rep, result)
}

// refuse performs the Refuse effect: it answers the caller with a refusal of the
// node's own.
func (r *Relay) refuse(e *gypsumrail.Effect) {
	c := r.calls[e.Call]
	if c == nil {
		return
	}
	status := refusalStatus(e.Outcome, e.Reason)
	result := gypsumrail.Result{
		Outcome: e.Outcome, Reason: e.Reason, Status: status, AllowanceLeft: e.Allowance, Report: e.Report, Hints: e.Hints,
		RetryAfter: e.RetryAfter, Uses: e.Uses,
	}
	rep := newRefusal(r.settings.Headers.Request, c.request, status, e.Reason, e.RetryAfter)
	if c.arrival.Origin == gypsumrail.FromPeer {
		rep.extraHead = appendAnswer(nil, &result, r.revisions())
	} else {
		r.logRefusal(c, e, status)
	}
	r.queueReply(c, rep, result)
}

// refusalStatus returns the HTTP status of a refusal. 401, 404, 429 and 503 mean that the
// request has not run and will not run. After 502 and 504 it may have run.
func refusalStatus(outcome gypsumrail.Outcome, reason gypsumrail.Reason) int {
	const unauthorized, notFound, tooMany, badGateway, unavailable, timeout = 401, 404, 429, 502, 503, 504
	switch {
	case reason == gypsumrail.ReasonUnknownKey && outcome == gypsumrail.NotRun:
		return unauthorized
	case reason == gypsumrail.ReasonOverLimit && outcome == gypsumrail.NotRun:
		return tooMany
	case reason == gypsumrail.ReasonUnknownName && outcome == gypsumrail.NotRun:
		return notFound
	case outcome == gypsumrail.NotRun:
		return unavailable
	case reason == gypsumrail.ReasonDeadline, reason == gypsumrail.ReasonTimeout, reason == gypsumrail.ReasonSilent:
		return timeout
	}
	return badGateway
}

// newRefusal returns an answer of the node's own, with the reason as a JSON body. It
// has no request identity or Retry-After header if these are empty or zero.
func newRefusal(requestHeader, request string, status int, reason gypsumrail.Reason, retryAfter gypsumrail.Millis) reply {
	text := append([]byte(`{"Reason":"`), reason...)
	text = append(text, "\"}\n"...)
	head := appendStatusLine(make([]byte, 0, 192), status)
	if request != "" {
		head = appendHeader(head, requestHeader, request)
	}
	head = append(head, "Content-Type: application/json\r\nContent-Length: "...)
	head = strconv.AppendInt(head, int64(len(text)), 10)
	head = append(head, '\r', '\n')
	if retryAfter > 0 {
		head = append(head, "Retry-After: "...)
		head = strconv.AppendFloat(head, float64(retryAfter)/float64(gypsumrail.Second), 'f', 3, 64)
		head = append(head, '\r', '\n')
	}
	return reply{head: head, body: [][]byte{text}}
}

func (r *Relay) logRefusal(c *call, e *gypsumrail.Effect, status int) {
	now := r.parts.Clock.Now()
	detail := "Class=" + c.arrival.Class + " Outcome=" + string(e.Outcome) + countField(" Status", status) +
		countField(" Attempts", len(c.attempts)) + countField(" Remaining", int(c.arrival.Remaining)) +
		countField(" Waited", int(time.Since(c.began).Milliseconds())) + countField(" RetryAfter", int(e.RetryAfter)) +
		countField(" Revision", int(r.revision())) + countField(" At", int(now)) +
		" Fingerprint=" + gypsumrail.FormatFingerprint(c.arrival.Fingerprint)
	if e.Detail != "" {
		detail += " " + e.Detail
	}
	notice := NoticeRequestRefused
	if e.Outcome != gypsumrail.NotRun {
		notice = NoticeRequestFailed
	}
	r.log.Put(notice, c.request, e.Reason, detail)
}

// countField formats a number for the detail of a log line, as name=n.
func countField(name string, n int) string { return name + "=" + strconv.Itoa(n) }

// revision returns the revision of the records in force, or 0 before the first.
func (r *Relay) revision() gypsumrail.Revision {
	if records := r.records.Load(); records != nil {
		return records.Revision
	}
	return 0
}

// validRequestID reports whether a client's request identity is valid header text.
func validRequestID(id string) bool { return wire.ValidText(id) }
