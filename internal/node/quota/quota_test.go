package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/gypsumrail/gypsumrail/internal/node/quota"
)

// step is one call of a method on the hold of an answer.
type step struct {
	answer string // name of the answer; its target is the first letter
	bytes  int64  // to reserve, or 0
	do     string // "complete" or "release" instead
	want   quota.Verdict
}

// Guards against a node whose memory is filled by answers, and against a target whose
// endless answers push out those of its neighbors.
func TestQuota(t *testing.T) {
	const granted, wait, givenUp = quota.Granted, quota.Wait, quota.GivenUp
	for _, test := range []struct {
		name    string
		steps   []step
		aborted string // answers in the order of their aborts
		want    quota.Usage
	}{
		{
			"the longest answer of the heaviest target pays",
			[]step{{"a1", 30, "", granted}, {"a2", 25, "", granted}, {"b1", 40, "", granted}, {"b1", 10, "", granted}},
			"a1 ",
			quota.Usage{Bound: 100, Reading: 75, GivenUp: 1, Targets: []quota.TargetUsage{{Target: "b", Reading: 50}, {Target: "a", Reading: 25}}},
		},
		{
			"the answer that grows pays if it is the longest",
			[]step{{"a1", 50, "", granted}, {"b1", 40, "", granted}, {"a1", 20, "", givenUp}, {"a1", 1, "", givenUp}},
			"",
			quota.Usage{Bound: 100, Reading: 40, GivenUp: 1, Targets: []quota.TargetUsage{{Target: "b", Reading: 40}}},
		},
		{
			"no answer exceeds its own bound",
			[]step{{"a1", 60, "", granted}, {"a1", 1, "", givenUp}},
			"",
			quota.Usage{Bound: 100, GivenUp: 1},
		},
		{
			"complete answers are kept, and others wait for them",
			[]step{{"a1", 60, "", granted}, {"a1", 0, "complete", granted}, {"b1", 40, "", granted}, {"b1", 10, "", wait}, {"a1", 0, "release", granted}, {"b1", 10, "", granted}},
			"",
			quota.Usage{Bound: 100, Reading: 50, Targets: []quota.TargetUsage{{Target: "b", Reading: 50}}},
		},
		{
			"a target that has complete answers does not pay for its neighbors",
			[]step{{"a1", 40, "", granted}, {"a1", 0, "complete", granted}, {"a2", 5, "", granted}, {"b1", 50, "", granted}, {"a3", 10, "", granted}},
			"b1 ",
			quota.Usage{Bound: 100, Reading: 15, Ready: 40, GivenUp: 1, Targets: []quota.TargetUsage{{Target: "a", Reading: 15, Ready: 40}}},
		},
		{
			"a release counts once",
			[]step{{"a1", 40, "", granted}, {"a1", 0, "release", granted}, {"a1", 0, "release", granted}, {"a1", 1, "", givenUp}},
			"",
			quota.Usage{Bound: 100},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			q := quota.NewTotal(100).NewQuota(quota.Bounds{Max: 100, One: 60, Waits: true})
			holds, aborted := make(map[string]*quota.Hold), ""
			for i, s := range test.steps {
				h := holds[s.answer]
				if h == nil {
					h = q.Open(s.answer[:1], func() { aborted += s.answer + " " })
					holds[s.answer] = h
				}
				switch s.do {
				case "complete":
					if !h.Complete() {
						t.Errorf("step %d: the answer was given up", i)
					}
				case "release":
					h.Release()
				default:
					verdict, released := h.Reserve(s.bytes)
					if verdict != s.want || (released != nil) != (verdict == quota.Wait) {
						t.Errorf("step %d: verdict %d, want %d", i, verdict, s.want)
					}
				}
			}
			if aborted != test.aborted {
				t.Errorf("aborted %q, want %q", aborted, test.aborted)
			}
			if diff := cmp.Diff(test.want, q.Usage()); diff != "" {
				t.Errorf("usage (-want +got):\n%s", diff)
			}
		})
	}
}

// In any order of calls, the bytes granted stay within the bound, a short answer beside
// endless ones of another target is never given up, and nothing is left in the end.
func TestQuotaOrders(t *testing.T) {
	const bound, short = 1000, 40
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		q := quota.NewTotal(bound).NewQuota(quota.Bounds{Max: bound, One: bound / 2, Waits: true})
		type answer struct {
			*quota.Hold
			bytes             int64
			isShort, complete bool
		}
		var open []*answer
		for range 2000 {
			switch random.IntN(4) {
			case 0:
				a := &answer{isShort: random.IntN(3) == 0}
				target := fmt.Sprintf("endless-%d", random.IntN(2))
				if a.isShort {
					target = fmt.Sprintf("sound-%d", random.IntN(50))
				}
				a.Hold = q.Open(target, func() {
					if a.isShort {
						t.Fatalf("seed %d: a short answer was aborted", seed)
					}
				})
				open = append(open, a)
			case 1:
				if len(open) > 0 {
					i := random.IntN(len(open))
					open[i].Release()
					open = append(open[:i], open[i+1:]...)
				}
			default:
				if len(open) == 0 {
					continue
				}
				a := open[random.IntN(len(open))]
				switch {
				case a.complete:
				case a.isShort && a.bytes >= short:
					a.complete = a.Complete()
				default:
					verdict, _ := a.Reserve(20)
					if verdict == quota.Granted {
						a.bytes += 20
					}
					if a.isShort && verdict == quota.GivenUp {
						t.Fatalf("seed %d: a short answer was given up", seed)
					}
				}
			}
			if u := q.Usage(); u.Reading+u.Ready > bound || u.Reading < 0 || u.Ready < 0 {
				t.Fatalf("seed %d: %+v", seed, u)
			}
		}
		for _, a := range open {
			a.Release()
		}
		if u := q.Usage(); u.Reading != 0 || u.Ready != 0 || len(u.Targets) != 0 {
			t.Errorf("seed %d: %+v is left", seed, u)
		}
	}
}
