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

// Attempt is one send of a request by a client, as the client saw it end.
type Attempt struct {
	Request string
	Number  int // from 1
	Resend  int // what the client states: 1 for the first send, and again with a new key
	Class   string
	Key     string
	Whole   bool               // a whole answer of the target with status 200
	Outcome gypsumrail.Outcome // of a refusal; empty if the connection broke
	Reason  gypsumrail.Reason
	Wrong   string // what is wrong with an answer that looked whole
	Below   string // the call of the target that failed, if one did
	Err     string // how the connection broke, if it did
}

// traceparent marks an attempt. Nodes and targets pass it on unchanged, so the
// runs of one attempt are told from those of a resend of the same request.
func traceparent(request, attempt int) string {
	return fmt.Sprintf("00-%024x%08x-%016x-01", request+1, attempt, 1)
}

// markOf returns the part of a traceparent that identifies the attempt.
func markOf(traceparent string) string {
	if parts := strings.Split(traceparent, "-"); len(parts) == 4 {
		return parts[1]
	}
	return ""
}

// ran counts what targets did for one attempt or one request, by service.
type ran struct{ runs, arrivals [3]int }

func serviceIndex(name string) int {
	for i, service := range Services {
		if service == name {
			return i
		}
	}
	return 0
}

// Observer collects what targets ran and what callers got. It is safe for
// concurrent use.
type Observer struct {
	mu       sync.Mutex
	byMark   map[string]*ran
	byID     map[string]*ran
	keys     map[string]int // runs by idempotency key on the entry service
	attempts map[string]Attempt
	others   []Broken
}

func newObserver() *Observer {
	return &Observer{
		byMark: make(map[string]*ran), byID: make(map[string]*ran), keys: make(map[string]int),
		attempts: make(map[string]Attempt),
	}
}

// seen counts a request at a target.
func (o *Observer) seen(i *Instance, r *http.Request, did bool) {
	mark, id, key := markOf(r.Header.Get("Traceparent")), r.Header.Get(wire.HeaderRequest), r.Header.Get(wire.HeaderKey)
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, entry := range []*ran{entryOf(o.byMark, mark), entryOf(o.byID, id)} {
		entry.arrivals[serviceIndex(i.Service)]++
		if did {
			entry.runs[serviceIndex(i.Service)]++
		}
	}
	if did && key != "" && i.Service == Services[0] {
		o.keys[key]++
	}
}

func entryOf(entries map[string]*ran, name string) *ran {
	if entries[name] == nil {
		entries[name] = &ran{}
	}
	return entries[name]
}

// Ended takes an attempt of a client when it has ended.
func (o *Observer) Ended(number int, a Attempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.attempts[markOf(traceparent(number, a.Number))] = a
}

// Report adds a broken promise that was seen elsewhere.
func (o *Observer) Report(promise int, format string, values ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.others = append(o.others, Broken{promise, fmt.Sprintf(format, values...)})
}

// Broken is a promise that was not kept.
type Broken struct {
	Promise int // as numbered in the design page
	What    string
}

// Broken compares what targets ran with what callers were told. Call it when
// the targets have come to rest: a refused attempt must not run later either.
func (o *Observer) Broken() []Broken {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := append([]Broken(nil), o.others...)
	add := func(promise int, format string, values ...any) {
		out = append(out, Broken{promise, fmt.Sprintf(format, values...)})
	}
	for mark, a := range o.attempts {
		did := o.byMark[mark]
		if did == nil {
			did = &ran{}
		}
		name := fmt.Sprintf("%s attempt %d", a.Request, a.Number)
		if a.Wrong != "" {
			add(3, "%s: %s", name, a.Wrong)
		}
		if a.Outcome == gypsumrail.NotRun && did.runs != [3]int{} {
			add(4, "%s was refused as NotRun (%s) and ran %v times", name, a.Reason, did.runs)
		}
		if budget, used := budgetOf(a.Resend), retries(did.arrivals); used > budget {
			add(1, "%s used %d retries of %d: %v", name, used, budget, did.arrivals)
		}
		if id := o.byID[a.Request]; a.Whole && (id == nil || id.runs[0] == 0) {
			add(3, "%s got a whole answer and ran nowhere", name)
		} else if a.Class == ClassOrder && id != nil && max(id.runs[0], id.runs[1], id.runs[2]) > 1 {
			add(5, "%s of a request that must not be repeated ran %v times", name, id.runs)
		}
	}
	for key, n := range o.keys {
		if n > 1 {
			add(5, "the key %s ran %d times", key, n)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		return out[i].Promise < out[j].Promise || out[i].Promise == out[j].Promise && out[i].What < out[j].What
	})
	return out
}

// budgetOf returns the retries that nodes may spend on an attempt. A resend has none.
func budgetOf(resend int) int {
	if resend > 1 {
		return 0
	}
	return Allowance
}

// retries returns the retries that must have been made for these arrivals: each
// arrival above the one call of the service before it is one.
func retries(arrivals [3]int) int {
	n, calls := 0, 1
	for _, count := range arrivals {
		n += max(0, count-calls)
		calls = count
	}
	return n
}

// Totals counts the attempts of clients by how they ended.
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
			totals["target failed: "+a.Below]++
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

// Interrupted returns the attempts that ran and of which the client learned
// nothing. A connection that breaks before its call ran is not among them.
func (o *Observer) Interrupted() []Attempt {
	o.mu.Lock()
	defer o.mu.Unlock()
	var found []Attempt
	for mark, a := range o.attempts {
		if did := o.byMark[mark]; did != nil && did.runs[0] > 0 && (a.Outcome == "" || a.Outcome == gypsumrail.Unknown) {
			found = append(found, a)
		}
	}
	return found
}

// Arrivals returns the calls that reached the targets of a service, with those
// that were turned away.
func (o *Observer) Arrivals(service string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, did := range o.byID {
		n += did.arrivals[serviceIndex(service)]
	}
	return n
}
