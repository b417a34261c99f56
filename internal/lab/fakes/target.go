// Package fakes holds the fake target of replays: slots, a first-come backlog,
// service times, calls to other services, and the faults of a scenario.
//
// It models only what a node can see of its target. There is no processor,
// memory or network in it, because replays verify decisions and not targets.
package fakes

import (
	"slices"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/lab/loads"
)

// Host is what a target needs from the driver.
type Host interface {
	// Now returns the virtual time.
	Now() loads.Micros
	// After runs f later. Functions due at one time run in the order of their calls.
	After(delay loads.Micros, f func())
	// CallOut makes an outgoing call of a run. Done is called exactly once unless the run was cancelled.
	CallOut(run *Run, call int, done func(ok bool))
	// Hangup ends the outgoing calls of a run that was cancelled or broke.
	Hangup(run *Run)
	// Started tells that the run got a slot: from here on it ran.
	Started(run *Run)
	// Worked tells that the target worked on the run.
	Worked(run *Run, spent loads.Micros)
	// Ended tells how the run ended. Answered is false if no answer will arrive.
	Ended(run *Run, answered bool, result gypsumrail.Result)
}

// Run is one call on the target. Call numbers it for the node.
type Run struct {
	Call    gypsumrail.CallID
	Request *loads.Request
	Index   int // of the call in the request's tree
	step    int
	began   loads.Micros // of the current piece of work
	working bool
	started bool
	over    bool
}

// Target is a fake target instance. It is not safe for concurrent use.
type Target struct {
	host    Host
	plan    Plan
	conns   int
	busy    int
	backlog []*Run
	running []*Run
	// The last load report, for targets whose report is frozen.
	slots, inUse int
}

// New returns a target. It breaks its runs when the plan takes it down.
func New(host Host, plan Plan, conns int) *Target {
	t := &Target{host: host, plan: plan, conns: conns}
	for i := range plan {
		if plan[i].Down {
			host.After(plan[i].From-host.Now(), t.breakAll)
		} else if i > 0 {
			// More slots than before can be free for the backlog.
			host.After(plan[i].From-host.Now(), t.startNext)
		}
	}
	return t
}

// Run takes a call from the node.
func (t *Target) Run(run *Run) {
	condition := t.plan.At(t.host.Now())
	switch {
	case condition.Down:
		run.over = true
		t.host.Ended(run, false, gypsumrail.Result{Outcome: gypsumrail.NotRun, Reason: gypsumrail.ReasonTargetFailed})
	case condition.Refuses || t.busy+len(t.backlog) >= t.conns:
		run.over = true
		t.host.Ended(run, true, gypsumrail.Result{Outcome: gypsumrail.NotRun, Reason: gypsumrail.ReasonOverload, Status: 503})
	default:
		t.backlog = append(t.backlog, run)
		t.startNext()
	}
}

// Cancel ends a call whose caller left. A call that is over stays as it is.
func (t *Target) Cancel(run *Run) {
	if run.over {
		return
	}
	if i := slices.Index(t.backlog, run); i >= 0 {
		t.backlog = slices.Delete(t.backlog, i, i+1)
		run.over = true
		t.host.Ended(run, false, gypsumrail.Result{Outcome: gypsumrail.NotRun, Reason: gypsumrail.ReasonCallerGone})
		return
	}
	t.end(run, false, gypsumrail.Result{Outcome: gypsumrail.Unknown, Reason: gypsumrail.ReasonCallerGone})
	t.startNext()
}

// Report returns the load that the target states, true or not.
func (t *Target) Report() (slots, busy int) {
	condition := t.plan.At(t.host.Now())
	if condition.False != nil {
		return condition.False.Slots, condition.False.Busy
	}
	if !condition.Frozen || t.slots == 0 {
		t.slots, t.inUse = condition.Slots, t.busy
	}
	return t.slots, t.inUse
}

func (t *Target) startNext() {
	for len(t.backlog) > 0 && t.busy < t.plan.At(t.host.Now()).Slots {
		run := t.backlog[0]
		t.backlog = t.backlog[1:]
		t.busy++
		t.running = append(t.running, run)
		run.started = true
		t.host.Started(run)
		t.work(run)
	}
}

// work does one piece of a run: the service time is spread evenly before,
// between and after the steps of outgoing calls.
func (t *Target) work(run *Run) {
	now := t.host.Now()
	piece := run.Request.Work[run.Index] / loads.Micros(len(run.steps())+1)
	run.began, run.working = now, true
	t.host.After(t.plan.Finish(now, piece)-now, func() {
		if run.over {
			return
		}
		run.working = false
		t.host.Worked(run, t.host.Now()-run.began)
		t.next(run)
	})
}

func (t *Target) next(run *Run) {
	if run.step == len(run.steps()) {
		t.end(run, true, gypsumrail.Result{Outcome: gypsumrail.Ran, Status: 200})
		t.startNext()
		return
	}
	step := run.steps()[run.step]
	run.step++
	left, failed := len(step), false
	if left == 0 {
		t.work(run)
		return
	}
	for _, call := range step {
		t.host.CallOut(run, call, func(ok bool) {
			left--
			failed = failed || !ok
			switch {
			case run.over || left > 0:
			case failed:
				t.end(run, true, gypsumrail.Result{Outcome: gypsumrail.Ran, Status: 502})
				t.startNext()
			default:
				t.work(run)
			}
		})
	}
}

func (t *Target) end(run *Run, answered bool, result gypsumrail.Result) {
	if run.working {
		run.working = false
		t.host.Worked(run, t.host.Now()-run.began)
	}
	run.over = true
	t.busy--
	if i := slices.Index(t.running, run); i >= 0 {
		t.running = slices.Delete(t.running, i, i+1)
	}
	t.host.Hangup(run)
	t.host.Ended(run, answered, result)
}

func (t *Target) breakAll() {
	broken := gypsumrail.Result{Outcome: gypsumrail.Unknown, Reason: gypsumrail.ReasonTargetFailed}
	for _, run := range slices.Clone(t.running) {
		t.end(run, false, broken)
	}
	for _, run := range t.backlog {
		run.over = true
		t.host.Ended(run, false, broken)
	}
	t.backlog = nil
}

func (r *Run) steps() [][]int { return r.Request.Tree.Calls[r.Index].Steps }
