package retry

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/gypsumrail/gypsumrail"
)

// Compares the budget with a model: the retries into a service must not exceed the
// burst plus the share of its successes, no share may be lost, and the number of
// entries is bounded.
func TestBudgetMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := rapid.IntRange(1, 4).Draw(t, "bound")
		b := New(Settings{ServicesMax: bound})
		tenths := map[string]int{} // budget left, in tenths of a retry
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			service := fmt.Sprintf("s%d", rapid.IntRange(0, 5).Draw(t, "service"))
			if _, found := tenths[service]; !found {
				tenths[service] = 100
			}
			counted := 0
			for _, left := range tenths {
				if left < 100 {
					counted++
				}
			}
			if rapid.IntRange(0, 4).Draw(t, "success") > 0 {
				b.Succeeded(0, service)
				tenths[service] = min(100, tenths[service]+1)
				continue
			}
			want := tenths[service] >= 10 && (tenths[service] < 100 || counted < bound)
			if want && b.Left(service) != float64(tenths[service])/10 {
				t.Fatalf("%v left, want %d tenths", b.Left(service), tenths[service])
			}
			if got := b.Take(0, service); got != want {
				t.Fatalf("Take returned %v with %d tenths left and %d services counted", got, tenths[service], counted)
			}
			if want {
				tenths[service] -= 10
			}
			if len(b.spent) > bound {
				t.Fatalf("%d services, bound %d", len(b.spent), bound)
			}
		}
	})
}

// Delays must range from zero to the ceiling, including both, and the ceiling must
// not overflow.
func TestBackoffDelay(t *testing.T) {
	huge := gypsumrail.Millis(1) << 62
	tests := []struct {
		backoff Backoff
		retry   int
		ceiling gypsumrail.Millis
	}{
		{Backoff{}, -1, 10}, {Backoff{}, 1, 10}, {Backoff{}, 2, 20}, {Backoff{}, 7, 640},
		{Backoff{}, 8, 1000}, {Backoff{}, 1 << 30, 1000}, {Backoff{Base: 50, Max: 20}, 1, 20},
		{Backoff{Base: huge, Max: huge}, 90, huge}, {Backoff{Base: 3, Max: 5}, 2, 5},
	}
	for _, test := range tests {
		if got := test.backoff.Delay(test.retry, 0); got != 0 {
			t.Errorf("%+v: lowest delay %d, want 0", test, got)
		}
		if got := test.backoff.Delay(test.retry, 1<<64-1); got != test.ceiling {
			t.Errorf("%+v: highest delay %d", test, got)
		}
	}
}

func BenchmarkBudget(b *testing.B) {
	budget := New(Settings{})
	b.ReportAllocs()
	for b.Loop() {
		budget.Succeeded(0, "gradebook")
		budget.Take(0, "gradebook")
	}
}

func BenchmarkAllowance(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		allowance := NewAllowance(3)
		portion := allowance.Grant(true)
		allowance.Return(&portion, 1)
		allowance.Spend()
	}
}

func BenchmarkBackoff(b *testing.B) {
	b.ReportAllocs()
	random := uint64(1)
	for b.Loop() {
		random *= 0x9E3779B97F4A7C15
		Backoff{}.Delay(3, random)
	}
}
