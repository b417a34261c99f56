package counts

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/lab/loads"
)

var (
	high  = &gypsumrail.Class{Name: "high", Importance: 9, Uses: []string{"a", "b"}}
	low   = &gypsumrail.Class{Name: "low", Importance: 1, Uses: []string{"a", "b"}}
	front = &gypsumrail.Class{Name: "front", Importance: 1, Uses: []string{"a"}}
)

// Each inversion must be counted. An admission in another window or at another
// node is no inversion, and neither is that of a class which does not use the
// service for which the sender refused.
func TestInversions(t *testing.T) {
	tests := []struct {
		name     string
		admitted *gypsumrail.Class
		node     string
		receiver bool
		at       loads.Micros
		reason   gypsumrail.Reason
		waited   bool
		sheds    int
		inverted int
	}{
		{"same window", low, "n", true, 99_000, gypsumrail.ReasonShed, false, 1, 1},
		{"next window", low, "n", true, 100_000, gypsumrail.ReasonShed, false, 1, 0},
		{"other node", low, "m", true, 0, gypsumrail.ReasonShed, false, 1, 0},
		{"equal importance", high, "n", true, 0, gypsumrail.ReasonShed, false, 1, 0},
		{"sender, same services", low, "n", false, 0, gypsumrail.ReasonOverload, false, 1, 1},
		{"sender, fewer services", front, "n", false, 0, gypsumrail.ReasonShed, false, 1, 0},
		{"receiver, fewer services", front, "n", true, 0, gypsumrail.ReasonShed, false, 1, 1},
		{"late on arrival", low, "n", true, 0, gypsumrail.ReasonDeadline, false, 0, 0},
		{"late after waiting", low, "n", true, 0, gypsumrail.ReasonDeadline, true, 1, 1},
		{"not for load", low, "n", true, 0, gypsumrail.ReasonNoUpstream, true, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := New(nil)
			c.Refused("n", "a", test.receiver, high, test.reason, test.waited, 1000)
			c.Admitted(test.node, "a", test.receiver, test.admitted, test.at)
			c.Close()
			if diff := cmp.Diff([]int{test.sheds, test.inverted}, []int{c.Sheds["high"], c.Inverted["high"]}); diff != "" {
				t.Errorf("sheds and inversions (-want +got):\n%s", diff)
			}
		})
	}
}

// The counts must show a second run of a call that is not repeatable and retries
// beyond the allowance, with the time of the largest value.
func TestCounts(t *testing.T) {
	notRepeatable := &gypsumrail.Class{Name: "once", Allowance: 1}
	requests := []loads.Request{{Tree: &loads.Tree{Class: notRepeatable, Calls: make([]loads.Call, 2)}, Phase: nil}}
	c := New(requests)
	c.Started(&requests[0], 0, 10)
	c.Started(&requests[0], 1, 20)
	if c.Runs.Value != 1 {
		t.Errorf("runs are %d after one run of each call, want 1", c.Runs.Value)
	}
	c.Started(&requests[0], 1, 30)
	for at := range loads.Micros(4) {
		c.Attempt(&requests[0], at, at > 0)
	}
	want := []Worst{{2, 30}, {2, 3}}
	if diff := cmp.Diff(want, []Worst{c.Runs, c.RetriesOver}); diff != "" {
		t.Errorf("runs and retries over the bound (-want +got):\n%s", diff)
	}
}
