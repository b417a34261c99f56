package core_test

import (
	"testing"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/core"
	"github.com/gypsumrail/gypsumrail/internal/node/setup"
)

// ratedTarget drives the node of one target in virtual time. Peers send calls at a steady
// rate, of importance 9 and 3 in turn. The target takes runTime for a call and states a
// rate limit in each answer from statesFrom to statesUntil.
type ratedTarget struct {
	limit                   float64
	offered                 int // calls a second
	statesFrom, statesUntil gypsumrail.Millis

	now      gypsumrail.Millis
	node     *core.Node
	lastCall gypsumrail.CallID
	ends     map[gypsumrail.Millis][]gypsumrail.CallID // calls on the target, by the end of their run
	levels   map[gypsumrail.CallID]gypsumrail.Importance
	starts   []gypsumrail.Millis
	served   map[gypsumrail.Importance]int
	refused  map[gypsumrail.Importance]int
	known    float64 // the rate limit in the node's last report, which the senders send back
}

const ratedRunTime = 120 * gypsumrail.Millis(1)

// boot starts the node without state.
func (r *ratedTarget) boot() {
	self := gypsumrail.Instance{Name: "front-0", Service: "front", Zone: "z0", Address: "127.0.0.1:1", Incarnation: 1 << 20, State: gypsumrail.Live, Slots: 192}
	r.node = setup.NewPlainNode(self, setup.PlainSettings{})
	r.ends = map[gypsumrail.Millis][]gypsumrail.CallID{}
	records := labRecords(192)
	r.step(&gypsumrail.Event{Kind: gypsumrail.RecordsRead, Records: records, Value: gypsumrail.ValueVersion{Name: gypsumrail.ValueRecords, Revision: 1}})
	r.step(&gypsumrail.Event{Kind: gypsumrail.InstancesRead, Instances: []gypsumrail.Instance{self}, Value: gypsumrail.ValueVersion{Name: gypsumrail.ValueInstances, Revision: 1}})
}

func (r *ratedTarget) step(event *gypsumrail.Event) {
	event.At = r.now
	for _, e := range r.node.Step(event) {
		switch e.Kind {
		case gypsumrail.RunTarget:
			r.starts = append(r.starts, r.now)
			r.ends[r.now+ratedRunTime] = append(r.ends[r.now+ratedRunTime], e.Call)
		case gypsumrail.Answer:
			r.known = e.Report.RateLimit
			r.served[r.levels[e.Call]]++
		case gypsumrail.Refuse:
			r.known = e.Report.RateLimit
			r.refused[r.levels[e.Call]]++
		}
	}
}

// run advances the time to an end.
func (r *ratedTarget) run(end gypsumrail.Millis) {
	for ; r.now < end; r.now++ {
		if r.now%10 == 0 {
			r.step(&gypsumrail.Event{Kind: gypsumrail.Tick})
		}
		for _, call := range r.ends[r.now] {
			stated := &gypsumrail.Stated{}
			if r.now >= r.statesFrom && r.now < r.statesUntil {
				stated.RateLimited, stated.RateLimit = true, r.limit
			}
			result := gypsumrail.Result{Outcome: gypsumrail.Ran, Status: 200, Stated: stated}
			r.step(&gypsumrail.Event{Kind: gypsumrail.TargetAnswered, Call: call, Result: &result})
			r.step(&gypsumrail.Event{Kind: gypsumrail.TargetDone, Call: call, Result: &result})
		}
		delete(r.ends, r.now)
		if int(r.now)*r.offered/1000 != int(r.now+1)*r.offered/1000 {
			r.arrive()
		}
	}
}

func (r *ratedTarget) arrive() {
	r.lastCall++
	class, importance := "Read", gypsumrail.Importance(3)
	if r.lastCall%2 == 0 {
		class, importance = "Order", 9
	}
	r.levels[r.lastCall] = importance
	r.step(&gypsumrail.Event{Kind: gypsumrail.CallArrived, Call: r.lastCall, Random: uint64(r.lastCall), Arrival: &gypsumrail.Arrival{
		Origin: gypsumrail.FromPeer, Service: "front", Class: class, Request: string(rune('a' + r.lastCall%26)), Attempt: 1,
		Remaining: 1500, Importance: importance, RateLimit: r.known,
	}})
}

// startedIn returns the most calls that started within span, from a time on.
func (r *ratedTarget) startedIn(span, from gypsumrail.Millis) int {
	most, first := 0, 0
	for i, at := range r.starts {
		if at < from {
			first = i + 1
			continue
		}
		for r.starts[first] <= at-span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// The bounds of the users' rule LIMIT: in any 4 s one and a half times what the stated rate
// allows and 5 calls more.
const (
	ratedSpan  = 4 * gypsumrail.Second
	ratedSlack = 5
)

// Guards against a target that gets more calls than the rate that it states (LIMIT), from
// half a second after its first statement on, also after a restart of its node. The load
// is a steady surge on a target that asks for relief: while it states its rate, the most
// important calls go first, and afterwards all are served again.
func TestStatedRateLimit(t *testing.T) {
	for _, test := range []struct {
		name    string
		limit   float64
		offered int
		restart gypsumrail.Millis // of the node; 0 for none
	}{
		{"half of the load", 40, 80, 0},
		{"more than the most important load", 50, 80, 0},
		{"less than one call a second", 0.3, 80, 0},
		{"nothing", 0, 80, 0},
		{"a restart of the node", 40, 80, 12_000},
		{"a restart at a low rate", 2, 160, 12_000},
		{"more than the load", 500, 80, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := &ratedTarget{
				limit: test.limit, offered: test.offered, statesFrom: 6000, statesUntil: 20_000,
				levels: map[gypsumrail.CallID]gypsumrail.Importance{}, served: map[gypsumrail.Importance]int{}, refused: map[gypsumrail.Importance]int{},
			}
			r.boot()
			if test.restart > 0 {
				r.run(test.restart)
				r.boot()
			}
			r.run(r.statesUntil)
			allowed := int(1.5*test.limit*4) + ratedSlack
			if got := r.startedIn(ratedSpan, r.statesFrom+500); got > allowed {
				t.Errorf("%d calls started in 4 s, want at most %d", got, allowed)
			}
			if perSecond := float64(test.offered) / 2; test.limit > perSecond && test.restart == 0 && r.refused[9] > 0 {
				t.Errorf("%d calls of importance 9 were refused, want none: the target takes all of them", r.refused[9])
			}
			r.run(r.now + 3*gypsumrail.Second)
			clear(r.refused)
			served := r.served[3] + r.served[9]
			r.run(r.now + 2*gypsumrail.Second)
			if got, want := r.served[3]+r.served[9]-served, 2*test.offered-5; got < want || len(r.refused) > 0 {
				t.Errorf("after the last statement %d calls were served and %v refused in 2 s, want at least %d and none", got, r.refused, want)
			}
		})
	}
}
