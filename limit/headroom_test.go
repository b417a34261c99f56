package limit

import (
	"container/heap"
	"math/rand/v2"
	"testing"

	"github.com/gypsumrail/gypsumrail"
)

// ends is a heap of the running calls of a target, ordered by their end.
type ends []runEnd

type runEnd struct {
	at     gypsumrail.Millis
	sample gypsumrail.Sample
}

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at < e[j].at }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(runEnd)) }
func (e *ends) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// fullTarget simulates a target with a queue that is never empty. It returns the
// completions per second in the second half of each phase, and the final limit.
func fullTarget(l gypsumrail.Limiter, slots int, seed uint64, phases []func(inFlight int) float64) (rates []float64, limit int) {
	random := rand.New(rand.NewPCG(seed, 1))
	l.SetCeiling(slots)
	var running ends
	now := gypsumrail.Millis(0)
	const phase = 20 * gypsumrail.Second
	for _, timeOf := range phases {
		done, until := 0, now+phase
		for now < until {
			for len(running) < l.Limit() {
				n := len(running) + 1
				took := gypsumrail.Millis(timeOf(n)*(0.5+random.ExpFloat64()/2) + 0.5)
				heap.Push(&running, runEnd{now + took, gypsumrail.Sample{Latency: took, Self: took, InFlight: n}})
			}
			end := heap.Pop(&running).(runEnd)
			now = max(now, end.at)
			if until-now < phase/2 {
				done++
			}
			l.Completed(now, end.sample)
		}
		rates = append(rates, float64(done)/float64(phase/2/gypsumrail.Second))
	}
	return rates, l.Limit()
}

// Some targets slow down when they are nearly full, so filling them loses
// throughput. A target that does not slow down, or was slow only for a while, must
// use all of its slots.
func TestHeadroom(t *testing.T) {
	even := func(int) float64 { return 20 }
	slow := func(int) float64 { return 80 }
	nearly := func(slots int, share, factor float64) func(int) float64 {
		return func(n int) float64 {
			if float64(n) > share*float64(slots) {
				return 20 * factor
			}
			return 20
		}
	}
	tests := []struct {
		name   string
		slots  int
		phases []func(int) float64
		least  float64 // smallest accepted throughput as a share of best
		best   float64 // throughput at the best limit, in calls per second: limit / time per call
	}{
		{"even", 46, []func(int) float64{even}, 0.97, 46 / 0.020},
		{"even, few slots", 8, []func(int) float64{even}, 0.95, 8 / 0.020},
		{"even, many slots", 256, []func(int) float64{even}, 0.97, 256 / 0.020},
		{"slow above 95 %", 46, []func(int) float64{nearly(46, 0.95, 1.3)}, 0.95, 43 / 0.020},
		{"slow above 90 %", 46, []func(int) float64{nearly(46, 0.9, 1.5)}, 0.93, 41 / 0.020},
		{"slow when full, few slots", 8, []func(int) float64{nearly(8, 0.95, 1.3)}, 0.95, 7 / 0.020},
		{"slow for a while", 46, []func(int) float64{even, slow, even}, 0.97, 46 / 0.020},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(20) {
				rates, limit := fullTarget(NewHeadroom(), test.slots, seed, test.phases)
				if rate := rates[len(rates)-1]; rate < test.least*test.best {
					t.Errorf("seed %d: %.0f a second, %.2f of the best; limit %d", seed, rate, rate/test.best, limit)
				}
			}
		})
	}
}

// A target that is not full must have no trials, because they would show nothing.
func TestHeadroomIdle(t *testing.T) {
	h := NewHeadroom()
	h.SetCeiling(46)
	for now := range gypsumrail.Millis(60_000) {
		h.Completed(now, gypsumrail.Sample{Latency: 20, Self: 20, InFlight: int(now % 40)})
		if h.Limit() != 46 {
			t.Fatalf("the limit is %d at %d ms", h.Limit(), now)
		}
	}
}
