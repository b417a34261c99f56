package slope

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// Guards against a wrong extrapolation, on which all figures of the capacity page rest.
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

// Guards against a generated fleet that the records refuse or that is not of
// the stated size, which would measure something else.
func TestFleet(t *testing.T) {
	known := records(targetInstances)
	got := []int{len(known.Targets), len(known.Services)}
	if diff := cmp.Diff([]int{targetInstances, targetServices}, got); diff != "" {
		t.Error(diff)
	}
	c := newCaller(targetInstances)
	call, forwarded := c.send()
	c.finish(call, forwarded)
	if status := c.node.Status(); status.Sends != 0 || status.Counts.NotRun != 0 {
		t.Errorf("a call did not complete: %+v", status.Counts)
	}
}
