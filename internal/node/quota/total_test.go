package quota_test

import (
	"math/rand/v2"
	"testing"

	"github.com/gypsumrail/gypsumrail/internal/node/quota"
)

// newPair returns quotas of 100 bytes together: up to 40 for answers and 80 for requests.
func newPair() (answers, requests *quota.Quota) {
	total := quota.NewTotal(100)
	return total.NewQuota(quota.Bounds{Max: 40, One: 30, Waits: true}), total.NewQuota(quota.Bounds{Max: 80, One: 80})
}

// Guards against answers and requests that exceed a bound together which each of them keeps.
func TestSharedTotal(t *testing.T) {
	answers, requests := newPair()
	none := func() { t.Error("a body was aborted in favor of one of the other quota") }
	a1, a2 := answers.Open("a", none), answers.Open("b", none)
	r1 := requests.Open("c", none)
	for i, step := range []struct {
		hold  *quota.Hold
		bytes int64
		want  quota.Verdict
	}{
		{r1, 70, quota.Granted},
		{a1, 20, quota.Granted},
		{a2, 10, quota.Granted},
		{r1, 1, quota.GivenUp}, // 100 are taken, and it is the longest request
		{a1, 10, quota.Granted},
	} {
		if verdict, _ := step.hold.Reserve(step.bytes); verdict != step.want {
			t.Errorf("step %d: verdict %d, want %d", i, verdict, step.want)
		}
	}
	if requests.Admits(61) || !requests.Admits(60) {
		t.Error("beside 40 bytes of answers, 60 are left for requests")
	}
}

// Guards against a request that is read although it cannot fit, and against one that is refused
// because of others that are not complete and may yet fail.
func TestAdmits(t *testing.T) {
	_, requests := newPair()
	complete, unfinished := requests.Open("a", func() {}), requests.Open("b", func() {})
	complete.Reserve(30)
	complete.Complete()
	unfinished.Reserve(40)
	for _, test := range []struct {
		bytes int64
		want  bool
	}{{50, true}, {51, false}, {81, false}} {
		if got := requests.Admits(test.bytes); got != test.want {
			t.Errorf("Admits(%d) is %t", test.bytes, got)
		}
	}
	complete.Release()
	if !requests.Admits(80) || requests.Admits(81) {
		t.Error("the bound is not that of the quota")
	}
}

// Guards against a complete request that is given up, and against one that waits: the longest
// unfinished request of the heaviest sender is given up at once.
func TestRequestsDoNotWait(t *testing.T) {
	_, requests := newPair()
	aborted := ""
	open := func(name string) *quota.Hold { return requests.Open(name[:1], func() { aborted += name + " " }) }
	complete, long, short := open("a1"), open("a2"), open("b1")
	complete.Reserve(50)
	complete.Complete()
	long.Reserve(25)
	if verdict, _ := short.Reserve(10); verdict != quota.Granted || aborted != "a2 " {
		t.Errorf("verdict %d, aborted %q, want the longest unfinished one", verdict, aborted)
	}
	if verdict, _ := long.Reserve(1); verdict != quota.GivenUp {
		t.Errorf("verdict %d for the one that was aborted", verdict)
	}
	if verdict, _ := short.Reserve(25); verdict != quota.GivenUp {
		t.Errorf("verdict %d, want the only unfinished one to be given up", verdict)
	}
}

// In any order of calls, both quotas together stay within the total, each within its own bound,
// and answers always get what requests cannot take.
func TestSharedTotalOrders(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		answers, requests := newPair()
		var holds []*quota.Hold
		for range 2000 {
			q := answers
			if random.IntN(2) == 0 {
				q = requests
			}
			switch random.IntN(4) {
			case 0:
				holds = append(holds, q.Open(string(rune('a'+random.IntN(5))), func() {}))
			case 1:
				if len(holds) > 0 {
					i := random.IntN(len(holds))
					holds[i].Release()
					holds = append(holds[:i], holds[i+1:]...)
				}
			case 2:
				if len(holds) > 0 && random.IntN(3) == 0 {
					holds[random.IntN(len(holds))].Complete()
				}
			default:
				if len(holds) > 0 {
					holds[random.IntN(len(holds))].Reserve(int64(1 + random.IntN(15)))
				}
			}
			a, r := answers.Usage(), requests.Usage()
			if held := a.Reading + a.Ready; held > 40 || held+r.Reading+r.Ready > 100 || r.Reading+r.Ready > 80 {
				t.Fatalf("seed %d: answers %+v, requests %+v", seed, a, r)
			}
			if a.Reading+a.Ready <= 10 {
				h := answers.Open("probe", func() {})
				if verdict, _ := h.Reserve(10); verdict != quota.Granted {
					t.Fatalf("seed %d: verdict %d for an answer within what requests leave", seed, verdict)
				}
				h.Release()
			}
		}
	}
}
