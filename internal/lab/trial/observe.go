package trial

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

// Attempt is one send of a user request by a client, with the result that the
// client received.
type Attempt struct {
	Request       string // identity of the user request
	Number        int    // from 1
	AttemptHeader int    // attempt number that the client states to the node; starts again at 1 with a new key
	Class         string
	Key           string
	Whole         bool               // the client got a complete answer of the target with status 200
	Outcome       gypsumrail.Outcome // stated by a rejection, or Ran for an answer; empty if the client got no valid answer
	Reason        gypsumrail.Reason
	Mismatch      string // what is wrong with an answer whose body ended normally
	FailedCall    string // value of stubs.HeaderFailedCall: which call of a target failed
	Err           string // error of the connection, if it broke
}

// traceparent returns a trace context with a trace ID of its own for each attempt.
// Nodes and targets propagate it unchanged, so that the observer can tell the runs
// of one attempt from those of a resend of the same request.
func traceparent(requestNumber, attempt int) string {
	return fmt.Sprintf("00-%024x%08x-%016x-01", requestNumber+1, attempt, 1)
}

// traceID returns the trace ID of a traceparent, which identifies the attempt.
func traceID(traceparent string) string {
	if parts := strings.Split(traceparent, "-"); len(parts) == 4 {
		return parts[1]
	}
	return ""
}

// targetCounts counts calls at targets for one attempt or one user request, by
// index in Services. Arrivals include calls that the target rejected; runs do not.
type targetCounts struct{ runs, arrivals [3]int }

func serviceIndex(name string) int {
	for i, service := range Services {
		if service == name {
			return i
		}
	}
	return 0
}

// Observer collects what targets ran and what clients received. It is safe for
// concurrent use.
type Observer struct {
	mu        sync.Mutex
	byTrace   map[string]*targetCounts // by trace ID of the attempt
	byRequest map[string]*targetCounts // by identity of the user request
	keys      map[string]int           // runs by idempotency key on the entry service
	attempts  map[string]Attempt       // by trace ID
	reported  []Broken                 // added by AddBroken
}

func newObserver() *Observer {
	return &Observer{
		byTrace: make(map[string]*targetCounts), byRequest: make(map[string]*targetCounts), keys: make(map[string]int),
		attempts: make(map[string]Attempt),
	}
}

// recordArrival counts a call at the target of i; ran is false if it was rejected.
func (o *Observer) recordArrival(i *Instance, r *http.Request, ran bool) {
	trace, id, key := traceID(r.Header.Get("Traceparent")), r.Header.Get(wire.HeaderRequest), r.Header.Get(wire.HeaderKey)
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, counts := range []*targetCounts{countsOf(o.byTrace, trace), countsOf(o.byRequest, id)} {
		counts.arrivals[serviceIndex(i.Service)]++
		if ran {
			counts.runs[serviceIndex(i.Service)]++
		}
	}
	if ran && key != "" && i.Service == Services[0] {
		o.keys[key]++
	}
}

func countsOf(entries map[string]*targetCounts, name string) *targetCounts {
	if entries[name] == nil {
		entries[name] = &targetCounts{}
	}
	return entries[name]
}

// RecordAttempt stores an attempt of a client after it has ended.
func (o *Observer) RecordAttempt(requestNumber int, a Attempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.attempts[traceID(traceparent(requestNumber, a.Number))] = a
}

// AddBroken adds a broken promise that the caller detected.
func (o *Observer) AddBroken(promise int, format string, values ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reported = append(o.reported, Broken{promise, fmt.Sprintf(format, values...)})
}

// Broken describes one violation of a promise.
type Broken struct {
	Promise     int // as numbered in the design page
	Description string
}

// Broken compares what targets ran with what clients were told, and returns the
// broken promises. Call it when no call is in flight, since an attempt that was
// rejected as not run must not run later either.
func (o *Observer) Broken() []Broken {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := append([]Broken(nil), o.reported...)
	add := func(promise int, format string, values ...any) {
		out = append(out, Broken{promise, fmt.Sprintf(format, values...)})
	}
	for trace, a := range o.attempts {
		counts := o.byTrace[trace]
		if counts == nil {
			counts = &targetCounts{}
		}
		name := fmt.Sprintf("%s attempt %d", a.Request, a.Number)
		if a.Mismatch != "" {
			add(3, "%s: %s", name, a.Mismatch)
		}
		if a.Outcome == gypsumrail.NotRun && counts.runs != [3]int{} {
			add(4, "%s was rejected as NotRun (%s) but ran %v times, by service", name, a.Reason, counts.runs)
		}
		if allowance, used := allowanceOf(a.AttemptHeader), countRetries(counts.arrivals); used > allowance {
			add(1, "%s used %d retries of an allowance of %d; arrivals by service: %v", name, used, allowance, counts.arrivals)
		}
		if total := o.byRequest[a.Request]; a.Whole && (total == nil || total.runs[0] == 0) {
			add(3, "%s got a complete answer but did not run at the first service", name)
		} else if a.Class == ClassOrder && total != nil && max(total.runs[0], total.runs[1], total.runs[2]) > 1 {
			add(5, "%s of a request that must not be repeated ran %v times, by service", name, total.runs)
		}
	}
	for key, n := range o.keys {
		if n > 1 {
			add(5, "requests with the key %s ran %d times", key, n)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		return out[i].Promise < out[j].Promise || out[i].Promise == out[j].Promise && out[i].Description < out[j].Description
	})
	return out
}

// allowanceOf returns how many retries nodes may spend on an attempt. A resend
// has none.
func allowanceOf(attemptHeader int) int {
	if attemptHeader > 1 {
		return 0
	}
	return Allowance
}

// countRetries returns the least number of retries that explains these arrivals.
// Each call that arrives at a service makes one call to the next service, so every
// arrival above that number is a retry.
func countRetries(arrivals [3]int) int {
	n, calls := 0, 1
	for _, count := range arrivals {
		n += max(0, count-calls)
		calls = count
	}
	return n
}

// Totals counts the attempts of clients by result: "whole", "broken" (no valid
// answer), "target failed: ..." or "OUTCOME/REASON" of a rejection.
func (o *Observer) Totals() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	totals := make(map[string]int)
	for _, a := range o.attempts {
		switch {
		case a.Whole:
			totals["whole"]++
		case a.Outcome == "":
			totals["broken"]++
		case a.Outcome == gypsumrail.Ran && a.Reason == "":
			totals["target failed: "+a.FailedCall]++
		default:
			totals[string(a.Outcome)+"/"+string(a.Reason)]++
		}
	}
	return totals
}

// Find returns the attempts that satisfy a condition.
func (o *Observer) Find(is func(a Attempt) bool) []Attempt {
	o.mu.Lock()
	defer o.mu.Unlock()
	var found []Attempt
	for _, a := range o.attempts {
		if is(a) {
			found = append(found, a)
		}
	}
	return found
}

// Count returns how many attempts satisfy a condition.
func (o *Observer) Count(is func(a Attempt) bool) int { return len(o.Find(is)) }

// Interrupted returns the attempts that ran at the first service but whose client
// got no answer, or a rejection with the outcome Unknown. It leaves out attempts
// whose connection broke before the call ran.
func (o *Observer) Interrupted() []Attempt {
	o.mu.Lock()
	defer o.mu.Unlock()
	var found []Attempt
	for trace, a := range o.attempts {
		if counts := o.byTrace[trace]; counts != nil && counts.runs[0] > 0 && (a.Outcome == "" || a.Outcome == gypsumrail.Unknown) {
			found = append(found, a)
		}
	}
	return found
}

// Arrivals returns how many calls reached the targets of a service, including
// those that the targets rejected.
func (o *Observer) Arrivals(service string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, counts := range o.byRequest {
		n += counts.arrivals[serviceIndex(service)]
	}
	return n
}
