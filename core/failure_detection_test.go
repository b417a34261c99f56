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

// partitionTest drives a node that forwards a call every 10 ms to upstreams in two
// zones. An upstream answers after 30 ms unless its zone is partitioned. A control
// message to a partitioned zone fails after 500 ms.
type partitionTest struct {
	t           *testing.T
	node        *core.Node
	now         gypsumrail.Millis
	partitioned map[string]bool // by zone
	scheduled   map[gypsumrail.Millis][]*gypsumrail.Event
	next        gypsumrail.CallID
	class       string

	sent        map[string]int    // attempts by zone, in the current phase
	refused     map[string]int    // calls by outcome and reason, in the current phase
	answered    int               // calls, in the current phase
	longestWait gypsumrail.Millis // from arrival to answer or refusal, in the current phase
	arrived     map[gypsumrail.CallID]gypsumrail.Millis
}

func newPartitionTest(t *testing.T, class string) *partitionTest {
	self := gypsumrail.Instance{Name: "in", Service: "front", Zone: "a", Address: "127.0.0.1:1", State: gypsumrail.Live, Slots: 9}
	parts := setup.New(self, setup.Settings{Route: route.Settings{ProbeAfter: 100}})
	parts.Directory = member.NewListed(self)
	l := &partitionTest{
		t: t, class: class, partitioned: map[string]bool{}, scheduled: map[gypsumrail.Millis][]*gypsumrail.Event{}, next: 1,
		arrived: map[gypsumrail.CallID]gypsumrail.Millis{},
		node:    core.New(core.Settings{GossipEvery: -1, GossipAway: -1, FreeRefusals: true}, parts),
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

// schedule adds an event that the node receives after a delay.
func (l *partitionTest) schedule(delay gypsumrail.Millis, e *gypsumrail.Event) {
	l.scheduled[l.now+delay] = append(l.scheduled[l.now+delay], e)
}

// step passes an event to the node now, and schedules the events that its effects
// cause.
func (l *partitionTest) step(e *gypsumrail.Event) {
	e.At, e.Random = l.now, uint64(l.now)*7919+uint64(l.next)
	for _, effect := range l.node.Step(e) {
		switch effect.Kind {
		case gypsumrail.Forward:
			l.sent[effect.To.Zone]++
			if !l.partitioned[effect.To.Zone] {
				l.schedule(30, &gypsumrail.Event{
					Kind: gypsumrail.AttemptAnswered, Call: effect.Call, Attempt: effect.Attempt, Peer: effect.To,
					Result: &gypsumrail.Result{Outcome: gypsumrail.Ran, Status: 200},
				})
			}
		case gypsumrail.SendExchange:
			kind, delay := gypsumrail.Exchanged, gypsumrail.Millis(2)
			if l.partitioned[effect.To.Zone] {
				kind, delay = gypsumrail.PeerFailed, 500
			}
			l.schedule(delay, &gypsumrail.Event{Kind: kind, Peer: effect.To, Exchange: &gypsumrail.Exchange{From: effect.To, Answer: true}})
		case gypsumrail.Answer, gypsumrail.Refuse:
			l.longestWait = max(l.longestWait, l.now-l.arrived[effect.Call])
			if effect.Kind == gypsumrail.Answer {
				l.answered++
				l.schedule(0, &gypsumrail.Event{Kind: gypsumrail.AnswerDone, Call: effect.Call, Result: &gypsumrail.Result{Outcome: gypsumrail.Ran}})
			} else {
				l.refused[string(effect.Outcome)+" "+string(effect.Reason)]++
			}
		}
	}
}

// run starts a new phase and runs it for the given time, with a tick and a new call
// every 10 ms.
func (l *partitionTest) run(length gypsumrail.Millis) {
	l.sent, l.refused, l.answered, l.longestWait = map[string]int{}, map[string]int{}, 0, 0
	for end := l.now + length; l.now < end; l.now++ {
		for events := l.scheduled[l.now]; len(events) > 0; events = l.scheduled[l.now] {
			l.scheduled[l.now] = events[1:]
			l.step(events[0])
		}
		delete(l.scheduled, l.now)
		if l.now%10 != 0 {
			continue
		}
		l.step(&gypsumrail.Event{Kind: gypsumrail.Tick})
		l.next++
		l.arrived[l.next] = l.now
		l.step(&gypsumrail.Event{Kind: gypsumrail.CallArrived, Call: l.next, Arrival: &gypsumrail.Arrival{
			Origin: gypsumrail.FromCaller, Class: l.class, Request: fmt.Sprint(l.next), Attempt: 1,
		}})
	}
}

// A zone is partitioned at full load. After the failure detector marks its
// upstreams as lost, no more calls go there to time out one after the other.
func TestZoneCutOff(t *testing.T) {
	l := newPartitionTest(t, "read")
	l.run(2000)
	if l.sent["b"] < 50 || l.sent["c"] < 50 || len(l.refused) > 0 {
		t.Fatalf("before the partition: attempts by zone %v, refused %v, want at least 50 attempts per zone and no refusal", l.sent, l.refused)
	}
	l.partitioned["b"] = true
	l.run(1000) // detection: at most 200 ms without answers, a tick and 500 ms for the probe
	l.run(3000)
	if diff := cmp.Diff(map[string]int{"c": 300}, l.sent); diff != "" {
		t.Errorf("attempts by zone from one second after the partition (-want +got): %s", diff)
	}
	if len(l.refused) > 0 || l.longestWait > 100 {
		t.Errorf("%v were refused, and callers waited up to %d ms, want no refusal and at most 100 ms", l.refused, l.longestWait)
	}
	l.partitioned["b"] = false
	l.run(1000)
	l.run(1000)
	if l.sent["b"] < 25 {
		t.Errorf("attempts by zone from one second after the partition ended: %v, want at least 25 to b", l.sent)
	}
}

// A zone is partitioned at full load. Repeatable calls that wait for an
// upstream are retried elsewhere when the upstream is marked as lost. They do not wait
// until their deadline.
func TestCallsLeaveSilentUpstream(t *testing.T) {
	l := newPartitionTest(t, "read")
	l.run(2000)
	l.partitioned["b"] = true
	const length = 850
	l.run(length)
	if retries := l.sent["b"] + l.sent["c"] - length/10; retries < 2 {
		t.Errorf("%d calls were retried, want at least 2", retries)
	}
}

// The own zone is partitioned from all upstreams. Once all upstreams are
// marked as lost, calls are refused at once with outcome NotRun. A call that was still
// sent would end with outcome Unknown, after its caller waited.
func TestAllUpstreamsCutOff(t *testing.T) {
	for _, class := range []string{"read", "order"} {
		l := newPartitionTest(t, class)
		l.run(2000)
		l.partitioned["b"], l.partitioned["c"] = true, true
		l.run(1800)
		l.run(3000)
		if diff := cmp.Diff(map[string]int{"NotRun NoUpstream": 300}, l.refused); diff != "" {
			t.Errorf("class %s: refused after the partition was detected (-want +got): %s", class, diff)
		}
		if l.longestWait > 0 {
			t.Errorf("class %s: callers waited up to %d ms, want 0", class, l.longestWait)
		}
		l.partitioned["b"], l.partitioned["c"] = false, false
		l.run(1000)
		l.run(1000)
		if l.answered < 90 {
			t.Errorf("class %s: from one second after the partition ended, %d of 100 calls were answered, want at least 90; refused: %v", class, l.answered, l.refused)
		}
	}
}

// A class becomes slow at all its upstreams. Slow answers alone do not mark
// an upstream as lost, because its node still answers the probes.
func TestSlowUpstreamsStay(t *testing.T) {
	l := newPartitionTest(t, "order")
	l.run(2000)
	l.partitioned["b"], l.partitioned["c"] = true, true
	l.run(150) // no answers, and no probe has failed yet
	l.partitioned["b"], l.partitioned["c"] = false, false
	l.run(1000)
	if l.refused["NotRun NoUpstream"] > 0 || l.sent["b"] < 25 {
		t.Errorf("attempts by zone %v, refused %v; want at least 25 attempts to b and no refusal for NoUpstream", l.sent, l.refused)
	}
}
