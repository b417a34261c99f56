package core_test

import (
	"testing"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/core"
	"github.com/gypsumrail/gypsumrail/internal/node/setup"
)

// Guards against a caller that cannot continue: a resend without a key was
// refused with the outcome Unknown, so its caller could not use the new key of
// the refusal. The outcome of a resend with a malformed key stays Unknown,
// because an earlier attempt may have run under the intact key.
func TestResendWithoutKey(t *testing.T) {
	self := gypsumrail.Instance{Name: "n", Service: "svc", Zone: "z", Address: "127.0.0.1:1", Incarnation: 1, Version: 1, State: gypsumrail.Live}
	n := setup.NewNode(self, core.Settings{}, setup.Settings{})
	class := &gypsumrail.Class{Name: "order", Service: "svc", Uses: []string{"svc"}, Importance: 5, Deadline: gypsumrail.Second}
	n.Step(&gypsumrail.Event{Kind: gypsumrail.RecordsRead, At: 1, Value: gypsumrail.ValueVersion{Name: gypsumrail.ValueRecords, Revision: 1}, Records: &gypsumrail.Records{
		Services: map[string]*gypsumrail.Service{"svc": {Name: "svc"}},
		Classes:  map[string]*gypsumrail.Class{"order": class},
	}})
	tests := []struct {
		key     string
		attempt int
		want    gypsumrail.Outcome
	}{
		{"", 1, gypsumrail.NotRun},
		{"", 2, gypsumrail.NotRun},
		{"malformed", 1, gypsumrail.NotRun},
		{"malformed", 2, gypsumrail.Unknown},
	}
	for i, test := range tests {
		effects := n.Step(&gypsumrail.Event{Kind: gypsumrail.CallArrived, At: 2, Call: gypsumrail.CallID(i + 1), Arrival: &gypsumrail.Arrival{
			Origin: gypsumrail.FromCaller, Service: "svc", Class: "order", Request: "r", Attempt: test.attempt, Key: test.key,
		}})
		if len(effects) != 1 || effects[0].Reason != gypsumrail.ReasonKeyRequired || effects[0].Outcome != test.want {
			t.Errorf("key %q, attempt %d: got %+v, want outcome %s", test.key, test.attempt, effects, test.want)
		}
	}
}
