package core_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/core"
	"github.com/gypsumrail/gypsumrail/internal/node/setup"
	"github.com/gypsumrail/gypsumrail/ledger"
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
		unset  bool              // without Settings.SuspectCanceled
		want   []uint64          // suspected requests
	}{
		{"the target ends", gypsumrail.Result{Outcome: gypsumrail.Unknown, Reason: gypsumrail.ReasonCrashed}, 100, false, []uint64{left, other}},
		{"the target ends later", gypsumrail.Result{Outcome: gypsumrail.Unknown, Reason: gypsumrail.ReasonCrashed}, 600, false, []uint64{other}},
		{"the target cannot be reached", gypsumrail.Result{Outcome: gypsumrail.NotRun, Reason: gypsumrail.ReasonTargetFailed}, 100, false, []uint64{left}},
		{"the target cannot be reached later", gypsumrail.Result{Outcome: gypsumrail.NotRun, Reason: gypsumrail.ReasonTargetFailed}, 600, false, nil},
		{"the target cuts a connection", gypsumrail.Result{Outcome: gypsumrail.Unknown, Reason: gypsumrail.ReasonBroken}, 100, false, nil},
		{"the target refuses", gypsumrail.Result{Outcome: gypsumrail.NotRun, Reason: gypsumrail.ReasonTargetBusy}, 100, false, nil},
		{"requests with other bodies are equal", gypsumrail.Result{Outcome: gypsumrail.NotRun, Reason: gypsumrail.ReasonTargetFailed}, 100, true, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			n, _ := newRecordingNode(core.Settings{SuspectCanceled: !test.unset})
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

// refusingLedger lets no keyed call start.
type refusingLedger struct{ gypsumrail.Ledger }

func (refusingLedger) Start(gypsumrail.Millis, gypsumrail.Key, gypsumrail.HomeAttempt) gypsumrail.Verdict {
	return gypsumrail.VerdictRefused
}

// Guards against a suspected call that holds up all others for good because its key is
// refused as it starts: it never runs, so no end of its run makes room for the next.
func TestRefusedTrial(t *testing.T) {
	self := gypsumrail.Instance{Name: "front-0", Service: "front", Zone: "z0", Address: "127.0.0.1:1", Incarnation: 1 << 20, State: gypsumrail.Live}
	parts := setup.New(self, setup.Settings{})
	parts.Ledger = refusingLedger{parts.Ledger}
	n := core.New(core.Settings{}, parts)
	n.Step(&gypsumrail.Event{Kind: gypsumrail.RecordsRead, Records: labRecords(8), Value: gypsumrail.ValueVersion{Name: gypsumrail.ValueRecords, Revision: 1}})
	n.Step(&gypsumrail.Event{Kind: gypsumrail.InstancesRead, Instances: []gypsumrail.Instance{self}, Value: gypsumrail.ValueVersion{Name: gypsumrail.ValueInstances, Revision: 1}})
	peer := gypsumrail.Instance{Name: "front-1", Service: "front", Zone: "z0", Address: "127.0.0.1:2", Incarnation: 1 << 20, State: gypsumrail.Live}
	n.Step(&gypsumrail.Event{Kind: gypsumrail.Exchanged, At: 100, Peer: peer, Exchange: &gypsumrail.Exchange{
		From: peer, Answer: true, Evidence: gypsumrail.Evidence{Crashes: []gypsumrail.Crash{{Address: peer.Address, Requests: []uint64{7, 8}}}},
	}})
	arrive := func(call gypsumrail.CallID, at gypsumrail.Millis, class, key string, fingerprint uint64) gypsumrail.EffectKind {
		return effectOf(n.Step(&gypsumrail.Event{Kind: gypsumrail.CallArrived, At: at, Call: call, Arrival: &gypsumrail.Arrival{
			Origin: gypsumrail.FromPeer, Service: "front", Class: class, Request: "r", Attempt: 1, Remaining: 2000, Importance: 9,
			Fingerprint: fingerprint, Key: key, HomeAttempt: 257,
		}}), gypsumrail.RunTarget, gypsumrail.Refuse).Kind
	}
	key := ledger.FormatKey(gypsumrail.Key{Home: self.Name, Incarnation: self.Incarnation, Nonce: "0123456789abcdef0123456789abcdef"})
	if got := arrive(1, 110, "Order", key, 7); got != gypsumrail.Refuse {
		t.Fatalf("the keyed call: %q, want it refused", got)
	}
	if got := arrive(2, 120, "Read", "", 8); got != gypsumrail.RunTarget {
		t.Errorf("the next suspected call: %q, want it run", got)
	}
}
