package route

import (
	"testing"

	"github.com/gypsumrail/gypsumrail"
)

// zoned returns a router of zone a with an upstream in it and one in zone b, both
// with four slots and a run time of 100 ms.
func zoned(settings Settings) *Router {
	r := New(gypsumrail.Instance{Zone: "a"}, settings)
	var list []gypsumrail.Upstream
	for _, zone := range []string{"a", "b"} {
		list = append(list, gypsumrail.Upstream{
			Instance: gypsumrail.Instance{Name: zone, Zone: zone, State: gypsumrail.Live}, Slots: 4,
		})
	}
	r.SetUpstreams(0, "s", list)
	for _, zone := range []string{"a", "b"} {
		r.Sent(0, zone)
		r.Answered(100, zone, 100, &gypsumrail.Report{Instance: zone, Sequence: 1, Limit: 4})
	}
	return r
}

func chosen(r *Router, now gypsumrail.Millis) string {
	to, reason := r.Choose(now, gypsumrail.Choice{Service: "s", Level: gypsumrail.LevelMax - 1, Random: 7})
	if reason != gypsumrail.ReasonNone {
		return string(reason)
	}
	return to.Name
}

// Guards against calls that leave their zone for a small gain, and against calls
// that queue in it while another zone has free slots.
func TestZoneFactor(t *testing.T) {
	r := zoned(Settings{ZoneFactor: 5})
	for outstanding := range 4 {
		if got := chosen(r, 110); got != "a" {
			t.Errorf("with %d calls at the own zone's upstream a call goes to %s", outstanding, got)
		}
		r.Sent(110, "a")
	}
	if got := chosen(r, 110); got != "b" {
		t.Errorf("with all own slots taken a call goes to %s", got)
	}
	for range 4 {
		r.Sent(110, "b")
	}
	if got := chosen(r, 110); got != "a" {
		t.Errorf("with all slots taken in both zones a call goes to %s", got)
	}
}

// Guards against calls to an address that another instance has, to a node that no
// connection can be opened to, and to one that drains, and against leaving these
// out for longer than they are away.
func TestAwayForAWhile(t *testing.T) {
	tests := []struct {
		name string
		end  func(r *Router)
		back gypsumrail.Millis
	}{
		{"misdirected", func(r *Router) { r.Failed(200, "a", gypsumrail.ReasonMisdirected) }, 200 + ejectGone},
		{"no connection", func(r *Router) { r.Failed(200, "a", gypsumrail.ReasonConnect) }, 200 + ejectFirst},
		{"draining node", func(r *Router) {
			r.Answered(200, "a", -1, &gypsumrail.Report{Instance: "a", Sequence: 2, Limit: 4, Leaving: true})
		}, 200 + 2000},
	}
	for _, test := range tests {
		r := zoned(Settings{LeavingTime: 2000})
		r.Sent(150, "a")
		test.end(r)
		if got := chosen(r, test.back-1); got != "b" {
			t.Errorf("%s: before the time is over a call goes to %s", test.name, got)
		}
		if got := chosen(r, test.back); got != "a" {
			t.Errorf("%s: after that a call goes to %s", test.name, got)
		}
	}
}
