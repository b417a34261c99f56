package limit

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"github.com/gypsumrail/gypsumrail"
)

var (
	_ gypsumrail.Limiter = (*Adaptive)(nil)
	_ gypsumrail.Limiter = (*Static)(nil)
	_ gypsumrail.Limiter = Unlimited{}
)

const seeds = 20

var (
	none      = always(0)
	scenarios = []scenario{
		{"healthy", always(64), always(20), none, none, 2000, 15000, 0.95, 64, 64},
		{"slower per call", always(64), during(5000, 15000, 80, 20), none, none, 5000, 15000, 0.92, 64, 64},
		{"slow dependency", always(64), always(20), during(5000, 15000, 60, 0), none, 5000, 15000, 0.95, 64, 64},
		{"less capacity than stated", always(16), always(20), none, none, 5000, 15000, 0.95, 22, 64},
		{"capacity lost", during(5000, 15000, 16, 64), always(20), none, none, 7000, 15000, 0.92, 26, 64},
		{"capacity returned", during(3000, 8000, 16, 64), always(20), none, none, 10000, 15000, 0.92, 64, 64},
		{"slow cold start", always(64), during(0, 3000, 100, 20), none, none, 3000, 15000, 0.92, 64, 64},
		{"weak cold start", during(0, 3000, 8, 64), always(20), none, none, 5000, 15000, 0.92, 64, 64},
		{"refuses above its slots", always(64), always(20), none, always(24), 2000, 15000, 0.95, 30, 64},
		{"refused everything", always(64), always(20), none, during(1000, 4000, 0.5, 0), 6000, 15000, 0.92, 64, 64},
		// With few calls per second windows are long, so each needless probe costs more.
		{"small target", always(16), always(60), none, none, 2000, 15000, 0.94, 16, 16},
		{"small slow target", always(18), always(450), none, none, 6000, 15000, 0.92, 18, 18},
		{"small capacity returned", during(3000, 8000, 4, 16), always(60), none, none, 10000, 15000, 0.95, 16, 16},
	}
)

func average(s scenario, limiter func() gypsumrail.Limiter) outcome {
	var mean outcome
	for seed := range uint64(seeds) {
		out := simulate(limiter(), s, seed)
		mean.goodput += out.goodput
		mean.limit += out.limit
		mean.self += out.self
	}
	return outcome{mean.goodput / seeds, mean.limit / seeds, mean.self / seeds}
}

// The limit must not stay above the capacity of a target, must not fall because
// calls became slower, and must rise again when the capacity returns. On average
// over the scenarios Adaptive must complete more than the gradient algorithm, and
// its time per call must be below that of a limit fixed at the ceiling.
func TestScenarios(t *testing.T) {
	var total [3]outcome
	for _, s := range scenarios {
		for i, limiter := range []func() gypsumrail.Limiter{
			func() gypsumrail.Limiter { return New(Settings{}) },
			func() gypsumrail.Limiter { return &gradient{} },
			func() gypsumrail.Limiter { return NewStatic(s.ceiling) },
		} {
			mean := average(s, limiter)
			total[i].goodput += mean.goodput
			total[i].self += mean.self
			t.Logf("%-26s %T: goodput %.3f, limit %.1f, time per call %.2f", s.name, limiter(), mean.goodput, mean.limit, mean.self)
			if i == 0 && (mean.goodput < s.goodput || mean.limit > s.limitMax) {
				t.Errorf("%s: goodput %.3f with limit %.1f, want at least %.2f with at most %.0f",
					s.name, mean.goodput, mean.limit, s.goodput, s.limitMax)
			}
		}
	}
	if total[0].goodput <= total[1].goodput || total[0].self >= total[2].self {
		t.Errorf("sums over the scenarios: %+v", total)
	}
}

// reporting calls Reported with false slots at every completion.
type reporting struct {
	*Adaptive
	slots func(now gypsumrail.Millis) float64
}

func (r reporting) Completed(now gypsumrail.Millis, sample gypsumrail.Sample) {
	r.Reported(now, int(r.slots(now)))
	r.Adaptive.Completed(now, sample)
}

// A frozen, false or flapping report of the target must not set the limit.
func TestReported(t *testing.T) {
	for name, slots := range map[string]func(gypsumrail.Millis) float64{
		"too low": always(2), "too high": always(1e6),
		"flapping": func(now gypsumrail.Millis) float64 { return float64(2 + now/100%2*1000) },
	} {
		mean := average(scenarios[0], func() gypsumrail.Limiter { return reporting{New(Settings{}), slots} })
		if mean.goodput < 0.92 || mean.limit > 64 {
			t.Errorf("%s: goodput %.3f, limit %.1f", name, mean.goodput, mean.limit)
		}
	}
	a := New(Settings{Ceiling: 64})
	a.Reported(0, 0)
	a.Reported(0, 40)
	if a.reportedSlots != 40 || a.Limit() != 64 {
		t.Errorf("reported slots %d, limit %d after a report, want 40 and 64", a.reportedSlots, a.Limit())
	}
}

// The limit must stay between 1 and the ceiling after any input.
func TestRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := New(Settings{Window: 10, Samples: 5})
		ceiling, now := 1024, gypsumrail.Millis(0)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "operation") {
			case 0:
				ceiling = rapid.IntRange(-1, 50).Draw(t, "ceiling")
				a.SetCeiling(ceiling)
				ceiling = max(1, ceiling)
			case 1:
				a.Reported(now, rapid.IntRange(-1, 99).Draw(t, "slots"))
			default:
				sample := gypsumrail.Sample{Self: gypsumrail.Millis(rapid.IntRange(0, 50).Draw(t, "self")),
					Refused: rapid.Bool().Draw(t, "refused"), Failed: rapid.Bool().Draw(t, "failed")}
				for range 30 {
					now += gypsumrail.Millis(rapid.IntRange(0, 2).Draw(t, "passed"))
					sample.InFlight = max(0, a.Limit()-1)
					a.Completed(now, sample)
				}
			}
			if a.Limit() < 1 || a.Limit() > ceiling || a.base < 1 || a.base > ceiling {
				t.Fatalf("limit %d, base %d, ceiling %d", a.Limit(), a.base, ceiling)
			}
		}
	})
}

// The baselines must not react to results and reports.
func TestBaselines(t *testing.T) {
	tests := []struct {
		limiter       gypsumrail.Limiter
		before, after int
	}{
		{NewStatic(0), 1, 1},
		{NewStatic(30), 30, 20},
		{Unlimited{}, math.MaxInt, math.MaxInt},
	}
	for _, test := range tests {
		before := test.limiter.Limit()
		test.limiter.Completed(0, gypsumrail.Sample{Refused: true})
		test.limiter.Reported(0, 1)
		test.limiter.SetCeiling(20)
		if after := test.limiter.Limit(); before != test.before || after != test.after {
			t.Errorf("%T: limit %d, then %d; want %d, %d", test.limiter, before, after, test.before, test.after)
		}
	}
}

// A window must ignore calls that ended while calls of the previous limit were still
// running.
func TestWindowSettles(t *testing.T) {
	w := window{start: 100}
	w.add(99, gypsumrail.Sample{InFlight: 9})
	w.add(100, gypsumrail.Sample{InFlight: 4})
	if w.successes != 1 || w.peak != 4 {
		t.Errorf("%d samples with a peak of %d, want only the second", w.successes, w.peak)
	}
}

func ExampleAdaptive() {
	limit := New(Settings{Initial: 0.25})
	limit.SetCeiling(40)
	fmt.Println("cold:", limit.Limit())
	for now := gypsumrail.Millis(0); now < 2000; now++ {
		// Each call takes 10 ms however many run, so more slots complete more.
		for range limit.Limit() / 10 {
			limit.Completed(now, gypsumrail.Sample{Latency: 10, Self: 10, InFlight: limit.Limit()})
		}
	}
	fmt.Println("warm:", limit.Limit())
	// Output:
	// cold: 10
	// warm: 40
}

func BenchmarkCompleted(b *testing.B) {
	limit := New(Settings{Ceiling: 100})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		limit.Completed(gypsumrail.Millis(i/10), gypsumrail.Sample{Latency: 10, Self: 10, InFlight: limit.Limit()})
	}
}
