package core_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/core"
	"github.com/gypsumrail/gypsumrail/internal/node/setup"
	"github.com/gypsumrail/gypsumrail/member"
	"github.com/gypsumrail/gypsumrail/route"
)

// cutLoad drives a node that sends calls every 10 ms to the upstreams of two
// zones, each of which answers after 30 ms unless its zone is cut off. A
// control message to a zone that is cut off fails after 500 ms.
type cutLoad struct {
	t     *testing.T
	node  *core.Node
	now   gypsumrail.Millis
	cut   map[string]bool // by zone
	later map[gypsumrail.Millis][]*gypsumrail.Event
	next  gypsumrail.CallID
	class string

	sent    map[string]int // by zone, of the current phase
	refused map[string]int // by outcome and reason, of the current phase
	served  int
	waited  gypsumrail.Millis // longest time to an answer or refusal, of the current phase
	began   map[gypsumrail.CallID]gypsumrail.Millis
}

func newCutLoad(t *testing.T, class string) *cutLoad {
	self := gypsumrail.Instance{Name: "in", Service: "front", Zone: "a", Address: "127.0.0.1:1", State: gypsumrail.Live, Slots: 9}
	parts := setup.New(self, setup.Settings{Route: route.Settings{QuietAfter: 100}})
	parts.Directory = member.NewListed(self)
	l := &cutLoad{
		t: t, class: class, cut: map[string]bool{}, later: map[gypsumrail.Millis][]*gypsumrail.Event{}, next: 1,
		began: map[gypsumrail.CallID]gypsumrail.Millis{},
		node:  core.New(core.Settings{GossipEvery: -1, GossipAway: -1, FreeRefusals: true}, parts),
	}
	instances := []gypsumrail.Instance{self}
	for i, zone := range []string{"b", "b", "c", "c"} {
		instances = append(instances, gypsumrail.Instance{
			Name: fmt.Sprintf("%s-%d", zone, i), Service: "deep", Zone: zone, Address: fmt.Sprintf("127.0.0.2:%d", i+1), State: gypsumrail.Live, Slots: 9,
		})
	}
	l.step(&gypsumrail.Event{Kind: gypsumrail.InstancesRead, Instances: instances, Value: gypsumrail.ValueVersion{Name: gypsumrail.ValueInstances, Revision: 1}})
	deep := func(name string, repeatable bool) *gypsumrail.Class {
		return &gypsumrail.Class{
			Name: name, Service: "deep", Uses: []string{"deep"}, Importance: 5, Repeatable: repeatable, Unkeyed: !repeatable, Deadline: 2000,
			Timeout: 800, AttemptsMax: 2, Route: gypsumrail.Route{Host: "h", Prefix: "/" + name + "/"},
		}
	}
	l.step(&gypsumrail.Event{Kind: gypsumrail.RecordsRead, Value: gypsumrail.ValueVersion{Name: gypsumrail.ValueRecords, Revision: 1}, Records: &gypsumrail.Records{
		Revision: 1, Services: map[string]*gypsumrail.Service{"front": {Name: "front"}, "deep": {Name: "deep"}},
		Classes: map[string]*gypsumrail.Class{"read": deep("read", true), "order": deep("order", false)},
	}})
	return l
}

func (l *cutLoad) at(delay gypsumrail.Millis, e *gypsumrail.Event) {
	l.later[l.now+delay] = append(l.later[l.now+delay], e)
}

func (l *cutLoad) step(e *gypsumrail.Event) {
	e.At, e.Random = l.now, uint64(l.now)*7919+uint64(l.next)
	for _, effect := range l.node.Step(e) {
		switch effect.Kind {
		case gypsumrail.Forward:
			l.sent[effect.To.Zone]++
			if !l.cut[effect.To.Zone] {
				l.at(30, &gypsumrail.Event{
					Kind: gypsumrail.AttemptAnswered, Call: effect.Call, Attempt: effect.Attempt, Peer: effect.To,
					Result: &gypsumrail.Result{Outcome: gypsumrail.Ran, Status: 200},
				})
			}
		case gypsumrail.SendExchange:
			kind, delay := gypsumrail.Exchanged, gypsumrail.Millis(2)
			if l.cut[effect.To.Zone] {
				kind, delay = gypsumrail.PeerFailed, 500
			}
			l.at(delay, &gypsumrail.Event{Kind: kind, Peer: effect.To, Exchange: &gypsumrail.Exchange{From: effect.To, Answer: true}})
		case gypsumrail.Answer, gypsumrail.Refuse:
			l.waited = max(l.waited, l.now-l.began[effect.Call])
			if effect.Kind == gypsumrail.Answer {
				l.served++
				l.at(0, &gypsumrail.Event{Kind: gypsumrail.AnswerDone, Call: effect.Call, Result: &gypsumrail.Result{Outcome: gypsumrail.Ran}})
			} else {
				l.refused[string(effect.Outcome)+" "+string(effect.Reason)]++
			}
		}
	}
}

// run plays a phase.
func (l *cutLoad) run(length gypsumrail.Millis) {
	l.sent, l.refused, l.served, l.waited = map[string]int{}, map[string]int{}, 0, 0
	for end := l.now + length; l.now < end; l.now++ {
		for events := l.later[l.now]; len(events) > 0; events = l.later[l.now] {
			l.later[l.now] = events[1:]
			l.step(events[0])
		}
		delete(l.later, l.now)
		if l.now%10 != 0 {
			continue
		}
		l.step(&gypsumrail.Event{Kind: gypsumrail.Tick})
		l.next++
		l.began[l.next] = l.now
		l.step(&gypsumrail.Event{Kind: gypsumrail.CallArrived, Call: l.next, Arrival: &gypsumrail.Arrival{
			Origin: gypsumrail.FromCaller, Class: l.class, Request: fmt.Sprint(l.next), Attempt: 1,
		}})
	}
}

// Pattern: a zone is cut off at full load. Guards against calls that go to a zone
// which gives no sign of life, one after the other until each times out.
func TestZoneCutOff(t *testing.T) {
	l := newCutLoad(t, "read")
	l.run(2000)
	if l.sent["b"] < 50 || l.sent["c"] < 50 || len(l.refused) > 0 {
		t.Fatalf("on a calm day, %v were sent and %v refused", l.sent, l.refused)
	}
	l.cut["b"] = true
	l.run(1000) // detection: at most 200 ms of silence, a tick and 500 ms for the question
	l.run(3000)
	if diff := cmp.Diff(map[string]int{"c": 300}, l.sent); diff != "" {
		t.Errorf("sent a second after the cut: %s", diff)
	}
	if len(l.refused) > 0 || l.waited > 100 {
		t.Errorf("%v were refused, and callers waited up to %d ms", l.refused, l.waited)
	}
	l.cut["b"] = false
	l.run(1000)
	l.run(1000)
	if l.sent["b"] < 25 {
		t.Errorf("a second after the cut ended, %v were sent", l.sent)
	}
}

// Pattern: a zone is cut off at full load. Guards against repeatable calls that
// wait out their time at an upstream that is known to be out of reach.
func TestCallsLeaveSilentUpstream(t *testing.T) {
	l := newCutLoad(t, "read")
	l.run(2000)
	l.cut["b"] = true
	const length = 850
	l.run(length)
	if again := l.sent["b"] + l.sent["c"] - length/10; again < 2 {
		t.Errorf("%d calls were sent again", again)
	}
}

// Pattern: the own zone is cut off from all upstreams. Guards against calls of
// which nobody can say whether they ran, although it is known that no upstream
// can be reached, and against callers that wait for that.
func TestAllUpstreamsCutOff(t *testing.T) {
	for _, class := range []string{"read", "order"} {
		l := newCutLoad(t, class)
		l.run(2000)
		l.cut["b"], l.cut["c"] = true, true
		l.run(1800)
		l.run(3000)
		if diff := cmp.Diff(map[string]int{"NotRun NoUpstream": 300}, l.refused); diff != "" {
			t.Errorf("%s: refused after the cut was noticed: %s", class, diff)
		}
		if l.waited > 0 {
			t.Errorf("%s: callers waited up to %d ms", class, l.waited)
		}
		l.cut["b"], l.cut["c"] = false, false
		l.run(1000)
		l.run(1000)
		if l.served < 90 {
			t.Errorf("%s: a second after the cut ended, %d of 100 were served, %v refused", class, l.served, l.refused)
		}
	}
}

// Pattern: a class becomes slow for all its upstreams. Guards against upstreams
// that are taken for lost because their answers take long: their nodes answer.
func TestSlowUpstreamsStay(t *testing.T) {
	l := newCutLoad(t, "order")
	l.run(2000)
	l.cut["b"], l.cut["c"] = true, true
	l.run(150) // no answers, and no question has failed yet
	l.cut["b"], l.cut["c"] = false, false
	l.run(1000)
	if l.refused["NotRun NoUpstream"] > 0 || l.sent["b"] < 25 {
		t.Errorf("%v were sent, %v refused", l.sent, l.refused)
	}
}
