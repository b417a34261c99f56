// Package counts counts what happens to the user requests of one replay.
//
// It observes the nodes from outside: which answers a caller received, which
// calls a target ran and which calls a node refused. It does not read the state
// of the nodes. Thus a fault also shows if the node's own counters are wrong.
package counts

import (
	"slices"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/lab/loads"
)

// RequestCounts holds what happened to one user request.
type RequestCounts struct {
	Good           bool         // the client received a complete answer before the deadline
	GoodAt         loads.Micros // time of that answer
	ClientAttempts int          // tries of the client
	Attempts       int          // attempts of nodes for all calls of the request, retries included
	Retries        int          // of Attempts, those after the first of a call
	Worked         loads.Micros // time that targets worked for the request
	runs           []uint8      // runs by call of the tree, up to 255; nil if the class is repeatable
}

// Worst holds the largest value of a count and the time at which it was first
// reached.
type Worst struct {
	Value int
	At    loads.Micros
}

func (w *Worst) update(value int, at loads.Micros) {
	if value > w.Value {
		*w = Worst{value, at}
	}
}

// Tally holds the counts of one replay. It is not safe for concurrent use.
type Tally struct {
	Requests      []loads.Request
	ByRequest     []RequestCounts // by index of the request
	Sheds         map[string]int  // refusals for load, by class
	Inverted      map[string]int  // by class, sheds while a lower importance was admitted (priority inversions)
	Late          map[string]int  // by class, refusals on arrival because the deadline was too close
	Runs          Worst           // runs of one call of a class that is not repeatable
	NotRunRan     Worst           // calls that ran although their caller received NotRun
	RetriesOver   Worst           // retries of one request beyond the allowance of its class
	MaxInversions Worst           // inversions in one window at one admission point
	windows       map[admissionPoint]*window
	order         []admissionPoint // in order of first use, because Close must not depend on the order of a map
	competition   map[pair]bool    // results of competes
}

// New returns an empty tally for the requests.
func New(requests []loads.Request) *Tally {
	return &Tally{
		Requests:    requests,
		ByRequest:   make([]RequestCounts, len(requests)),
		Sheds:       map[string]int{},
		Inverted:    map[string]int{},
		Late:        map[string]int{},
		windows:     map[admissionPoint]*window{},
		competition: map[pair]bool{},
	}
}

// Answered records that a complete answer reached the client. It counts if it is
// the first one and not later than the deadline.
func (t *Tally) Answered(request *loads.Request, at loads.Micros) {
	counted := &t.ByRequest[request.Index]
	if !counted.Good && at <= request.Deadline() {
		counted.Good, counted.GoodAt = true, at
	}
}

// Attempt records that a node sent a call to another node or to its own target. A
// retry is an attempt after the first one of a call.
func (t *Tally) Attempt(request *loads.Request, at loads.Micros, retry bool) {
	counted := &t.ByRequest[request.Index]
	counted.Attempts++
	if retry {
		counted.Retries++
		t.RetriesOver.update(counted.Retries-request.Tree.Class.Allowance, at)
	}
}

// Started records that a call of the request's tree started on a target. Only
// classes that are not repeatable are counted.
func (t *Tally) Started(request *loads.Request, call int, at loads.Micros) {
	if request.Tree.Class.Repeatable {
		return
	}
	counted := &t.ByRequest[request.Index]
	if counted.runs == nil {
		counted.runs = make([]uint8, len(request.Tree.Calls))
	}
	if counted.runs[call] < 255 {
		counted.runs[call]++
	}
	t.Runs.update(int(counted.runs[call]), at)
}

// RanAfterNotRun records a call that ran although its caller received NotRun.
func (t *Tally) RanAfterNotRun(at loads.Micros) { t.NotRunRan.update(t.NotRunRan.Value+1, at) }

// inversionWindow is the time, in microseconds, within which a refusal and an
// admission at the same admission point count as concurrent.
const inversionWindow = 100_000

// admissionPoint is a place where calls compete for admission: the receiver role
// of a node, or its sender role for one service.
type admissionPoint struct {
	node     string
	service  string
	receiver bool
}

// window holds what one admission point admitted and refused in the current
// interval of length inversionWindow.
type window struct {
	index    loads.Micros // start / inversionWindow
	admitted []*gypsumrail.Class
	refused  []refusal
}

// refusal counts the refused calls of one class.
type refusal struct {
	class *gypsumrail.Class
	count int
}

// pair holds the names of two classes.
type pair struct{ refused, admitted string }

// Admitted records that a node admitted a call: its receiver role ran the call
// on the target, or its sender role sent it.
func (t *Tally) Admitted(node, service string, receiver bool, class *gypsumrail.Class, at loads.Micros) {
	w := t.window(admissionPoint{node, service, receiver}, at)
	if !slices.Contains(w.admitted, class) {
		w.admitted = append(w.admitted, class)
	}
}

// Refused records a call that the node itself refused; refusals that it only
// passes on are not recorded. waited says that the call had been in the node's
// queue.
func (t *Tally) Refused(node, service string, receiver bool, class *gypsumrail.Class, reason gypsumrail.Reason, waited bool, at loads.Micros) {
	switch {
	case reason == gypsumrail.ReasonOverload || reason == gypsumrail.ReasonShed:
	case reason == gypsumrail.ReasonDeadline && waited:
		// The call ran out of time in the queue, so it was refused because of
		// load.
	case reason == gypsumrail.ReasonDeadline:
		t.Late[class.Name]++
		return
	default:
		return
	}
	t.Sheds[class.Name]++
	w := t.window(admissionPoint{node, service, receiver}, at)
	for i := range w.refused {
		if w.refused[i].class == class {
			w.refused[i].count++
			return
		}
	}
	w.refused = append(w.refused, refusal{class, 1})
}

// window returns the window of an admission point at a time. It first evaluates
// the previous window if that has ended.
func (t *Tally) window(p admissionPoint, at loads.Micros) *window {
	w := t.windows[p]
	if w == nil {
		w = &window{}
		t.windows[p] = w
		t.order = append(t.order, p)
	}
	if index := at / inversionWindow; index != w.index {
		t.closeWindow(p, w)
		w.index = index
	}
	return w
}

// Close evaluates the last window of each admission point. Call it once, when the
// replay has ended and before reading the counts.
func (t *Tally) Close() {
	for _, p := range t.order {
		t.closeWindow(p, t.windows[p])
	}
}

// closeWindow counts the inversions of a window and empties it.
func (t *Tally) closeWindow(p admissionPoint, w *window) {
	total := 0
	for _, r := range w.refused {
		for _, class := range w.admitted {
			if class.Importance < r.class.Importance && (p.receiver || t.competes(r.class, class)) {
				t.Inverted[r.class.Name] += r.count
				total += r.count
				break
			}
		}
	}
	t.MaxInversions.update(total, w.index*inversionWindow)
	w.admitted, w.refused = w.admitted[:0], w.refused[:0]
}

// competes reports whether the admitted class uses all services and capabilities
// that the refused class uses. Only then is its admission by a sender an
// inversion, because a sender may refuse a class due to a service further down the
// call tree that the admitted class does not use.
func (t *Tally) competes(refused, admitted *gypsumrail.Class) bool {
	key := pair{refused.Name, admitted.Name}
	result, ok := t.competition[key]
	if ok {
		return result
	}
	result = true
	for _, service := range refused.Uses {
		if !slices.Contains(admitted.Uses, service) {
			result = false
		}
		for _, capability := range refused.Capabilities[service] {
			if !slices.Contains(admitted.Capabilities[service], capability) {
				result = false
			}
		}
	}
	t.competition[key] = result
	return result
}
