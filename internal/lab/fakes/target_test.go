package fakes

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/lab/loads"
	"github.com/gypsumrail/gypsumrail/internal/lab/trace"
)

// testHost is a Host that runs functions by time and records what a target reports.
type testHost struct {
	now    loads.Micros
	due    map[loads.Micros][]func()
	events []string
}

func (h *testHost) Now() loads.Micros { return h.now }
func (h *testHost) After(delay loads.Micros, f func()) {
	h.due[h.now+delay] = append(h.due[h.now+delay], f)
}
func (h *testHost) CallOut(_ *Run, _ int, callback func(bool)) {
	h.After(500, func() { callback(true) })
}
func (h *testHost) CancelCalls(*Run)                    {}
func (h *testHost) Started(run *Run)                    { h.note("start", run) }
func (h *testHost) Worked(run *Run, spent loads.Micros) { h.note(fmt.Sprint("work ", spent), run) }
func (h *testHost) Ended(run *Run, _ bool, result gypsumrail.Result) {
	h.note(fmt.Sprint("end ", result.Outcome, " ", result.Status), run)
}
func (h *testHost) note(what string, run *Run) {
	h.events = append(h.events, fmt.Sprintf("%d: %d %s", h.now, run.Call, what))
}

func (h *testHost) runUntil(end loads.Micros) {
	for ; h.now <= end; h.now++ {
		for i := 0; i < len(h.due[h.now]); i++ {
			h.due[h.now][i]()
		}
	}
}

func newHost() *testHost { return &testHost{due: map[loads.Micros][]func(){}} }

func newRun(call gypsumrail.CallID, work loads.Micros, steps [][]int) *Run {
	tree := &loads.Tree{Calls: []loads.Call{{Steps: steps}}}
	return &Run{Call: call, Request: &loads.Request{Tree: tree, Work: []loads.Micros{work}}}
}

// A fake target must not run more calls than it has slots, must not lose a queued
// call, and must report correctly whether a call ran. The measures of P4 and P5
// depend on this.
func TestTarget(t *testing.T) {
	h := newHost()
	target := New(h, Plan{{Factor: 1, Slots: 1}, {From: 5000, Factor: 1, Slots: 1, Down: true}}, 3)
	canceled := newRun(3, 1000, nil)
	target.Run(newRun(1, 1000, [][]int{{1}}))
	target.Run(newRun(2, 4000, nil))
	target.Run(canceled)
	target.Run(newRun(4, 1000, nil)) // exceeds the 3 connections
	target.Cancel(canceled)
	h.runUntil(6000)
	target.Run(newRun(5, 1000, nil))
	want := []string{
		"0: 1 start", "0: 4 end NotRun 503", "0: 3 end NotRun 0",
		"500: 1 work 500", "1500: 1 work 500", "1500: 1 end Ran 200",
		"1500: 2 start", "5000: 2 work 3500", "5000: 2 end Unknown 0",
		"6001: 5 end NotRun 0",
	}
	if diff := cmp.Diff(want, h.events); diff != "" {
		t.Errorf("events differ (-want +got):\n%s", diff)
	}
}

// Work must change its speed when a fault starts or ends while it runs; otherwise
// the recovery time would be wrong.
func TestFinish(t *testing.T) {
	plan := Plan{{Factor: 1}, {From: 1000, Factor: 10}, {From: 2000, Factor: 1}}
	tests := []struct{ now, work, want loads.Micros }{
		{0, 500, 500},
		{0, 1050, 1500},   // 1000 microseconds of work at full speed, 50 at a tenth of it
		{1000, 500, 2400}, // 100 microseconds of work by the end of the fault, 400 after it
		{3000, 500, 3500},
	}
	for _, test := range tests {
		if got := plan.FinishTime(test.now, test.work); got != test.want {
			t.Errorf("work of %d us from %d us ends at %d us, want %d us", test.work, test.now, got, test.want)
		}
	}
}

// Faults must affect only their target, and only during their span.
func TestNewPlan(t *testing.T) {
	file := &trace.File{
		Records: &gypsumrail.Records{Services: map[string]*gypsumrail.Service{"s": {Name: "s", ColdStart: 1000}}},
		Faults: []trace.Fault{
			{Kind: trace.Restart, Service: "s", Target: "s-1", Factor: 5, From: 100, Until: 200},
			{Kind: trace.FewerSlots, Service: "s", Slots: 2, From: 150, Until: 300},
		},
	}
	plan := NewPlan(file, &gypsumrail.Target{Name: "s-1", Service: "s", Slots: 8})
	type state struct {
		Down   bool
		Factor float64
		Slots  int
	}
	tests := []struct {
		at   loads.Micros
		want state
	}{
		{99_999, state{false, 1, 8}}, {100_000, state{true, 1, 8}}, {150_000, state{true, 1, 2}},
		{200_000, state{false, 5, 2}}, {700_000, state{false, 3, 8}}, {1_200_000, state{false, 1, 8}},
	}
	for _, test := range tests {
		c := plan.At(test.at)
		if diff := cmp.Diff(test.want, state{c.Down, c.Factor, c.Slots}); diff != "" {
			t.Errorf("at %d us (-want +got):\n%s", test.at, diff)
		}
	}
	if other := NewPlan(file, &gypsumrail.Target{Name: "s-2", Service: "s", Slots: 8}); other.At(100_000).Down {
		t.Error("the restart of target s-1 takes target s-2 down")
	}
}
