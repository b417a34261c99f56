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
