package core_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/gypsumrail/gypsumrail"
)

// Guards against a request that crashes targets after its caller has left: its run does not
// break with the others, or nothing else runs, and only the next connection fails. A run that
// was canceled long before, or while the target lives, is not to blame.
func TestCanceledRuns(t *testing.T) {
	const left, other = uint64(7), uint64(8)
	tests := []struct {
		name   string
		result gypsumrail.Result // of the other call
		after  gypsumrail.Millis // from the cancellation to the result
		want   []uint64          // suspected requests
	}{
		{"the target ends", gypsumrail.Result{Outcome: gypsumrail.Unknown, Reason: gypsumrail.ReasonCrashed}, 100, []uint64{left, other}},
		{"the target ends later", gypsumrail.Result{Outcome: gypsumrail.Unknown, Reason: gypsumrail.ReasonCrashed}, 600, []uint64{other}},
		{"the target cannot be reached", gypsumrail.Result{Outcome: gypsumrail.NotRun, Reason: gypsumrail.ReasonTargetFailed}, 100, []uint64{left}},
		{"the target cannot be reached later", gypsumrail.Result{Outcome: gypsumrail.NotRun, Reason: gypsumrail.ReasonTargetFailed}, 600, nil},
		{"the target cuts a connection", gypsumrail.Result{Outcome: gypsumrail.Unknown, Reason: gypsumrail.ReasonBroken}, 100, nil},
		{"the target refuses", gypsumrail.Result{Outcome: gypsumrail.NotRun, Reason: gypsumrail.ReasonTargetBusy}, 100, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			n, _ := newRecordingNode()
			arrive := func(call gypsumrail.CallID, at gypsumrail.Millis, fingerprint uint64) {
				n.Step(&gypsumrail.Event{Kind: gypsumrail.CallArrived, At: at, Call: call, Arrival: &gypsumrail.Arrival{
					Origin: gypsumrail.FromPeer, Service: "front", Class: "Read", Request: "r", Attempt: 1, Remaining: 2000, Fingerprint: fingerprint,
				}})
			}
			arrive(1, 100, left)
			n.Step(&gypsumrail.Event{Kind: gypsumrail.CallerGone, At: 120, Call: 1})
			n.Step(&gypsumrail.Event{Kind: gypsumrail.TargetFailed, At: 121, Call: 1, Result: &gypsumrail.Result{Outcome: gypsumrail.Unknown, Reason: gypsumrail.ReasonCallerGone}})
			arrive(2, 130, other)
			n.Step(&gypsumrail.Event{Kind: gypsumrail.TargetFailed, At: 120 + test.after, Call: 2, Result: &test.result})
			var got []uint64
			for _, j := range n.Status().Judgments {
				got = append(got, j.Fingerprint)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("suspected requests:\n%s", diff)
			}
		})
	}
}
