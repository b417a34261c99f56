package core_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/core"
	"github.com/gypsumrail/gypsumrail/internal/node/setup"
	"github.com/gypsumrail/gypsumrail/limit"
)

// recordingLimiter records the samples that the reducer passes to a limiter.
type recordingLimiter struct {
	gypsumrail.Limiter
	samples []gypsumrail.Sample
}

func (s *recordingLimiter) Completed(_ gypsumrail.Millis, sample gypsumrail.Sample) {
	s.samples = append(s.samples, sample)
}

// newRecordingNode returns a node of the service front whose limiter records its
// samples.
func newRecordingNode(settings core.Settings) (*core.Node, *recordingLimiter) {
	self := gypsumrail.Instance{Name: "front-0", Service: "front", Zone: "z0", Address: "127.0.0.1:1", Incarnation: 1 << 20, State: gypsumrail.Live}
	parts := setup.New(self, setup.Settings{})
	s := &recordingLimiter{Limiter: limit.NewStatic(8)}
	parts.Limiter = s
	n := core.New(settings, parts)
	n.Step(&gypsumrail.Event{Kind: gypsumrail.RecordsRead, Records: labRecords(8), Value: gypsumrail.ValueVersion{Name: gypsumrail.ValueRecords, Revision: 1}})
	n.Step(&gypsumrail.Event{Kind: gypsumrail.InstancesRead, Instances: []gypsumrail.Instance{self}, Value: gypsumrail.ValueVersion{Name: gypsumrail.ValueInstances, Revision: 1}})
	return n, s
}

// Guards against a limit that shrinks because a service below is overloaded. A
// target passes on the 503 that it got, and its run time includes the wait for
// that service.
func TestSampleLeavesOutServicesBelow(t *testing.T) {
	tests := []struct {
		name    string
		status  int
		child   bool
		refused bool
	}{
		{"answered", 200, false, false},
		{"refused by the target", 503, false, true},
		{"refusal of a service below passed on", 503, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			n, s := newRecordingNode(core.Settings{})
			n.Step(&gypsumrail.Event{Kind: gypsumrail.CallArrived, At: 100, Call: 1, Arrival: &gypsumrail.Arrival{
				Origin: gypsumrail.FromPeer, Service: "front", Class: "Read", Request: "r", Attempt: 1, Remaining: 2000,
			}})
			if test.child {
				// No instance of the service middle is known, so the call waits for one and
				// is refused.
				n.Step(&gypsumrail.Event{Kind: gypsumrail.CallArrived, At: 110, Call: 2, Arrival: &gypsumrail.Arrival{
					Origin: gypsumrail.FromTarget, Service: "middle", Request: "r", Parent: 1, Attempt: 1,
				}})
				n.Step(&gypsumrail.Event{Kind: gypsumrail.Tick, At: 1200})
			}
			result := &gypsumrail.Result{Outcome: gypsumrail.Ran, Status: test.status}
			n.Step(&gypsumrail.Event{Kind: gypsumrail.TargetAnswered, At: 1250, Call: 1, Result: result})
			n.Step(&gypsumrail.Event{Kind: gypsumrail.TargetDone, At: 1250, Call: 1, Result: result})
			if len(s.samples) != 1 {
				t.Fatalf("%d samples, want 1", len(s.samples))
			}
			if got := s.samples[0].Refused; got != test.refused {
				t.Errorf("refused is %t, want %t", got, test.refused)
			}
		})
	}
}

// Guards against a limit that falls because one request ended the target: the runs that end
// with it say nothing about how many the target can run. A run that failed by itself does.
func TestSampleLeavesOutCrashes(t *testing.T) {
	tests := []struct {
		reason  gypsumrail.Reason
		samples int
	}{
		{gypsumrail.ReasonBroken, 1},
		{gypsumrail.ReasonCrashed, 0},
	}
	for _, test := range tests {
		t.Run(string(test.reason), func(t *testing.T) {
			n, s := newRecordingNode(core.Settings{})
			n.Step(&gypsumrail.Event{Kind: gypsumrail.CallArrived, At: 100, Call: 1, Arrival: &gypsumrail.Arrival{
				Origin: gypsumrail.FromPeer, Service: "front", Class: "Read", Request: "r", Attempt: 1, Remaining: 2000,
			}})
			result := &gypsumrail.Result{Outcome: gypsumrail.Unknown, Reason: test.reason}
			n.Step(&gypsumrail.Event{Kind: gypsumrail.TargetFailed, At: 150, Call: 1, Result: result})
			if diff := cmp.Diff(test.samples, len(s.samples)); diff != "" {
				t.Errorf("samples: %s", diff)
			}
		})
	}
}
