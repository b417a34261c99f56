package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/gypsumrail/gypsumrail"
)

// testRouter is a router for the service "s" with the upstreams u000, u001, ...
type testRouter struct {
	*Router
	sequence uint64
}

func newTestRouter(n int, change func(i int, u *gypsumrail.Upstream)) *testRouter {
	r := &testRouter{Router: New(gypsumrail.Instance{Zone: "a"}, Settings{})}
	r.SetUpstreams(0, "s", testUpstreams(n, change))
	return r
}

func name(i int) string { return fmt.Sprintf("u%03d", i) }

// report completes a call to upstream i in 20 ms with a report, which change may edit.
func (r *testRouter) report(now gypsumrail.Millis, i int, change func(*gypsumrail.Report)) {
	r.sequence++
	report := gypsumrail.Report{Instance: name(i), Incarnation: 5, Sequence: r.sequence, Limit: 40}
	change(&report)
	r.Sent(now, name(i))
	r.Answered(now, name(i), 20, &report)
}

func (r *testRouter) fail(now gypsumrail.Millis, i, times int, reason gypsumrail.Reason) {
	for range times {
		r.Failed(now, name(i), reason)
	}
}

const draws = 2000

// shares returns the fraction of the choices that each upstream gets if no call is
// sent, and the reason of the last choice.
func (r *testRouter) shares(now gypsumrail.Millis, choice gypsumrail.Choice) (map[string]float64, gypsumrail.Reason) {
	choice.Service = "s"
	random, out, last := rand.New(rand.NewPCG(3, 4)), map[string]float64{}, gypsumrail.ReasonNone
	for range draws {
		choice.Random = random.Uint64()
		var to gypsumrail.Instance
		if to, last = r.Choose(now, choice); last == gypsumrail.ReasonNone {
			out[to.Name] += 1.0 / draws
		}
	}
	return out, last
}

// chosen returns the numbers of the upstreams that are chosen at least once, or the
// reason if there are none.
func (r *testRouter) chosen(now gypsumrail.Millis, choice gypsumrail.Choice) string {
	shares, reason := r.shares(now, choice)
	if len(shares) == 0 {
		return string(reason)
	}
	var out []int
	for i := range 20 {
		if shares[name(i)] > 0 {
			out = append(out, i)
		}
	}
	return fmt.Sprint(out)
}

func zones(names string) func(int, *gypsumrail.Upstream) {
	return func(i int, u *gypsumrail.Upstream) { u.Instance.Zone = names[i : i+1] }
}

func states(all ...gypsumrail.State) func(int, *gypsumrail.Upstream) {
	return func(i int, u *gypsumrail.Upstream) { u.Instance.State = all[i] }
}

// Checks the eligibility rules of docs/design.md, section 5.7. Each case fails if
// an upstream is chosen that cannot or must not serve the call, or if one that can
// is never chosen.
func TestEligible(t *testing.T) {
	threshold := func(level gypsumrail.Level) func(*gypsumrail.Report) {
		return func(r *gypsumrail.Report) { r.Threshold = level }
	}
	live, suspect, leaving := gypsumrail.Live, gypsumrail.Suspect, gypsumrail.Leaving
	tests := []struct {
		name   string
		n      int
		change func(int, *gypsumrail.Upstream)
		before func(*testRouter)
		now    gypsumrail.Millis
		choice gypsumrail.Choice
		want   string
	}{
		{"all", 4, nil, nil, 0, gypsumrail.Choice{}, "[0 1 2 3]"},
		{"none", 0, nil, nil, 0, gypsumrail.Choice{}, "NoUpstream"},
		{"capability", 4, func(i int, u *gypsumrail.Upstream) { u.Capabilities = u.Capabilities[:1+i%2] }, nil, 0, gypsumrail.Choice{Capabilities: []string{"rush", "quote"}}, "[1 3]"},
		{"unknown capability", 4, nil, nil, 0, gypsumrail.Choice{Capabilities: []string{"quote", "laser"}}, "NoUpstream"},
		{"excluded", 3, nil, nil, 0, gypsumrail.Choice{Exclude: []string{name(0), name(2)}}, "[1]"},
		{"all excluded", 1, nil, nil, 0, gypsumrail.Choice{Exclude: []string{name(0)}}, "NoUpstream"},
		{"leaving and suspect", 3, states(leaving, suspect, live), nil, 0, gypsumrail.Choice{}, "[2]"},
		{"suspect as the last resort", 2, states(leaving, suspect), nil, 0, gypsumrail.Choice{}, "[1]"},
		{"suspect in the own zone, live in another", 2, func(i int, u *gypsumrail.Upstream) { states(suspect, live)(i, u); zones("ab")(i, u) }, nil, 0, gypsumrail.Choice{}, "[1]"},
		{"leaving only", 1, states(leaving), nil, 0, gypsumrail.Choice{}, "NoUpstream"},
		{"leaving stated in a report", 2, nil, func(r *testRouter) {
			r.report(0, 0, func(r *gypsumrail.Report) { r.Leaving = true })
			r.SetUpstreams(0, "s", testUpstreams(2, nil)) // the list lags
		}, 0, gypsumrail.Choice{}, "[1]"},
		{"leaving stated in an overtaken report", 2, nil, func(r *testRouter) {
			r.report(0, 0, func(*gypsumrail.Report) {})
			r.report(0, 0, func(r *gypsumrail.Report) { r.Leaving, r.Sequence = true, 1 })
		}, 0, gypsumrail.Choice{}, "[1]"},
		{"own zone", 4, zones("abba"), nil, 0, gypsumrail.Choice{}, "[0 3]"},
		{"other zone if the own has none", 3, zones("bcb"), nil, 0, gypsumrail.Choice{}, "[0 1 2]"},
		{"own zone up to the zone delay", 3, zones("abb"), func(r *testRouter) {
			r.report(0, 0, func(r *gypsumrail.Report) { r.Limit, r.InFlight = 39, 1 }) // 2/39 × 20 ms is above 1 ms but not above 0.5 + 1 ms
		}, 0, gypsumrail.Choice{}, "[0]"},
		{"spill-over", 3, zones("abb"), func(r *testRouter) {
			r.report(0, 0, func(r *gypsumrail.Report) { r.InFlight = 4 }) // 5/40 × 20 ms is above 0.5 + 1 ms
		}, 0, gypsumrail.Choice{}, "[1 2]"},
		{"threshold", 3, nil, func(r *testRouter) { r.report(0, 1, threshold(6)) }, 999, gypsumrail.Choice{Level: 5}, "[0 2]"},
		{"threshold at the level", 1, nil, func(r *testRouter) { r.report(0, 0, threshold(5)) }, 999, gypsumrail.Choice{Level: 5}, "[0]"},
		{"all refuse", 2, nil, func(r *testRouter) { r.report(0, 0, threshold(6)); r.report(500, 1, threshold(6)) }, 999, gypsumrail.Choice{Level: 5}, "Shed"},
		{"the remaining one refuses", 2, nil, func(r *testRouter) { r.report(0, 0, threshold(6)) }, 999, gypsumrail.Choice{Level: 5, Exclude: []string{name(1)}}, "Shed"},
		{"thresholds expire", 2, nil, func(r *testRouter) { r.report(0, 0, threshold(6)); r.report(1, 1, threshold(6)) }, 1000, gypsumrail.Choice{Level: 5}, "[0]"},
		{"a repeated sequence number does not renew a threshold", 2, nil, func(r *testRouter) {
			r.report(0, 0, threshold(6))
			r.report(900, 0, func(r *gypsumrail.Report) { r.Threshold, r.Sequence = 6, 1 })
		}, 1000, gypsumrail.Choice{Level: 5, Exclude: []string{name(1)}}, "[0]"},
		{"a report of another instance", 1, nil, func(r *testRouter) {
			r.report(0, 0, func(r *gypsumrail.Report) { r.Instance, r.Threshold = name(1), 6 })
		}, 0, gypsumrail.Choice{Level: 5}, "[0]"},
		{"a report of an earlier incarnation", 1, nil, func(r *testRouter) {
			r.report(0, 0, func(r *gypsumrail.Report) { r.Incarnation, r.Threshold, r.Leaving = 4, 6, true })
		}, 0, gypsumrail.Choice{Level: 5}, "[0]"},
		{"a new incarnation in a report", 1, states(leaving), func(r *testRouter) {
			r.report(0, 0, func(r *gypsumrail.Report) { r.Incarnation = 6 })
			r.SetUpstreams(0, "s", testUpstreams(1, states(leaving))) // the list lags
		}, 0, gypsumrail.Choice{}, "[0]"},
		{"four failures", 3, nil, func(r *testRouter) { r.fail(0, 0, 4, gypsumrail.ReasonBroken) }, 1, gypsumrail.Choice{}, "[0 1 2]"},
		{"five failures", 3, nil, func(r *testRouter) { r.fail(0, 0, 5, gypsumrail.ReasonBroken) }, 999, gypsumrail.Choice{}, "[1 2]"},
		{"an answer between", 3, nil, func(r *testRouter) {
			r.fail(0, 0, 4, gypsumrail.ReasonBroken)
			r.Answered(0, name(0), 20, nil)
			r.fail(0, 0, 4, gypsumrail.ReasonBroken)
		}, 1, gypsumrail.Choice{}, "[0 1 2]"},
		{"silent connections", 3, nil, func(r *testRouter) { r.fail(0, 0, 50, gypsumrail.ReasonSilent) }, 1, gypsumrail.Choice{}, "[0 1 2]"},
		{"callers that left", 3, nil, func(r *testRouter) { r.fail(0, 0, 50, gypsumrail.ReasonCallerGone) }, 1, gypsumrail.Choice{}, "[0 1 2]"},
		{"half fail", 4, nil, func(r *testRouter) { r.fail(0, 0, 5, ""); r.fail(0, 1, 5, "") }, 1, gypsumrail.Choice{}, "[2 3]"},
		{"more than half fail", 4, nil, func(r *testRouter) { r.fail(0, 0, 5, ""); r.fail(0, 1, 5, ""); r.fail(0, 2, 5, "") }, 1, gypsumrail.Choice{}, "[0 1 2 3]"},
		{"more than half cannot be reached", 4, nil, func(r *testRouter) {
			r.fail(0, 0, 1, gypsumrail.ReasonConnect)
			r.fail(0, 1, 5, gypsumrail.ReasonTargetFailed)
			r.fail(0, 2, 1, gypsumrail.ReasonCrashed)
		}, 1, gypsumrail.Choice{}, "[3]"},
		{"most of those that can be reached fail", 5, nil, func(r *testRouter) {
			r.fail(0, 0, 1, gypsumrail.ReasonConnect)
			r.fail(0, 1, 1, gypsumrail.ReasonConnect)
			r.fail(0, 2, 5, "")
			r.fail(0, 3, 5, "")
		}, 1, gypsumrail.Choice{}, "[2 3 4]"},
		{"none can be reached", 2, nil, func(r *testRouter) {
			r.fail(0, 0, 1, gypsumrail.ReasonConnect)
			r.fail(0, 1, 1, gypsumrail.ReasonConnect)
		}, 1, gypsumrail.Choice{}, "[0 1]"},
		{"ejections apply again once one has ended", 4, nil, func(r *testRouter) {
			r.fail(0, 0, 5, "")
			r.fail(500, 1, 5, "")
			r.fail(500, 2, 5, "")
			r.chosen(500, gypsumrail.Choice{})
		}, 1000, gypsumrail.Choice{}, "[0 3]"},
		{"leaving ones do not count toward the half", 4, states(live, live, leaving, leaving), func(r *testRouter) { r.fail(0, 0, 5, "") }, 1, gypsumrail.Choice{}, "[1]"},
		{"a class that only ejected ones can serve", 4, func(i int, u *gypsumrail.Upstream) { u.Capabilities = u.Capabilities[:2-min(i, 1)] }, func(r *testRouter) {
			r.fail(0, 0, 5, "")
		}, 1, gypsumrail.Choice{Capabilities: []string{"rush"}}, "[0]"},
		{"an earlier time counts as the latest", 2, nil, func(r *testRouter) { r.report(0, 0, threshold(6)); r.shares(5000, gypsumrail.Choice{}) }, 1, gypsumrail.Choice{Level: 5}, "[0 1]"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newTestRouter(test.n, test.change)
			if test.before != nil {
				test.before(r)
			}
			test.choice.Service = "s"
			if diff := cmp.Diff(test.want, r.chosen(test.now, test.choice)); diff != "" {
				t.Errorf("%s\n%+v", diff, r.Explain(test.now, test.choice))
			}
			// An upstream that Explain calls unusable must never be chosen.
			shares, _ := r.shares(test.now, test.choice)
			for _, e := range r.Explain(test.now, test.choice) {
				if !e.Usable && shares[e.Instance] > 0 {
					t.Errorf("%+v is unusable but was chosen", e)
				}
			}
		})
	}
}

// Fails if the statistics of an upstream are lost when the list is replaced, or if
// the outstanding calls of an upstream are counted wrongly after it was removed and
// listed again.
func TestSetUpstreamsKeepsWhatWasLearned(t *testing.T) {
	r := newTestRouter(3, nil)
	r.report(0, 0, func(r *gypsumrail.Report) { r.Limit = 7 })
	r.Sent(0, name(0))
	r.Sent(0, name(0))
	r.SetUpstreams(0, "s", testUpstreams(3, nil)[1:])
	r.SetUpstreams(0, "s", append(testUpstreams(3, nil), testUpstreams(3, nil)...)) // each name twice
	r.Answered(0, name(0), 20, nil)
	got := r.Explain(0, gypsumrail.Choice{Service: "s"})
	if len(got) != 3 || got[0].Limit != 7 || got[0].Outstanding != 1 {
		t.Errorf("got %+v, want 3 upstreams, the first with limit 7 and 1 outstanding", got)
	}
	r.SetUpstreams(0, "s", nil)
	if len(r.upstreams) != 1 || len(r.services) != 0 {
		t.Errorf("%d upstreams and %d services after the list became empty, want 1 and 0", len(r.upstreams), len(r.services))
	}
	r.Failed(0, name(0), gypsumrail.ReasonBroken)
	r.Failed(0, name(0), gypsumrail.ReasonBroken)
	if len(r.upstreams) != 0 {
		t.Errorf("%d upstreams after the last call, want 0", len(r.upstreams))
	}
}

// Fails if HasRoom is true without a free slot: retries would then go to a service
// that has no room for them.
func TestHasRoom(t *testing.T) {
	tests := []struct {
		name   string
		report gypsumrail.Report
		now    gypsumrail.Millis
		want   bool
	}{
		{"below the limit", gypsumrail.Report{Limit: 4, InFlight: 3}, 999, true},
		{"at the limit", gypsumrail.Report{Limit: 4, InFlight: 4}, 0, false},
		{"queue", gypsumrail.Report{Limit: 4, Queued: 1}, 0, false},
		{"refuses the level", gypsumrail.Report{Limit: 4, Threshold: 6}, 0, false},
		{"old report", gypsumrail.Report{Limit: 4}, 1000, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newTestRouter(2, nil)
			test.report.Instance, test.report.Incarnation, test.report.Sequence = name(0), 5, 1
			r.Answered(0, name(0), 20, &test.report)
			choice := gypsumrail.Choice{Service: "s", Level: 5}
			if got := r.HasRoom(test.now, choice); got != test.want {
				t.Errorf("got %v", got)
			}
			choice.Exclude = []string{name(0)}
			if r.HasRoom(test.now, choice) {
				t.Error("room on the excluded upstream or on one without a report")
			}
		})
	}
}

// Fails if a baseline does not spread the calls evenly, or chooses an upstream that
// is leaving, excluded or without a needed capability.
func TestBaselines(t *testing.T) {
	upstreams := testUpstreams(5, func(i int, u *gypsumrail.Upstream) {
		if i == 1 {
			u.Instance.State = gypsumrail.Leaving
		}
		if i == 2 {
			u.Capabilities = nil
		}
	})
	choice := gypsumrail.Choice{Service: "s", Capabilities: []string{"rush"}, Exclude: []string{name(3)}}
	for _, r := range []gypsumrail.Router{NewRoundRobin(), NewRandom()} {
		r.SetUpstreams(0, "s", upstreams)
		counts, random := map[string]int{}, rand.New(rand.NewPCG(1, 1))
		for range 1000 {
			choice.Random = random.Uint64()
			to, _ := r.Choose(0, choice)
			counts[to.Name]++
		}
		if len(counts) != 2 || counts[name(0)] < 400 || counts[name(4)] < 400 {
			t.Errorf("%T: %v", r, counts)
		}
		var usable []string
		for _, e := range r.Explain(0, choice) {
			if e.Usable {
				usable = append(usable, e.Instance)
			}
		}
		if diff := cmp.Diff([]string{name(0), name(4)}, usable); diff != "" {
			t.Errorf("%T: %s", r, diff)
		}
		choice := choice
		choice.Exclude = slices.Collect(func(yield func(string) bool) {
			for i := range 5 {
				if !yield(name(i)) {
					return
				}
			}
		})
		if _, reason := r.Choose(0, choice); reason != gypsumrail.ReasonNoUpstream || r.HasRoom(0, choice) {
			t.Errorf("%T: reason %q with all excluded", r, reason)
		}
	}
}

// Fails if a cold upstream is never chosen after the list of its service was
// empty. The empty list deletes the service with its coldUntil, while an
// outstanding call keeps the cold upstream. Found by TestRouterMatchesFacts.
func TestColdAfterEmptyList(t *testing.T) {
	r := New(gypsumrail.Instance{Zone: "a"}, Settings{})
	list := func(names ...string) {
		var entries []gypsumrail.Upstream
		for _, n := range names {
			entries = append(entries, gypsumrail.Upstream{Slots: 4, Instance: gypsumrail.Instance{Name: n, Zone: "a", State: gypsumrail.Live, Incarnation: 1}})
		}
		r.SetUpstreams(0, "s", entries)
	}
	list("warm")
	list("cold")
	r.Sent(0, "cold") // keeps the upstream while it is not listed
	list()
	list("cold")
	for random := range uint64(100) {
		if to, reason := r.Choose(0, gypsumrail.Choice{Service: "s", Random: random}); to.Name != "cold" {
			t.Fatalf("random %d: chose %q, %s", random, to.Name, reason)
		}
	}
}
