package core_test

import (
	"fmt"
	"testing"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/core"
	"github.com/gypsumrail/gypsumrail/internal/node/setup"
	"github.com/gypsumrail/gypsumrail/member"
)

// plainNode returns a node of service front that knows the given class, as class c,
// and five upstreams of service back on other nodes.
func plainNode(t *testing.T, class gypsumrail.Class) *core.Node {
	t.Helper()
	self := gypsumrail.Instance{Name: "front-1", Service: "front", Zone: "z", Address: "127.0.0.1:1", State: gypsumrail.Live}
	n := setup.NewNode(self, core.Settings{GossipEvery: -1, FreeRefusals: true}, setup.Settings{})
	list := []gypsumrail.Instance{self}
	for _, name := range []string{"back-1", "back-2", "back-3", "back-4", "back-5"} {
		list = append(list, gypsumrail.Instance{Name: name, Service: "back", Zone: "z", Address: "127.0.0.1:9" + name[5:], State: gypsumrail.Live, Slots: 10})
	}
	class.Name = "c"
	class.Deadline = gypsumrail.Second
	records := &gypsumrail.Records{
		Revision: 1,
		Services: map[string]*gypsumrail.Service{"front": {Name: "front"}, "back": {Name: "back"}, "spare": {Name: "spare"}},
		Classes:  map[string]*gypsumrail.Class{"c": &class},
	}
	n.Step(&gypsumrail.Event{Kind: gypsumrail.InstancesRead, Instances: list, Value: gypsumrail.ValueVersion{Name: gypsumrail.ValueInstances, Revision: 1}})
	n.Step(&gypsumrail.Event{Kind: gypsumrail.RecordsRead, Records: records, Value: gypsumrail.ValueVersion{Name: gypsumrail.ValueRecords, Revision: 1}})
	return n
}

// effectOf returns the first effect of one of the kinds, or an empty effect.
func effectOf(effects []gypsumrail.Effect, kinds ...gypsumrail.EffectKind) gypsumrail.Effect {
	for _, e := range effects {
		for _, kind := range kinds {
			if e.Kind == kind {
				return e
			}
		}
	}
	return gypsumrail.Effect{}
}

// arrive sends a call of class c from an external caller to the node, and returns
// the Forward or Refuse effect.
func arrive(n *core.Node, call gypsumrail.CallID, at gypsumrail.Millis) gypsumrail.Effect {
	return effectOf(n.Step(&gypsumrail.Event{
		Kind: gypsumrail.CallArrived, Call: call, At: at, Random: uint64(call) * 0x9E3779B97F4A7C15,
		Arrival: &gypsumrail.Arrival{Origin: gypsumrail.FromCaller, Class: "c", Request: "r", Attempt: 1, Remaining: 5 * gypsumrail.Second},
	}), gypsumrail.Forward, gypsumrail.Refuse)
}

// A non-repeatable call without a key is retried only if its attempt did not run. If
// the attempt may have run, the call ends with outcome Unknown.
func TestUnkeyed(t *testing.T) {
	tests := []struct {
		name    string
		result  gypsumrail.Result
		retried bool
		want    gypsumrail.Outcome
	}{
		{"lost answer", gypsumrail.Result{Outcome: gypsumrail.Unknown, Reason: gypsumrail.ReasonBroken}, false, gypsumrail.Unknown},
		{"silent connection", gypsumrail.Result{Outcome: gypsumrail.Unknown, Reason: gypsumrail.ReasonSilent}, false, gypsumrail.Unknown},
		{"nothing sent", gypsumrail.Result{Outcome: gypsumrail.NotRun, Reason: gypsumrail.ReasonConnect}, true, gypsumrail.NotRun},
		{"refused by the target", gypsumrail.Result{Outcome: gypsumrail.NotRun, Reason: gypsumrail.ReasonTargetBusy}, true, gypsumrail.NotRun},
		{"another instance", gypsumrail.Result{Outcome: gypsumrail.NotRun, Reason: gypsumrail.ReasonMisdirected}, true, gypsumrail.NotRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			n := plainNode(t, gypsumrail.Class{Service: "back", Unkeyed: true, Allowance: 1})
			if e := arrive(n, 1, 10); e.Kind != gypsumrail.Forward || e.Key != "" {
				t.Fatalf("got %+v, want the call forwarded without a key", e)
			}
			e := effectOf(n.Step(&gypsumrail.Event{
				Kind: gypsumrail.AttemptFailed, Call: 1, Attempt: 1, At: 20, Result: &test.result,
			}), gypsumrail.Forward, gypsumrail.Refuse)
			if retried := e.Kind == gypsumrail.Forward; retried != test.retried || !retried && e.Outcome != test.want {
				t.Errorf("got %+v, want retried %t, else outcome %s", e, test.retried, test.want)
			}
		})
	}
}

// Refusals by nodes do not use up the retry budget, which bounds the load of targets: no
// target is reached by a refusal, nor if the node cannot connect to its target.
// A call that gets only refusals ends after four upstreams and does not visit the
// whole service.
func TestFreeRefusals(t *testing.T) {
	for _, reason := range []gypsumrail.Reason{gypsumrail.ReasonDraining, gypsumrail.ReasonTargetFailed} {
		t.Run(string(reason), func(t *testing.T) { testFreeRefusals(t, reason) })
	}
}

func testFreeRefusals(t *testing.T, reason gypsumrail.Reason) {
	t.Helper()
	n := plainNode(t, gypsumrail.Class{Service: "back", Unkeyed: true})
	e := arrive(n, 1, 10)
	tried := map[string]bool{}
	for attempt := 1; e.Kind == gypsumrail.Forward; attempt++ {
		if tried[e.To.Name] {
			t.Fatalf("%s was tried twice", e.To.Name)
		}
		tried[e.To.Name] = true
		e = effectOf(n.Step(&gypsumrail.Event{
			Kind: gypsumrail.AttemptAnswered, Call: 1, Attempt: attempt, At: 20,
			Result: &gypsumrail.Result{Outcome: gypsumrail.NotRun, Reason: reason},
		}), gypsumrail.Forward, gypsumrail.Refuse)
	}
	if len(tried) != 4 || e.Outcome != gypsumrail.NotRun {
		t.Errorf("%d upstreams were tried, want 4, then %+v", len(tried), e)
	}
}

// The deadline of a request is the earlier of the client's and the class's timeout.
func TestClassTimeout(t *testing.T) {
	for _, test := range []struct{ timeout, want gypsumrail.Millis }{{800, 810}, {0, 5010}, {9000, 5010}} {
		n := plainNode(t, gypsumrail.Class{Service: "back", Unkeyed: true, Timeout: test.timeout})
		if e := arrive(n, 1, 10); e.Deadline != test.want {
			t.Errorf("timeout %d: deadline %d, want %d", test.timeout, e.Deadline, test.want)
		}
	}
}

// A split matches the operators' weights even over a few calls, and calls for a part
// without instances are refused, not moved to another part.
func TestSplit(t *testing.T) {
	n := plainNode(t, gypsumrail.Class{Unkeyed: true, Split: []gypsumrail.Part{{Service: "back", Weight: 90}, {Service: "spare", Weight: 10}}})
	const calls = 200
	refused := 0
	for call := range gypsumrail.CallID(calls) {
		if e := arrive(n, call+1, 10); e.Kind == gypsumrail.Refuse {
			refused++
			if e.Reason != gypsumrail.ReasonNoUpstream || e.Outcome != gypsumrail.NotRun {
				t.Fatalf("got %+v, want a refusal for NoUpstream with outcome NotRun", e)
			}
		}
	}
	if refused < calls/10-1 || refused > calls/10+1 {
		t.Errorf("%d of %d calls went to the part with a tenth of the weight, want a tenth, give or take one", refused, calls)
	}
}

// A draining node admits calls that end before the drain, because its callers may have
// no other node. It refuses calls that the end of the drain would cut off.
func TestServeDraining(t *testing.T) {
	self := gypsumrail.Instance{Name: "front-1", Service: "front", Zone: "z", Address: "127.0.0.1:1", State: gypsumrail.Live, Slots: 9}
	parts := setup.New(self, setup.Settings{})
	parts.Directory = member.NewListed(self)
	n := core.New(core.Settings{GossipEvery: -1, ServeDraining: true, DrainMin: 2500, DrainMax: 5500}, parts)
	n.Step(&gypsumrail.Event{Kind: gypsumrail.InstancesRead, Instances: []gypsumrail.Instance{self}, Value: gypsumrail.ValueVersion{Name: gypsumrail.ValueInstances, Revision: 1}})
	n.Step(&gypsumrail.Event{Kind: gypsumrail.RecordsRead, Value: gypsumrail.ValueVersion{Name: gypsumrail.ValueRecords, Revision: 1}, Records: &gypsumrail.Records{
		Revision: 1, Services: map[string]*gypsumrail.Service{"front": {Name: "front"}},
		Classes: map[string]*gypsumrail.Class{"c": {Name: "c", Service: "front", Unkeyed: true, Timeout: 1500}},
	}})
	n.Step(&gypsumrail.Event{Kind: gypsumrail.DrainAsked, At: 10_000})
	for i, test := range []struct {
		at     gypsumrail.Millis
		served bool
	}{{10_000, true}, {13_899, true}, {13_901, false}, {15_499, false}} {
		for j, arrival := range []gypsumrail.Arrival{
			{Origin: gypsumrail.FromCaller, Class: "c", Request: fmt.Sprint(i), Attempt: 1, Remaining: 5000},
			{Origin: gypsumrail.FromPeer, Service: "front", Class: "c", Request: fmt.Sprint("p", i), Attempt: 1, Remaining: 1500, Importance: 5},
		} {
			effects := n.Step(&gypsumrail.Event{Kind: gypsumrail.CallArrived, Call: gypsumrail.CallID(2*i + j + 1), At: test.at, Arrival: &arrival})
			e := effectOf(effects, gypsumrail.RunTarget, gypsumrail.Refuse)
			if served := e.Kind == gypsumrail.RunTarget; served != test.served || !served && (e.Reason != gypsumrail.ReasonDraining || e.RetryAfter == 0) {
				t.Errorf("%v, %d ms after the drain began: got %+v, want served %t, else a refusal for Draining with a delay", arrival.Origin, test.at-10_000, e, test.served)
			}
		}
	}
}
