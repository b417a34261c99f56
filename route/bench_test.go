package route

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/gypsumrail/gypsumrail"
)

func testUpstreams(n int, change func(i int, u *gypsumrail.Upstream)) []gypsumrail.Upstream {
	out := make([]gypsumrail.Upstream, n)
	for i := range out {
		out[i] = gypsumrail.Upstream{
			Instance: gypsumrail.Instance{
				Name: fmt.Sprintf("u%03d", i), Service: "s", Zone: "a", Address: "127.0.0.1:1", Incarnation: 5, State: gypsumrail.Live,
			},
			Capabilities: []string{"quote", "rush"}, Slots: 40,
		}
		if change != nil {
			change(i, &out[i])
		}
	}
	return out
}

// BenchmarkChoose measures Choose in the steady state: three zones, warm upstreams
// with fresh reports, and a class that needs one capability.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 40, 160, 640} {
		for _, refused := range []bool{false, true} {
			b.Run(fmt.Sprintf("upstreams=%d/refused=%v", n, refused), func(b *testing.B) {
				r := New(gypsumrail.Instance{Zone: "a"}, Settings{})
				upstreams := testUpstreams(n, func(i int, u *gypsumrail.Upstream) { u.Instance.Zone = string(rune('a' + i%3)) })
				r.SetUpstreams(0, "s", upstreams)
				for i, u := range upstreams {
					report := gypsumrail.Report{Instance: u.Instance.Name, Incarnation: 5, Sequence: 1, Limit: 40, InFlight: i % 30}
					if refused {
						report.Threshold = gypsumrail.LevelMax
					}
					r.Sent(0, u.Instance.Name)
					r.Answered(0, u.Instance.Name, 20, &report)
				}
				random := rand.New(rand.NewPCG(1, 2))
				needs := []string{"rush"}
				b.ReportAllocs()
				for b.Loop() {
					r.Choose(1, gypsumrail.Choice{Service: "s", Capabilities: needs, Level: 5, Random: random.Uint64()})
				}
			})
		}
	}
}

// BenchmarkCall measures a whole call: Choose, Sent, and Answered with a report.
func BenchmarkCall(b *testing.B) {
	r := New(gypsumrail.Instance{Zone: "a"}, Settings{})
	r.SetUpstreams(0, "s", testUpstreams(10, nil))
	random := rand.New(rand.NewPCG(1, 2))
	report := gypsumrail.Report{Incarnation: 5, Limit: 40, InFlight: 10}
	b.ReportAllocs()
	for b.Loop() {
		to, _ := r.Choose(1, gypsumrail.Choice{Service: "s", Random: random.Uint64()})
		r.Sent(1, to.Name)
		report.Instance, report.Sequence = to.Name, report.Sequence+1
		r.Answered(1, to.Name, 20, &report)
	}
}

// BenchmarkSetUpstreams replaces a list of 640 upstreams by the same one.
func BenchmarkSetUpstreams(b *testing.B) {
	r, upstreams := New(gypsumrail.Instance{Zone: "a"}, Settings{}), testUpstreams(640, nil)
	b.ReportAllocs()
	for b.Loop() {
		r.SetUpstreams(0, "s", upstreams)
	}
}
