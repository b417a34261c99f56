package core_test

import (
	"testing"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/core"
	"github.com/gypsumrail/gypsumrail/internal/node/setup"
)

// Guards against a new node that starts calls before it knows an instance of the
// services below. Such a call fails at its first outgoing call, and a non-repeatable
// one is lost. The node refuses calls of external callers, who can use another node at
// once, and holds forwarded calls, whose refusal would cost the sender a retry. After
// 5 s it serves calls without the list.
func TestNewNodeRunsNothingThatItCannotServe(t *testing.T) {
	const started = gypsumrail.Minute
	self := gypsumrail.Instance{Name: "n", Service: "svc", Zone: "z", Address: "127.0.0.1:1", Incarnation: 1, Version: 1, State: gypsumrail.Live}
	below := gypsumrail.Instance{Name: "b", Service: "below", Zone: "z", Address: "127.0.0.1:2", Incarnation: 1, Version: 1, State: gypsumrail.Live}
	records := &gypsumrail.Records{
		Services: map[string]*gypsumrail.Service{"svc": {Name: "svc", Dependencies: []string{"below"}}, "below": {Name: "below"}},
		Classes: map[string]*gypsumrail.Class{"read": {
			Name: "read", Service: "svc", Uses: []string{"svc", "below"}, Importance: 5, Deadline: gypsumrail.Minute, Repeatable: true,
		}},
	}
	readRecords := func(n *core.Node, at gypsumrail.Millis) {
		n.Step(&gypsumrail.Event{Kind: gypsumrail.RecordsRead, At: at, Value: gypsumrail.ValueVersion{Name: gypsumrail.ValueRecords, Revision: 1}, Records: records})
	}
	readList := func(n *core.Node, at gypsumrail.Millis) {
		n.Step(&gypsumrail.Event{Kind: gypsumrail.InstancesRead, At: at, Value: gypsumrail.ValueVersion{Name: gypsumrail.ValueInstances, Revision: 1}, Instances: []gypsumrail.Instance{self, below}})
	}
	kindOf := func(effects []gypsumrail.Effect) gypsumrail.EffectKind {
		for _, effect := range effects {
			if effect.Kind == gypsumrail.RunTarget || effect.Kind == gypsumrail.Refuse && effect.Outcome == gypsumrail.NotRun {
				return effect.Kind
			}
		}
		return ""
	}
	tests := []struct {
		name          string
		records, list bool
		after         gypsumrail.Millis
		caller, peer  gypsumrail.EffectKind // immediate effect by origin of the call
	}{
		{"no records", false, false, 10, gypsumrail.Refuse, ""},
		{"no list", true, false, 10, gypsumrail.Refuse, ""},
		{"both", true, true, 200, gypsumrail.RunTarget, gypsumrail.RunTarget},
		{"no list for long", true, false, 5 * gypsumrail.Second, gypsumrail.RunTarget, gypsumrail.RunTarget},
	}
	for _, test := range tests {
		for origin, want := range map[gypsumrail.Origin]gypsumrail.EffectKind{gypsumrail.FromCaller: test.caller, gypsumrail.FromPeer: test.peer} {
			n := setup.NewNode(self, core.Settings{}, setup.Settings{})
			n.Step(&gypsumrail.Event{Kind: gypsumrail.Tick, At: started})
			if test.list {
				readList(n, started+1)
			}
			if test.records {
				readRecords(n, started+2)
			}
			at := started + test.after
			effects := n.Step(&gypsumrail.Event{Kind: gypsumrail.CallArrived, At: at, Call: 1, Arrival: &gypsumrail.Arrival{
				Origin: origin, Service: "svc", Class: "read", Request: "r", Attempt: 1, Remaining: gypsumrail.Second, Importance: 5,
			}})
			if got := kindOf(effects); got != want {
				t.Errorf("%s, %s: got %q, want %q", test.name, origin, got, want)
			}
			if want != "" {
				continue
			}
			readRecords(n, at+1)
			readList(n, at+1)
			if got := kindOf(n.Step(&gypsumrail.Event{Kind: gypsumrail.Tick, At: at + 10})); got != gypsumrail.RunTarget {
				t.Errorf("%s, %s: got %q after records and list were read, want RunTarget", test.name, origin, got)
			}
		}
	}
}

// While a service is replaced, all upstreams that a node knows can be leaving for a
// moment. Calls of the own target then wait for a new upstream and do not fail.
func TestCallOfTargetAwaitsUpstream(t *testing.T) {
	n, _ := newRecordingNode(core.Settings{})
	n.Step(&gypsumrail.Event{Kind: gypsumrail.CallArrived, At: 100, Call: 1, Arrival: &gypsumrail.Arrival{
		Origin: gypsumrail.FromPeer, Service: "front", Class: "Read", Request: "r", Attempt: 1, Remaining: 2000,
	}})
	effects := n.Step(&gypsumrail.Event{Kind: gypsumrail.CallArrived, At: 110, Call: 2, Arrival: &gypsumrail.Arrival{
		Origin: gypsumrail.FromTarget, Service: "middle", Request: "r", Parent: 1, Attempt: 1,
	}})
	if len(effects) != 0 {
		t.Fatalf("got effects %+v while no upstream is known, want none", effects)
	}
	n.Step(&gypsumrail.Event{Kind: gypsumrail.InstancesRead, At: 200, Value: gypsumrail.ValueVersion{Name: gypsumrail.ValueInstances, Revision: 2}, Instances: []gypsumrail.Instance{
		{Name: "front-0", Service: "front", Address: "127.0.0.1:1", State: gypsumrail.Live},
		{Name: "middle-0", Service: "middle", Address: "127.0.0.1:2", State: gypsumrail.Live},
	}})
	effects = n.Step(&gypsumrail.Event{Kind: gypsumrail.Tick, At: 210})
	for _, effect := range effects {
		if effect.Kind == gypsumrail.Forward && effect.Call == 2 && effect.To.Name == "middle-0" {
			return
		}
	}
	t.Errorf("got %+v, want the call forwarded to middle-0", effects)
}
