// Package counts counts what happens to the requests of one replay.
//
// The counts are taken at the interfaces (what a caller got, what a target ran,
// what a node refused) and not from the state of the nodes, so that a decision
// that is wrong about itself still shows in the result.
package counts

import (
	"slices"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/lab/loads"
)

// User is what happened to one user request.
type User struct {
	Good     bool
	GoodAt   loads.Micros
	Tries    int
	Attempts int // calls that nodes sent for it, resends included
	Retries  int // of the attempts, those after the first of a call
	Worked   loads.Micros
	runs     []uint8 // by call of the tree; only for classes that are not repeatable
}

// Worst is the largest value of a count and the time at which it was reached.
type Worst struct {
	Value int
	At    loads.Micros
}

func (w *Worst) update(value int, at loads.Micros) {
	if value > w.Value {
		*w = Worst{value, at}
	}
}

// Tally counts one replay. It is not safe for concurrent use.
type Tally struct {
	Requests      []loads.Request
	Users         []User
	Sheds         map[string]int // by class
	Inverted      map[string]int // sheds of the class while a lower importance was admitted
	Late          map[string]int // refusals because the deadline is too close
	Runs          Worst          // of one call of a class that is not repeatable
	NotRunRan     Worst          // calls that were answered NotRun and ran
	RetriesOver   Worst          // retries of one request above the bound of its class
	MaxInversions Worst          // inversions in one window
	windows       map[admissionPoint]*window
	order         []admissionPoint
	competition   map[pair]bool
}

// New returns a tally of the requests.
func New(requests []loads.Request) *Tally {
	return &Tally{
		Requests:    requests,
		Users:       make([]User, len(requests)),
		Sheds:       map[string]int{},
		Inverted:    map[string]int{},
		Late:        map[string]int{},
		windows:     map[admissionPoint]*window{},
		competition: map[pair]bool{},
	}
}

// Answered takes an answer that reached the client.
func (t *Tally) Answered(request *loads.Request, at loads.Micros) {
	u := &t.Users[request.Index]
	if !u.Good && at <= request.Deadline() {
		u.Good, u.GoodAt = true, at
	}
}

// Attempt takes a call that a node sent to a target's node or to its own target.
func (t *Tally) Attempt(request *loads.Request, at loads.Micros, retry bool) {
	u := &t.Users[request.Index]
	u.Attempts++
	if retry {
		u.Retries++
		t.RetriesOver.update(u.Retries-request.Tree.Class.Allowance, at)
	}
}

// Started takes the start of a call on a target.
func (t *Tally) Started(request *loads.Request, call int, at loads.Micros) {
	if request.Tree.Class.Repeatable {
		return
	}
	u := &t.Users[request.Index]
	if u.runs == nil {
		u.runs = make([]uint8, len(request.Tree.Calls))
	}
	if u.runs[call] < 255 {
		u.runs[call]++
	}
	t.Runs.update(int(u.runs[call]), at)
}

// RanAfterNotRun takes a call that ran although its caller was told that it did not.
func (t *Tally) RanAfterNotRun(at loads.Micros) { t.NotRunRan.update(t.NotRunRan.Value+1, at) }

// inversionWindow is the span within which a refusal and an admission are compared.
const inversionWindow = 100_000

// admissionPoint is where refusals and admissions compete: the receiver role of a node,
// or its sender role for one service.
type admissionPoint struct {
	node     string
	service  string
	receiver bool
}

type window struct {
	index    loads.Micros
	admitted []*gypsumrail.Class
	refused  []refusal
}

type refusal struct {
	class *gypsumrail.Class
	count int
}

type pair struct{ refused, admitted string }

// Admitted takes a call that a node ran or sent on.
func (t *Tally) Admitted(node, service string, receiver bool, class *gypsumrail.Class, at loads.Micros) {
	w := t.window(admissionPoint{node, service, receiver}, at)
	if !slices.Contains(w.admitted, class) {
		w.admitted = append(w.admitted, class)
	}
}

// Refused takes a refusal that a node decided itself. Waited tells that the call
// had been queued there.
func (t *Tally) Refused(node, service string, receiver bool, class *gypsumrail.Class, reason gypsumrail.Reason, waited bool, at loads.Micros) {
	switch {
	case reason == gypsumrail.ReasonOverload || reason == gypsumrail.ReasonShed:
	case reason == gypsumrail.ReasonDeadline && waited:
		// Time in the queue is load, whatever the reason says.
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

// Close ends the last windows.
func (t *Tally) Close() {
	for _, p := range t.order {
		t.closeWindow(p, t.windows[p])
	}
}

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

// competes tells whether a class needs all that another one needs. Only then is
// its admission by a sender an inversion: a class may be refused for a deep
// service that the admitted class does not touch.
func (t *Tally) competes(refused, admitted *gypsumrail.Class) bool {
	key := pair{refused.Name, admitted.Name}
	known, ok := t.competition[key]
	if ok {
		return known
	}
	known = true
	for _, service := range refused.Uses {
		if !slices.Contains(admitted.Uses, service) {
			known = false
		}
		for _, capability := range refused.Capabilities[service] {
			if !slices.Contains(admitted.Capabilities[service], capability) {
				known = false
			}
		}
	}
	t.competition[key] = known
	return known
}
