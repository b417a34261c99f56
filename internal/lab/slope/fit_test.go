package slope

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// The fitted line must be right, because all figures of docs/CAPACITY.md are
// extrapolated with it.
func TestFit(t *testing.T) {
	tests := []struct {
		name   string
		points []Point
		want   Line
	}{
		{"exact line", []Point{{10, 25}, {20, 45}, {40, 85}, {80, 165}}, Line{Fixed: 5, Slope: 2}},
		{"one point off", []Point{{0, 10}, {10, 10}, {20, 10}, {30, 20}}, Line{Fixed: 8, Slope: 0.3, Residual: 0.4}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, Fit(test.points), cmpopts.EquateApprox(0, 1e-9)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// The generated fleet must have valid records and the target size, and a call
// through it must complete. Otherwise the figures describe something else.
func TestFleet(t *testing.T) {
	parsed := records(targetInstances)
	got := []int{len(parsed.Targets), len(parsed.Services)}
	if diff := cmp.Diff([]int{targetInstances, targetServices}, got); diff != "" {
		t.Error(diff)
	}
	c := newCallDriver(targetInstances)
	call, forwarded := c.send()
	c.finish(call, forwarded)
	if status := c.node.Status(); status.Sends != 0 || status.Counts.NotRun != 0 {
		t.Errorf("a call did not complete: %+v", status.Counts)
	}
}
