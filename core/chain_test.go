package core_test

import (
	"testing"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/core"
	"github.com/gypsumrail/gypsumrail/internal/node/setup"
	"github.com/gypsumrail/gypsumrail/member"
	"github.com/gypsumrail/gypsumrail/shed"
)

// chainNode returns the node beside a target of the service mid. The target
// runs call 1 of the important class top. Its outgoing calls are of the class
// low and go to the service deep.
func chainNode(t *testing.T) *core.Node {
	t.Helper()
	self := gypsumrail.Instance{Name: "mid-1", Service: "mid", Zone: "z", Address: "127.0.0.1:1", State: gypsumrail.Live, Slots: 9}
	parts := setup.New(self, setup.Settings{})
	parts.Directory = member.NewListed(self)
	parts.Shedder = shed.NewBacklog(shed.Settings{})
	n := core.New(core.Settings{GossipEvery: -1, FreeRefusals: true, ExemptChildren: true}, parts)
	deep := gypsumrail.Instance{Name: "deep-1", Service: "deep", Zone: "z", Address: "127.0.0.1:2", State: gypsumrail.Live, Slots: 9}
	n.Step(&gypsumrail.Event{Kind: gypsumrail.InstancesRead, Instances: []gypsumrail.Instance{deep, self}, Value: gypsumrail.ValueVersion{Name: gypsumrail.ValueInstances, Revision: 1}})
	n.Step(&gypsumrail.Event{Kind: gypsumrail.RecordsRead, Value: gypsumrail.ValueVersion{Name: gypsumrail.ValueRecords, Revision: 1}, Records: &gypsumrail.Records{
		Revision: 1, Services: map[string]*gypsumrail.Service{"mid": {Name: "mid"}, "deep": {Name: "deep"}},
		Classes: map[string]*gypsumrail.Class{
			"top": {Name: "top", Service: "mid", Uses: []string{"mid"}, Importance: 9, Repeatable: true, Deadline: 5000, Route: gypsumrail.Route{Host: "h", Prefix: "/top/"}},
			"low": {Name: "low", Service: "deep", Uses: []string{"deep"}, Importance: 3, Repeatable: true, Deadline: 5000, Timeout: 700, AttemptsMax: 2, Route: gypsumrail.Route{Host: "h", Prefix: "/low/"}},
		},
	}})
	e := effectOf(n.Step(&gypsumrail.Event{Kind: gypsumrail.CallArrived, Call: 1, At: 10, Arrival: &gypsumrail.Arrival{
		Origin: gypsumrail.FromPeer, Service: "mid", Class: "top", Request: "r", Importance: 9, Remaining: 3000, Allowance: 2, Attempt: 1,
	}}), gypsumrail.RunTarget)
	if e.Kind != gypsumrail.RunTarget {
		t.Fatal("the parent call was not started on the target")
	}
	return n
}

// sendChild sends an outgoing call of call 1 and returns its Forward or Refuse.
func sendChild(n *core.Node, call gypsumrail.CallID, at gypsumrail.Millis) gypsumrail.Effect {
	return effectOf(n.Step(&gypsumrail.Event{Kind: gypsumrail.CallArrived, Call: call, At: at, Arrival: &gypsumrail.Arrival{
		Origin: gypsumrail.FromTarget, Class: "low", Parent: 1, Request: "r", Attempt: 1, Remaining: 2900,
	}}), gypsumrail.Forward, gypsumrail.Refuse)
}

// Guards against outgoing calls for an important request that get the
// importance of their own class, or exceed the timeout of their own class. Also guards
// against a service that sheds a request for which it already answered a call.
func TestChildOfPlainRequest(t *testing.T) {
	n := chainNode(t)
	first := sendChild(n, 2, 100)
	if first.Kind != gypsumrail.Forward || first.Importance != 9 || first.Deadline != 800 || first.Invested != 90 || first.Kept {
		t.Fatalf("first outgoing call: got %+v, want it forwarded with importance 9, deadline 800, 90 ms invested and not kept", first)
	}
	n.Step(&gypsumrail.Event{Kind: gypsumrail.AttemptAnswered, Call: 2, Attempt: 1, At: 200, Result: &gypsumrail.Result{
		Outcome: gypsumrail.Ran, Status: 200, Report: &gypsumrail.Report{Instance: "deep-1", Sequence: 1, Limit: 9, Threshold: gypsumrail.LevelMax - 1},
	}})
	n.Step(&gypsumrail.Event{Kind: gypsumrail.AnswerDone, Call: 2, At: 200, Result: &gypsumrail.Result{Outcome: gypsumrail.Ran}})
	second := sendChild(n, 3, 210)
	if second.Kind != gypsumrail.Forward || !second.Kept {
		t.Errorf("second outgoing call to a service whose threshold is above its level: got %+v, want it forwarded and kept", second)
	}
}

// Guards against an entry node that admits requests which a service several
// hops below sheds. It happens when the records do not list that service in the
// class's Uses.
func TestUsesAreLearned(t *testing.T) {
	n := chainNode(t)
	sendChild(n, 2, 100)
	answer := effectOf(n.Step(&gypsumrail.Event{Kind: gypsumrail.TargetAnswered, Call: 1, At: 300, Result: &gypsumrail.Result{Outcome: gypsumrail.Ran, Status: 200}}), gypsumrail.Answer)
	if len(answer.Uses) != 1 || answer.Uses[0] != "deep" {
		t.Fatalf("the answer lists the used services %v, want deep alone", answer.Uses)
	}
	entry := plainNode(t, gypsumrail.Class{Service: "back", Repeatable: true, Route: gypsumrail.Route{Host: "h", Prefix: "/"}})
	arrive(entry, 1, 10)
	entry.Step(&gypsumrail.Event{Kind: gypsumrail.AttemptAnswered, Call: 1, Attempt: 1, At: 50, Result: &gypsumrail.Result{
		Outcome: gypsumrail.Ran, Status: 200, Uses: answer.Uses, Hints: []gypsumrail.Hint{{Service: "deep", Threshold: gypsumrail.LevelMax - 1}},
	}})
	entry.Step(&gypsumrail.Event{Kind: gypsumrail.AnswerDone, Call: 1, At: 50, Result: &gypsumrail.Result{Outcome: gypsumrail.Ran}})
	if e := arrive(entry, 2, 60); e.Kind != gypsumrail.Refuse || e.Reason != gypsumrail.ReasonShed || e.Outcome != gypsumrail.NotRun || e.RetryAfter == 0 {
		t.Errorf("got %+v, want a refusal for Shed with outcome NotRun and a delay", e)
	}
	if e := arrive(entry, 3, 60+31*gypsumrail.Second); e.Kind != gypsumrail.Forward {
		t.Errorf("31 s later: got %+v, want the call forwarded", e)
	}
}

// Guards against a third attempt of a call whose class has an AttemptsMax of 2.
func TestAttemptsMax(t *testing.T) {
	n := plainNode(t, gypsumrail.Class{Service: "back", Repeatable: true, AttemptsMax: 2, Route: gypsumrail.Route{Host: "h", Prefix: "/"}})
	e := arrive(n, 1, 10)
	sends := 0
	for attempt := 1; e.Kind == gypsumrail.Forward; attempt++ {
		sends++
		e = effectOf(n.Step(&gypsumrail.Event{Kind: gypsumrail.AttemptFailed, Call: 1, Attempt: attempt, At: 20, Result: &gypsumrail.Result{
			Outcome: gypsumrail.Unknown, Reason: gypsumrail.ReasonBroken,
		}}), gypsumrail.Forward, gypsumrail.Refuse)
	}
	if sends != 2 {
		t.Errorf("%d attempts were sent, want 2", sends)
	}
}

// Guards against a class with an unusable definition whose calls are forwarded, end
// with an outcome other than NotRun, or count as unknown, which clients never retry.
func TestInvalidClass(t *testing.T) {
	entry := plainNode(t, gypsumrail.Class{Invalid: true, Route: gypsumrail.Route{Host: "h", Prefix: "/"}})
	got := arrive(entry, 1, 10)
	if got.Kind != gypsumrail.Refuse || got.Outcome != gypsumrail.NotRun || got.Reason != gypsumrail.ReasonInvalidClass {
		t.Errorf("got %+v, want the call refused as NotRun with InvalidClass", got)
	}
}

// Guards against retries beyond the AttemptsMax of a class after targets that ran the
// call and answered that they are overloaded. Such a retry is not free: it puts load on
// another target.
func TestAttemptsMaxAfterOverload(t *testing.T) {
	for _, attemptsMax := range []int{1, 2} {
		n := plainNode(t, gypsumrail.Class{Service: "back", Repeatable: true, AttemptsMax: attemptsMax, Route: gypsumrail.Route{Host: "h", Prefix: "/"}})
		answer := func(call gypsumrail.CallID, e gypsumrail.Effect, status int) gypsumrail.Effect {
			return effectOf(n.Step(&gypsumrail.Event{
				Kind: gypsumrail.AttemptAnswered, Call: call, Attempt: e.Attempt, At: 20,
				Result: &gypsumrail.Result{Outcome: gypsumrail.Ran, Status: status, Report: &gypsumrail.Report{Instance: e.To.Name, Sequence: uint64(call), Limit: 10}},
			}), gypsumrail.Forward, gypsumrail.Answer, gypsumrail.Refuse)
		}
		for call := gypsumrail.CallID(1); call <= 50; call++ { // all upstreams report that they have room
			answer(call, arrive(n, call, 10), 200)
			n.Step(&gypsumrail.Event{Kind: gypsumrail.AnswerDone, Call: call, At: 20, Result: &gypsumrail.Result{Outcome: gypsumrail.Ran}})
		}
		e := arrive(n, 51, 20)
		sent := 0
		for ; e.Kind == gypsumrail.Forward && sent < 9; sent++ {
			e = answer(51, e, 503)
		}
		if sent != attemptsMax || e.Kind != gypsumrail.Answer {
			t.Errorf("AttemptsMax %d: sent to %d targets, then %s; want the last target's answer passed on", attemptsMax, sent, e.Kind)
		}
	}
}
