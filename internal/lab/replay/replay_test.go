package replay

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/gypsumrail/gypsumrail/internal/lab/counts"
	"github.com/gypsumrail/gypsumrail/internal/lab/loads"
	"github.com/gypsumrail/gypsumrail/internal/lab/policy"
	"github.com/gypsumrail/gypsumrail/internal/lab/trace"
)

// Events of the same time must run in the order in which they were added. The
// heap alone does not keep that order, and events without delay bypass it.
func TestEventOrder(t *testing.T) {
	var queue eventQueue
	var got []int
	note := func(n int) func() { return func() { got = append(got, n) } }
	for n := range 20 {
		queue.after(10, note(n))
	}
	queue.after(5, func() {
		queue.after(5, note(20))
		queue.after(0, note(-1))
		queue.after(0, func() { queue.after(0, note(-2)) })
	})
	queue.after(11, note(99))
	queue.runUntil(10)
	want := []int{-1, -2}
	for n := range 21 {
		want = append(want, n)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

// A replay must not lose or add calls. Under light load without faults, every
// policy answers every request with exactly the calls of its tree,
// and each target works exactly the drawn time.
func TestLightLoad(t *testing.T) {
	file, err := trace.Open("../../cmds/verbs/testdata/small.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	file.Faults = nil
	for i := range file.Phases {
		file.Phases[i].Rate = 2
		file.Phases[i].Timeout = 0
		file.Phases[i].Deadline = 5000
	}
	requests := loads.Requests(file, 9)
	for _, p := range policy.All() {
		tally := Run(file, requests, 9, p)
		for i := range requests {
			var work loads.Micros
			for _, w := range requests[i].Work {
				work += w / 2 * 2 // a call with one step works in two equal pieces, each rounded down
			}
			counted := &tally.ByRequest[i]
			// Rounding accounts for at most 1 microsecond for each of the two calls.
			if !counted.Good || counted.ClientAttempts != 1 || counted.Attempts != 2 || counted.Retries != 0 ||
				work-counted.Worked > 2 || counted.Worked-work > 2 {
				t.Fatalf("policy %s, request %d: %+v, drawn work %d us", p.Name, i, *counted, work)
			}
			// A request takes at least its work and the delay to and from the client,
			// which is 2000 microseconds each way.
			if counted.GoodAt < requests[i].At+2*2000+work {
				t.Fatalf("policy %s, request %d is answered before its work is done", p.Name, i)
			}
		}
	}
}

// A call that runs although its caller received NotRun must be counted, whichever
// of the two comes first (P4).
func TestRanAfterNotRun(t *testing.T) {
	for _, ranFirst := range []bool{true, false} {
		s := &simulation{tally: counts.New(nil)}
		n := &node{simulation: s}
		sender := &call{node: n}
		forwarded := &call{node: n, sender: sender}
		steps := []func(){forwarded.markRan, sender.markNotRun}
		if !ranFirst {
			slices.Reverse(steps)
		}
		for _, step := range steps {
			step()
		}
		if s.tally.NotRunRan.Value != 1 {
			t.Errorf("ran first %t: counted %d, want 1", ranFirst, s.tally.NotRunRan.Value)
		}
	}
}
