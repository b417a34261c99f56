package trial

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumrail/gypsumrail"
)

func ready(t *testing.T, settings Settings) *Deployment {
	t.Helper()
	d := deploy(t, settings)
	if err := d.AwaitReady(); err != nil {
		t.Fatal(err)
	}
	return d
}

// settle waits until the nodes are at rest and fails if a promise was broken.
func settle(t *testing.T, d *Deployment) {
	t.Helper()
	if err := d.awaitRest(); err != nil {
		t.Error(err)
	}
	for _, broken := range d.Observer.Broken() {
		t.Errorf("P%d: %s", broken.Promise, broken.What)
	}
	t.Log(list(d.Observer.Totals()))
}

// Guards against retries that multiply over the hops (P1): all targets of the
// deepest service turn calls away, and each hop would retry.
func TestRetriesOverTheChain(t *testing.T) {
	t.Parallel()
	d := ready(t, usual())
	for _, i := range d.Instances {
		if i.Service == "deep" {
			i.Target.SetRefusing(true)
		}
	}
	const requests = 400
	NewClients(d, Load{Requests: requests, Workers: 16, Sends: 3, Patience: Deadline, Seed: 1}).Run()
	settle(t, d)
	sends := d.Observer.Count(func(Attempt) bool { return true })
	calls := d.Observer.Arrivals("deep")
	t.Logf("%d requests in %d sends, %d calls at the deepest service", requests, sends, calls)
	if calls <= requests/2 {
		t.Error("hardly a call came as far as the fault")
	}
}

// Guards against shedding that does not begin with the least important requests
// (P2): the load is several times what the targets can do.
func TestOverload(t *testing.T) {
	t.Parallel()
	overload(t, Settings{Zones: []string{"a", "b"}, Slots: 16, ServiceTime: 20 * time.Millisecond, AnswerBytes: 200})
}

// Guards the same on targets with so few slots that one waiting call already
// waits longer than the queue delay above which the threshold rises.
func TestOverloadFewSlots(t *testing.T) {
	knownRed(t)
	overload(t, Settings{Zones: []string{"a", "b"}, Slots: 4, ServiceTime: 10 * time.Millisecond, AnswerBytes: 200})
}

func overload(t *testing.T, settings Settings) {
	t.Helper()
	d := ready(t, settings)
	low := NewClients(d, Load{Requests: 1 << 20, Workers: 150, Sends: 1, Patience: Deadline, Classes: []string{ClassBrowse}, Seed: 1})
	lowEnded := make(chan struct{})
	go func() {
		defer close(lowEnded)
		low.Run()
	}()
	shed := func(a Attempt) bool {
		return a.Reason == gypsumrail.ReasonShed || a.Reason == gypsumrail.ReasonOverload || a.Reason == gypsumrail.ReasonDeadline
	}
	if !Await(func() bool { return d.Observer.Count(shed) > 100 }) {
		t.Error("nothing was shed")
	}
	const vital = 500
	high := NewClients(d, Load{Requests: vital, Workers: 8, Sends: 1, Patience: Deadline, Classes: []string{ClassVital}, Seed: 2})
	high.Run()
	low.Stop()
	<-lowEnded
	settle(t, d)
	lowShed := d.Observer.Count(func(a Attempt) bool { return a.Class == ClassBrowse && shed(a) })
	highShed := d.Observer.Count(func(a Attempt) bool { return a.Class == ClassVital && shed(a) })
	t.Logf("importance 1: %d of %d answered, %d shed; importance 9: %d of %d answered, %d shed",
		low.Good.Load(), low.Done.Load(), lowShed, high.Good.Load(), high.Done.Load(), highShed)
	if high.Good.Load() < vital {
		t.Logf("attempts of importance 9 by outcome: %v", outcomes(d, ClassVital))
	}
	// The bound of the objectives: inversions in at most 1 % of sheds.
	if highShed*100 > lowShed+highShed {
		t.Errorf("P2: %d of %d sheds were of the highest importance", highShed, lowShed+highShed)
	}
	if high.Good.Load() < vital*95/100 {
		t.Errorf("P2: only %d of %d requests of the highest importance were answered", high.Good.Load(), vital)
	}
}

// outcomes counts the attempts of a class that were not answered well.
func outcomes(d *Deployment, class string) map[string]int {
	counts := make(map[string]int)
	d.Observer.Count(func(a Attempt) bool {
		if a.Class == class && !a.Whole {
			counts[fmt.Sprintf("%s %s %s %s %s", a.Outcome, a.Reason, a.Below, a.Wrong, a.Err)]++
		}
		return false
	})
	return counts
}

// Guards against new work at a leaving target (P6), while the platform's list
// shows it as live all along.
func TestLeaving(t *testing.T) {
	t.Parallel()
	d := ready(t, usual())
	leaving := d.Named("middle-a")
	background := NewClients(d, Load{Requests: 1 << 20, Workers: 8, Sends: 4, Patience: Deadline, Think: time.Millisecond, Orders: 50, Seed: 1})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		background.Run()
	}()
	// A run that may not be repeated outlives its callers and keeps the node in its
	// drain, so that there is a leaving target to send work to.
	leaving.Target.SetServiceTime(15 * time.Second)
	before := leaving.Target.Total()
	Await(func() bool { return leaving.Target.Total() > before+5 })
	leaving.Target.SetServiceTime(2 * time.Millisecond)
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		leaving.Drain()
	}()
	time.Sleep(3 * time.Second) // the bound of P6
	late := leaving.Target.Total()
	done := background.Done.Load()
	Await(func() bool { return background.Done.Load() > done+500 })
	select {
	case <-drained:
		t.Error("the drain was over before new work could be counted")
	default:
	}
	if n := leaving.Target.Total() - late; n > 0 {
		t.Errorf("P6: the leaving target got %d new calls after 3 s", n)
	}
	background.Stop()
	<-ended
	<-drained
	for _, broken := range d.Observer.Broken() {
		t.Errorf("P%d: %s", broken.Promise, broken.What)
	}
}

// logLost logs all attempts of the requests that never got a whole answer.
func logLost(t *testing.T, o *Observer) {
	t.Helper()
	whole := make(map[string]bool)
	o.Count(func(a Attempt) bool {
		whole[a.Request] = whole[a.Request] || a.Whole
		return false
	})
	o.Count(func(a Attempt) bool {
		if !whole[a.Request] {
			t.Logf("lost: %+v", a)
		}
		return false
	})
}

// Guards against requests that are lost while every node is replaced, one after
// the other, under load (P7).
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	knownRed(t)
	d := ready(t, usual())
	clients := NewClients(d, Load{Requests: 1 << 20, Workers: 16, Sends: 6, Patience: 2 * Deadline, Pause: 100 * time.Millisecond, Think: 2 * time.Millisecond, Orders: 30, Seed: 1})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		clients.Run()
	}()
	for _, i := range d.Instances {
		done := clients.Done.Load()
		Await(func() bool { return clients.Done.Load() > done+100 })
		if err := d.Replace(i, true); err != nil {
			t.Fatal(err)
		}
		if err := d.AwaitReady(); err != nil {
			t.Fatal(err)
		}
	}
	clients.Stop()
	<-ended
	settle(t, d)
	if lost := clients.Done.Load() - clients.Good.Load(); lost > 0 {
		t.Errorf("P7: %d of %d requests were lost", lost, clients.Done.Load())
		logLost(t, d.Observer)
	}
	for _, a := range d.Observer.Interrupted() {
		t.Errorf("P7: interrupted: %+v", a)
	}
}
