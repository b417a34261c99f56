package route

import (
	"testing"

	"github.com/gypsumrail/gypsumrail"
)

// Fails if calls queue at an upstream of the own zone whose target states a low rate
// although it has free slots, while the other zone has room, or if the limit outlives
// the statement. The load is a surge on a zone of which one target asks for relief.
func TestStatedRateMovesCalls(t *testing.T) {
	r := newZoneRouter(Settings{ZoneFactor: 5})
	r.Sent(100, "a")
	r.Answered(200, "a", 100, &gypsumrail.Report{Instance: "a", Sequence: 2, Limit: 4, RateLimit: 20})
	if got := r.RateLimit(200, "a"); got != 20 {
		t.Errorf("the known rate limit is %g, want 20", got)
	}
	// At 20 calls a second of 100 ms each, two run at once.
	for outstanding, want := range []string{"a", "a", "b"} {
		got := chooseName(r, 210)
		if got != want {
			t.Errorf("with %d calls at the limited upstream a call goes to %s, want %s", outstanding, got, want)
		}
		r.Sent(210, got)
	}
	r.Answered(310, "a", 100, &gypsumrail.Report{Instance: "a", Sequence: 3, Limit: 4})
	if got := chooseName(r, 310); got != "a" {
		t.Errorf("without a limit a call goes to %s, want a", got)
	}
	if got := r.RateLimit(310, "a"); got != 0 {
		t.Errorf("the known rate limit is %g, want none", got)
	}
	r.Answered(320, "a", 100, &gypsumrail.Report{Instance: "a", Sequence: 4, Limit: 4, RateLimit: 20})
	if got := r.RateLimit(320+rateMaxAge, "a"); got != 0 {
		t.Errorf("after %d ms the known rate limit is %g, want none", rateMaxAge, got)
	}
}

// Guards against a sender that ignores the reports of a restarted node, whose sequence
// numbers begin anew, for as long as the node had run before: its load, its threshold, and
// the rate limit that its target states. A report that was overtaken is still ignored.
func TestReportsAfterRestartOfNode(t *testing.T) {
	r := newTestRouter(1, nil)
	r.report(0, 0, func(r *gypsumrail.Report) { r.Sequence, r.RateLimit = 5000, 20 })
	r.report(reportMaxAge-1, 0, func(r *gypsumrail.Report) { r.Sequence = 4999 })
	if got := r.RateLimit(reportMaxAge-1, name(0)); got != 20 {
		t.Errorf("after a report that was overtaken the rate limit is %g, want 20", got)
	}
	r.report(reportMaxAge, 0, func(r *gypsumrail.Report) { r.Sequence = 5000 }) // of a node that hangs
	if got := r.RateLimit(reportMaxAge, name(0)); got != 20 {
		t.Errorf("after the same report again the rate limit is %g, want 20", got)
	}
	r.report(reportMaxAge, 0, func(r *gypsumrail.Report) { r.Sequence, r.RateLimit = 1, 7 })
	if got := r.RateLimit(reportMaxAge, name(0)); got != 7 {
		t.Errorf("after a restart of the node the rate limit is %g, want 7", got)
	}
}
