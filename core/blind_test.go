package core_test

import (
	"testing"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/core"
	"github.com/gypsumrail/gypsumrail/parts"
)

// Guards against a new node that starts a call before it knows an instance of
// the services below: the call failed at its first outgoing call, and one that
// may not be repeated was lost. After 5 s the node serves what it can.
func TestNewNodeRefusesWhatItCannotServe(t *testing.T) {
	const started = gypsumrail.Minute
	self := gypsumrail.Instance{Name: "n", Service: "svc", Zone: "z", Address: "127.0.0.1:1", Incarnation: 1, Version: 1, State: gypsumrail.Live}
	below := gypsumrail.Instance{Name: "b", Service: "below", Zone: "z", Address: "127.0.0.1:2", Incarnation: 1, Version: 1, State: gypsumrail.Live}
	records := &gypsumrail.Records{
		Services: map[string]*gypsumrail.Service{"svc": {Name: "svc", Dependencies: []string{"below"}}, "below": {Name: "below"}},
		Classes: map[string]*gypsumrail.Class{"read": {
			Name: "read", Service: "svc", Uses: []string{"svc", "below"}, Importance: 5, Deadline: gypsumrail.Minute, Repeatable: true,
		}},
	}
	tests := []struct {
		name          string
		records, list bool
		after         gypsumrail.Millis
		want          gypsumrail.EffectKind
	}{
		{"no records", false, false, 10, gypsumrail.Refuse},
		{"no list", true, false, 10, gypsumrail.Refuse},
		{"both", true, true, 200, gypsumrail.RunTarget},
		{"no list for long", true, false, 5 * gypsumrail.Second, gypsumrail.RunTarget},
	}
	for _, test := range tests {
		for _, origin := range []gypsumrail.Origin{gypsumrail.FromCaller, gypsumrail.FromPeer} {
			n := parts.NewNode(self, core.Settings{}, parts.Settings{})
			n.Step(&gypsumrail.Event{Kind: gypsumrail.Tick, At: started})
			if test.list {
				n.Step(&gypsumrail.Event{Kind: gypsumrail.InstancesRead, At: started + 1, Value: gypsumrail.ValueVersion{Name: gypsumrail.ValueInstances, Revision: 1}, Instances: []gypsumrail.Instance{self, below}})
			}
			if test.records {
				n.Step(&gypsumrail.Event{Kind: gypsumrail.RecordsRead, At: started + 2, Value: gypsumrail.ValueVersion{Name: gypsumrail.ValueRecords, Revision: 1}, Records: records})
			}
			effects := n.Step(&gypsumrail.Event{Kind: gypsumrail.CallArrived, At: started + test.after, Call: 1, Arrival: &gypsumrail.Arrival{
				Origin: origin, Service: "svc", Class: "read", Request: "r", Attempt: 1, Remaining: gypsumrail.Second, Importance: 5,
			}})
			var got *gypsumrail.Effect
			for i := range effects {
				if effects[i].Kind == gypsumrail.Refuse || effects[i].Kind == gypsumrail.RunTarget {
					got = &effects[i]
				}
			}
			if got == nil || got.Kind != test.want || got.Kind == gypsumrail.Refuse && got.Outcome != gypsumrail.NotRun {
				t.Errorf("%s, %s: got %+v, want %s", test.name, origin, effects, test.want)
			}
		}
	}
}
