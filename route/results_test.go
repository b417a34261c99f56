package route

import (
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/gypsumrail/gypsumrail"
)

// Fails if repeated ejections do not double up to ejectTimeMax, or if an answer
// does not reset the failure count.
func TestEjectionDoubles(t *testing.T) {
	r, now := newTestRouter(3, nil), gypsumrail.Millis(0)
	r.fail(now, 0, 4, gypsumrail.ReasonConnect)
	var spans []gypsumrail.Millis
	for range 7 {
		r.fail(now, 0, 3, gypsumrail.ReasonConnect) // calls sent before the ejection count once
		start := now
		for r.chosen(now, gypsumrail.Choice{}) == "[1 2]" {
			now += 500
		}
		spans = append(spans, (now-start)/gypsumrail.Second)
	}
	if diff := cmp.Diff([]gypsumrail.Millis{1, 2, 2, 2, 2, 2, 2}, spans); diff != "" {
		t.Errorf("spans in seconds: %s", diff)
	}
	r.fail(now, 0, 1, gypsumrail.ReasonConnect)
	r.report(now, 0, func(*gypsumrail.Report) {})
	if got := r.chosen(now, gypsumrail.Choice{}); got != "[0 1 2]" {
		t.Errorf("chosen after an answer: %s", got)
	}
}

// Fails if an outdated load, limit or latency still counts, if a report without a
// new sequence number does, or if own calls count twice.
func TestExpectedAges(t *testing.T) {
	r := newTestRouter(2, nil)
	u := r.upstreams[name(0)]
	r.report(0, 1, func(*gypsumrail.Report) {}) // sets the latency of the service to 20 ms
	r.Sent(0, name(0))
	r.report(0, 0, func(r *gypsumrail.Report) { r.Limit, r.InFlight, r.Queued = 10, 21, 10 }) // 30 calls of other senders
	r.report(800, 0, func(r *gypsumrail.Report) { r.Limit, r.InFlight, r.Sequence = 5, 99, 1 })
	u.latency, u.lastEndAt = 100, 0
	tests := []struct {
		now         gypsumrail.Millis
		outstanding int
		want        float64
	}{
		{0, 1, 320}, // (1 + 30 + 1) / 10 × 100 ms
		{500, 1, 170},
		{1000, 1, 20},
		{9999, 1, 20},
		{10_000, 1, 5}, // the limit of the records
		{10_000, 0, 0.5},
		{5000, 0, 6}, // halfway to the latency of the service
		{60_000, 0, 0.5},
	}
	for _, test := range tests {
		u.outstanding = test.outstanding
		if got := u.expectedDelay(test.now, 0); got < test.want*0.999 || got > test.want*1.001 {
			t.Errorf("at %d with %d outstanding: expected delay %.3f ms, want %.3f", test.now, test.outstanding, got, test.want)
		}
	}
	before := u.latency
	r.Answered(60_000, name(0), -1, nil)
	if u.latency != before {
		t.Errorf("an answer without a run changed the latency from %.1f to %.1f", before, u.latency)
	}
}

// Fails if an upstream that reports zero load attracts most of the calls while all
// others report a high load.
func TestZeroReportDrawsNoHerd(t *testing.T) {
	r := newTestRouter(10, nil)
	for i := 1; i < 10; i++ {
		r.report(0, i, func(r *gypsumrail.Report) { r.InFlight = 30 })
	}
	r.report(0, 0, func(*gypsumrail.Report) {})
	if shares, _ := r.shares(0, gypsumrail.Choice{}); shares[name(0)] > 0.35 {
		t.Errorf("share %.2f before any call is sent, want at most 3/10 and a margin", shares[name(0)])
	}
	counts, random := map[string]int{}, rand.New(rand.NewPCG(5, 6))
	for range 400 {
		to, _ := r.Choose(0, gypsumrail.Choice{Service: "s", Random: random.Uint64()})
		r.Sent(0, to.Name)
		counts[to.Name]++
	}
	if counts[name(0)] > 80 {
		t.Errorf("%d of 400 outstanding calls, an equal share is 40", counts[name(0)])
	}
}

// Fails if a warm upstream gets a slow start, or if a cold one gets its full share
// at once or no calls at all.
func TestSlowStart(t *testing.T) {
	const startMs = 1_000_000
	at := func(ms int) gypsumrail.Incarnation { return gypsumrail.Incarnation(startMs+ms) << 20 }
	tests := []struct {
		name string
		self gypsumrail.Incarnation
		cold func(r *Router) // may make u000 cold at 20 s
		want bool
	}{
		{"new incarnation in the list", 0, func(r *Router) {
			r.SetUpstreams(20_000, "s", testUpstreams(6, func(i int, u *gypsumrail.Upstream) { u.Instance.Incarnation += gypsumrail.Incarnation(max(1-i, 0)) }))
		}, true},
		{"new incarnation in a report", 0, func(r *Router) {
			r.Answered(20_000, name(0), 20, &gypsumrail.Report{Instance: name(0), Incarnation: 9, Limit: 40})
		}, true},
		{"new name", 0, func(r *Router) {
			r.SetUpstreams(20_000, "s", testUpstreams(6, nil)[1:])
			r.SetUpstreams(20_000, "s", testUpstreams(6, nil))
		}, true},
		{"same list", 0, func(r *Router) { r.SetUpstreams(20_000, "s", testUpstreams(6, nil)) }, false},
		{"new name that started long ago", at(0), func(r *Router) {
			r.SetUpstreams(20_000, "s", testUpstreams(6, nil)[1:])
			r.SetUpstreams(20_000, "s", testUpstreams(6, func(_ int, u *gypsumrail.Upstream) { u.Instance.Incarnation = at(-60_000) }))
		}, false},
		{"new name that started lately", at(0), func(r *Router) {
			r.SetUpstreams(20_000, "s", testUpstreams(6, nil)[1:])
			r.SetUpstreams(20_000, "s", testUpstreams(6, func(i int, u *gypsumrail.Upstream) {
				if i == 0 {
					u.Instance.Incarnation = at(90_000) // the clock of its host is ahead
				}
			}))
		}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := &testRouter{Router: New(gypsumrail.Instance{Zone: "a", Incarnation: test.self}, Settings{Tuning: func(string) Tuning {
				return Tuning{ColdStart: 4 * gypsumrail.Second}
			}})}
			r.SetUpstreams(0, "s", testUpstreams(6, nil))
			test.cold(r.Router)
			share := func(now gypsumrail.Millis, own, others int) float64 { // own: calls outstanding at u000, others: at each other
				for i := range 6 {
					r.upstreams[name(i)].outstanding = others
				}
				r.upstreams[name(0)].outstanding = own
				shares, _ := r.shares(now, gypsumrail.Choice{})
				return shares[name(0)]
			}
			// At equal load the fair share is 1/6. If u000 is warm and idle and the
			// others are loaded, it is chosen whenever it is a candidate: in half of
			// the choices.
			even, idle, half := share(20_000, 10, 10), share(20_000, 0, 30), share(22_000, 0, 30)
			if cold := even == 0 && idle < 0.1 && half > 0.15 && half < 0.35; cold != test.want {
				t.Errorf("shares %.2f at equal load, %.2f idle, %.2f after half of the cold start; cold is %v", even, idle, half, test.want)
			}
			if even, idle := share(24_000, 10, 10), share(24_000, 0, 30); even < 0.1 || idle < 0.45 {
				t.Errorf("shares %.2f at equal load and %.2f idle after the cold start", even, idle)
			}
		})
	}
}

// One of two upstreams becomes unreachable while the other drains because its node
// restarts. Fails if no upstream is chosen, although the draining one still serves
// all calls that it gets until its drain ends.
func TestLeavingServesWhileOtherIsLost(t *testing.T) {
	r := &testRouter{Router: New(gypsumrail.Instance{Zone: "a"}, Settings{LeavingTime: 2000, ProbeAfter: 100})}
	r.SetUpstreams(0, "s", testUpstreams(2, nil))
	r.report(0, 0, func(report *gypsumrail.Report) { report.Leaving = true })
	if got := r.chosen(10, gypsumrail.Choice{}); got != "[1]" {
		t.Fatalf("chosen while both are reachable: %s", got)
	}
	r.Sent(10, name(1))
	if probes := r.DueProbes(1000, nil); len(probes) != 1 || probes[0].Name != name(1) {
		t.Fatalf("probed: %v", probes)
	}
	if !r.ProbeFailed(1500, name(1)) {
		t.Fatal("ProbeFailed: upstream u001 did not become lost")
	}
	if got := r.chosen(1500, gypsumrail.Choice{}); got != "[0]" {
		t.Errorf("chosen while one is lost: %s", got)
	}
	r.NodeAnswered(1600, name(1))
	if got := r.chosen(1600, gypsumrail.Choice{}); got != "[1]" {
		t.Errorf("chosen once it is back: %s", got)
	}
}

// A target hangs while its node still answers. Fails if the interval between
// probes of the node does not grow, which would add up over all senders.
func TestQuestionsToHungTarget(t *testing.T) {
	r := &testRouter{Router: New(gypsumrail.Instance{Zone: "a"}, Settings{ProbeAfter: 100})}
	r.SetUpstreams(0, "s", testUpstreams(2, nil))
	var probed []gypsumrail.Millis
	for now := gypsumrail.Millis(1000); now < 21_000; now += 10 {
		r.Sent(now, name(1))
		if probes := r.DueProbes(now, nil); len(probes) > 0 {
			probed = append(probed, now)
			if r.NodeAnswered(now, name(1)) {
				t.Fatal("NodeAnswered: upstream u001 counts as lost although its node answers")
			}
		}
	}
	// The first probe follows 100 ms of silence. The intervals then double from 1 s to 8 s.
	if diff := cmp.Diff([]gypsumrail.Millis{1110, 2110, 4110, 8110, 16_110}, probed); diff != "" {
		t.Errorf("probed at: %s", diff)
	}
	r.report(21_000, 1, func(*gypsumrail.Report) {})
	r.Sent(21_010, name(1))
	if probes := r.DueProbes(22_000, nil); len(probes) != 1 {
		t.Errorf("probed after an answer: %v", probes)
	}
}
