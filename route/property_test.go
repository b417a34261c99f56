package route

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/gypsumrail/gypsumrail"
)

// expectedState is the state of one upstream in a simple reference model of the
// router.
type expectedState struct {
	listed, leaving, suspect, rush bool
	incarnation                    gypsumrail.Incarnation
	outstanding                    int
	sequence                       uint64
	threshold                      gypsumrail.Level
	thresholdUntil                 gypsumrail.Millis
}

func (f expectedState) eligible(now gypsumrail.Millis, choice gypsumrail.Choice, name string) bool {
	return f.listed && !f.leaving && (len(choice.Capabilities) == 0 || f.rush) &&
		(now >= f.thresholdUntil || f.threshold <= choice.Level) && !slices.Contains(choice.Exclude, name)
}

// Compares the router with a reference model over random sequences of lists,
// choices, answers and silent connections. Fails if the chosen upstream is leaving,
// excluded, without a needed capability or refuses the level; if a suspect one or
// none is chosen while another is usable; if outstanding calls are counted wrongly;
// if unused upstreams are not deleted; or if a choice depends on the order of the
// list or of a map. Failures that eject are covered by TestEligible instead.
func TestRouterMatchesFacts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		self := gypsumrail.Instance{Zone: "a"}
		r, mirror := New(self, Settings{}), New(self, Settings{})
		known, now, sent := map[string]*expectedState{}, gypsumrail.Millis(0), []string{}
		number := rapid.IntRange(0, 6)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += gypsumrail.Millis(rapid.IntRange(0, 700).Draw(t, "step"))
			i := number.Draw(t, "upstream")
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				var entries []gypsumrail.Upstream
				for j := range 7 {
					f := known[name(j)]
					if f == nil {
						f = &expectedState{}
					}
					f.listed = rapid.IntRange(0, 3).Draw(t, "listed") > 0
					if !f.listed {
						if f.outstanding == 0 {
							delete(known, name(j))
						}
						continue
					}
					known[name(j)] = f
					state := rapid.SampledFrom([]gypsumrail.State{gypsumrail.Live, gypsumrail.Live, gypsumrail.Suspect, gypsumrail.Leaving}).Draw(t, "state")
					incarnation := gypsumrail.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation"))
					if incarnation > f.incarnation {
						*f = expectedState{listed: true, incarnation: incarnation, outstanding: f.outstanding}
					}
					f.rush = rapid.Bool().Draw(t, "rush")
					f.suspect = incarnation == f.incarnation && state == gypsumrail.Suspect
					f.leaving = f.leaving || incarnation == f.incarnation && state == gypsumrail.Leaving
					entry := gypsumrail.Upstream{Slots: 4, Instance: gypsumrail.Instance{
						Name: name(j), Zone: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"), State: state, Incarnation: incarnation,
					}}
					if f.rush {
						entry.Capabilities = []string{"rush"}
					}
					entries = append(entries, entry)
				}
				r.SetUpstreams(now, "s", entries)
				slices.Reverse(entries)
				mirror.SetUpstreams(now, "s", entries)
			case 1, 2:
				choice := gypsumrail.Choice{Service: "s", Level: gypsumrail.Level(rapid.IntRange(0, 3).Draw(t, "level")), Random: rapid.Uint64().Draw(t, "random")}
				if rapid.Bool().Draw(t, "needs rush") {
					choice.Capabilities = []string{"rush"}
				}
				for range rapid.IntRange(0, 2).Draw(t, "excluded") {
					choice.Exclude = append(choice.Exclude, name(number.Draw(t, "exclude")))
				}
				to, reason := r.Choose(now, choice)
				again, _ := mirror.Choose(now, choice)
				if diff := cmp.Diff(to, again); diff != "" {
					t.Fatalf("two routers with the same events differ: %s", diff)
				}
				some, live := false, false
				for n, f := range known {
					some = some || f.eligible(now, choice, n)
					live = live || f.eligible(now, choice, n) && !f.suspect
				}
				if reason != gypsumrail.ReasonNone {
					if some {
						t.Fatalf("%+v: %s, but there is a usable upstream", choice, reason)
					}
					continue
				}
				if f := known[to.Name]; f == nil || !f.eligible(now, choice, to.Name) || live && f.suspect {
					t.Fatalf("%+v: chose %+v, known as %+v", choice, to, f)
				}
				r.Sent(now, to.Name)
				mirror.Sent(now, to.Name)
				known[to.Name].outstanding++
				sent = append(sent, to.Name)
			case 3, 4:
				if len(sent) == 0 {
					continue
				}
				i %= len(sent)
				from := sent[i]
				sent = slices.Delete(sent, i, i+1)
				f := known[from]
				f.outstanding--
				if rapid.IntRange(0, 3).Draw(t, "silent") == 0 {
					r.Failed(now, from, gypsumrail.ReasonSilent)
					mirror.Failed(now, from, gypsumrail.ReasonSilent)
				} else {
					report := gypsumrail.Report{
						Instance: from, Incarnation: gypsumrail.Incarnation(rapid.IntRange(1, 3).Draw(t, "reported incarnation")),
						Sequence: rapid.Uint64Range(0, 5).Draw(t, "sequence"), Limit: rapid.IntRange(-1, 9).Draw(t, "limit"),
						InFlight: rapid.IntRange(-5, 50).Draw(t, "in flight"), Queued: rapid.IntRange(-5, 50).Draw(t, "queued"),
						Threshold: gypsumrail.Level(rapid.IntRange(0, 4).Draw(t, "threshold")), Leaving: rapid.IntRange(0, 9).Draw(t, "leaves") == 0,
					}
					latency := gypsumrail.Millis(rapid.IntRange(-1, 50).Draw(t, "latency"))
					r.Answered(now, from, latency, &report)
					mirror.Answered(now, from, latency, &report)
					if report.Incarnation > f.incarnation {
						*f = expectedState{listed: f.listed, suspect: f.suspect, rush: f.rush, outstanding: f.outstanding, incarnation: report.Incarnation}
					}
					if report.Incarnation == f.incarnation {
						f.leaving = f.leaving || report.Leaving
						restarted := report.Sequence < f.sequence && now >= f.thresholdUntil
						if f.thresholdUntil == 0 || report.Sequence > f.sequence || restarted {
							f.sequence, f.threshold, f.thresholdUntil = report.Sequence, report.Threshold, now+gypsumrail.Second
						}
					}
				}
				if !f.listed && f.outstanding == 0 {
					delete(known, from)
				}
			}
			if len(r.upstreams) != len(known) {
				t.Fatalf("%d upstreams are kept, want %d", len(r.upstreams), len(known))
			}
			for _, e := range r.Explain(now, gypsumrail.Choice{Service: "s"}) {
				if e.Outstanding != known[e.Instance].outstanding || e.Limit < 1 || e.Expected < 0 {
					t.Fatalf("%+v, want %d outstanding", e, known[e.Instance].outstanding)
				}
			}
		}
	})
}

// Fails if equal upstreams do not get about equal shares, for any number of them
// and with unusable upstreams between them.
func TestEqualShares(t *testing.T) {
	for _, n := range []int{1, 2, 3, 4, 10, 19} {
		for _, every := range []int{1, 2, 3} { // one in this many upstreams is not leaving
			t.Run(fmt.Sprintf("%d of %d", (n+every-1)/every, n), func(t *testing.T) {
				r := newTestRouter(n, func(i int, u *gypsumrail.Upstream) {
					if i%every != 0 {
						u.Instance.State = gypsumrail.Leaving
					}
				})
				shares, _ := r.shares(0, gypsumrail.Choice{})
				fair := 1 / float64((n+every-1)/every)
				for i := 0; i < n; i += every {
					if got := shares[name(i)]; got < fair-0.05 || got > fair+0.05 {
						t.Errorf("upstream %d has a share of %.3f, want about %.3f", i, got, fair)
					}
				}
			})
		}
	}
}
