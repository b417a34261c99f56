// Package fakes provides the fake target of replays. It has slots, a backlog in
// order of arrival, service times, calls to other services, and the faults of a
// scenario.
//
// It models only what a node can see of its target. Processor, memory and network
// are not modelled, because a replay checks the decisions of nodes, not targets.
package fakes

import (
	"slices"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/lab/loads"
)

// Host is the interface through which a target uses the replay.
type Host interface {
	// Now returns the virtual time.
	Now() loads.Micros
	// After runs f after a delay. Functions of the same time run in the order in
	// which After received them.
	After(delay loads.Micros, f func())
	// CallOut sends an outgoing call of a run. It calls callback exactly once, unless
	// the run was canceled.
	CallOut(run *Run, index int, callback func(ok bool))
	// CancelCalls cancels the outgoing calls of a run that ended.
	CancelCalls(run *Run)
	// Started is called when the run gets a slot. From then on it counts as run.
	Started(run *Run)
	// Worked is called when a piece of work ends or is interrupted, with the time
	// that the target spent on it.
	Worked(run *Run, spent loads.Micros)
	// Ended is called with the result of the run. If answered is false, the
	// target sends no answer.
	Ended(run *Run, answered bool, result gypsumrail.Result)
}

// Run is one call on the target.
type Run struct {
	Call      gypsumrail.CallID // at the node
	Request   *loads.Request
	Index     int // of the call in the request's tree
	nextStep  int
	workStart loads.Micros // of the current piece of work
	working   bool
	started   bool
	done      bool
}

// Target is a fake target instance. It is not safe for concurrent use.
type Target struct {
	host    Host
	plan    Plan
	conns   int // largest number of running and queued calls
	busy    int // slots in use
	backlog []*Run
	running []*Run
	// The last load report, which a target with a frozen report repeats.
	reportedSlots, reportedBusy int
}

// New returns a target that accepts up to conns calls, running or in the backlog.
// Its runs fail at the times at which the plan says that it goes down.
func New(host Host, plan Plan, conns int) *Target {
	t := &Target{host: host, plan: plan, conns: conns}
	for i := range plan {
		if plan[i].Down {
			host.After(plan[i].From-host.Now(), t.failAll)
		} else if i > 0 {
			// The new condition may have more slots, so calls of the backlog can start.
			host.After(plan[i].From-host.Now(), t.startFromBacklog)
		}
	}
	return t
}

// Run starts a call or adds it to the backlog. It ends the call at once if the
// target is down, refuses calls or has no free connection.
func (t *Target) Run(run *Run) {
	condition := t.plan.At(t.host.Now())
	switch {
	case condition.Down:
		run.done = true
		t.host.Ended(run, false, gypsumrail.Result{Outcome: gypsumrail.NotRun, Reason: gypsumrail.ReasonTargetFailed})
	case condition.Refuses || t.busy+len(t.backlog) >= t.conns:
		run.done = true
		t.host.Ended(run, true, gypsumrail.Result{Outcome: gypsumrail.NotRun, Reason: gypsumrail.ReasonOverload, Status: 503})
	default:
		t.backlog = append(t.backlog, run)
		t.startFromBacklog()
	}
}

// Cancel ends a call whose caller disconnected. It ignores a call that is done.
func (t *Target) Cancel(run *Run) {
	if run.done {
		return
	}
	if i := slices.Index(t.backlog, run); i >= 0 {
		t.backlog = slices.Delete(t.backlog, i, i+1)
		run.done = true
		t.host.Ended(run, false, gypsumrail.Result{Outcome: gypsumrail.NotRun, Reason: gypsumrail.ReasonCallerGone})
		return
	}
	t.end(run, false, gypsumrail.Result{Outcome: gypsumrail.Unknown, Reason: gypsumrail.ReasonCallerGone})
	t.startFromBacklog()
}

// Report returns the load report of the target: its slots and how many of them are
// busy. Faults can make the report false or repeat the last one.
func (t *Target) Report() (slots, busy int) {
	condition := t.plan.At(t.host.Now())
	if condition.FalseReport != nil {
		return condition.FalseReport.Slots, condition.FalseReport.Busy
	}
	if !condition.FrozenReport || t.reportedSlots == 0 {
		t.reportedSlots, t.reportedBusy = condition.Slots, t.busy
	}
	return t.reportedSlots, t.reportedBusy
}

// startFromBacklog starts calls of the backlog while slots are free.
func (t *Target) startFromBacklog() {
	for len(t.backlog) > 0 && t.busy < t.plan.At(t.host.Now()).Slots {
		run := t.backlog[0]
		t.backlog = t.backlog[1:]
		t.busy++
		t.running = append(t.running, run)
		run.started = true
		t.host.Started(run)
		t.startWork(run)
	}
}

// startWork starts one piece of the work of a run. The service time is divided
// into equal pieces before, between and after the steps of outgoing calls.
func (t *Target) startWork(run *Run) {
	now := t.host.Now()
	piece := run.Request.Work[run.Index] / loads.Micros(len(run.steps())+1)
	run.workStart, run.working = now, true
	t.host.After(t.plan.FinishTime(now, piece)-now, func() {
		if run.done {
			return
		}
		run.working = false
		t.host.Worked(run, t.host.Now()-run.workStart)
		t.advance(run)
	})
}

// advance makes the outgoing calls of the next step and continues the work when
// all have ended. The run fails with status 502 if one of them fails. After the
// last step it ends the run.
func (t *Target) advance(run *Run) {
	if run.nextStep == len(run.steps()) {
		t.end(run, true, gypsumrail.Result{Outcome: gypsumrail.Ran, Status: 200})
		t.startFromBacklog()
		return
	}
	step := run.steps()[run.nextStep]
	run.nextStep++
	pending, failed := len(step), false
	if pending == 0 {
		t.startWork(run)
		return
	}
	for _, call := range step {
		t.host.CallOut(run, call, func(ok bool) {
			pending--
			failed = failed || !ok
			switch {
			case run.done || pending > 0:
			case failed:
				t.end(run, true, gypsumrail.Result{Outcome: gypsumrail.Ran, Status: 502})
				t.startFromBacklog()
			default:
				t.startWork(run)
			}
		})
	}
}

// end frees the slot of a run and reports its result.
func (t *Target) end(run *Run, answered bool, result gypsumrail.Result) {
	if run.working {
		run.working = false
		t.host.Worked(run, t.host.Now()-run.workStart)
	}
	run.done = true
	t.busy--
	if i := slices.Index(t.running, run); i >= 0 {
		t.running = slices.Delete(t.running, i, i+1)
	}
	t.host.CancelCalls(run)
	t.host.Ended(run, answered, result)
}

// failAll fails all running and queued calls, since the target goes down.
func (t *Target) failAll() {
	failed := gypsumrail.Result{Outcome: gypsumrail.Unknown, Reason: gypsumrail.ReasonTargetFailed}
	for _, run := range slices.Clone(t.running) {
		t.end(run, false, failed)
	}
	for _, run := range t.backlog {
		run.done = true
		t.host.Ended(run, false, failed)
	}
	t.backlog = nil
}

func (r *Run) steps() [][]int { return r.Request.Tree.Calls[r.Index].Steps }
