package loads_test

import (
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/gypsumrail/gypsumrail/internal/lab/loads"
	"github.com/gypsumrail/gypsumrail/internal/lab/trace"
)

// The same seed must give the same requests. Their number and the mean of each
// service time must be those that the trace states.
func TestRequests(t *testing.T) {
	file, err := trace.Open("../../../traces/tsagaan-steady.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	requests := loads.Requests(file, 3)
	again := loads.Requests(file, 3)
	other := loads.Requests(file, 4)
	want := 0.0
	for _, p := range file.Phases {
		want += p.Rate * float64(p.Until-p.From) / 1000
	}
	// Five standard deviations of a Poisson count.
	if got := float64(len(requests)); math.Abs(got-want) > 5*math.Sqrt(want) {
		t.Errorf("%v requests, want about %v", got, want)
	}
	sum, count := map[string]float64{}, map[string]float64{}
	for i := range requests {
		r, a := &requests[i], &again[i]
		if diff := cmp.Diff([]any{r.ID, r.At, r.Work, r.Seed}, []any{a.ID, a.At, a.Work, a.Seed}); diff != "" {
			t.Fatalf("request %d differs with the same seed:\n%s", i, diff)
		}
		if i > 0 && r.At < requests[i-1].At {
			t.Fatalf("request %d arrives before the one before it", i)
		}
		for j, c := range r.Tree.Calls {
			sum[c.Service] += float64(r.Work[j])
			count[c.Service]++
		}
	}
	if len(other) == len(requests) && other[0].At == requests[0].At {
		t.Error("another seed gives the same requests")
	}
	for _, w := range file.Work {
		mean := sum[w.Service] / count[w.Service] / 1000
		if math.Abs(mean/w.MeanMillis-1) > 0.05 {
			t.Errorf("mean work of %s is %.1f ms, want %.1f", w.Service, mean, w.MeanMillis)
		}
	}
}
