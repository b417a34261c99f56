package trial

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumrail/gypsumrail"
)

func startReady(t *testing.T, settings Settings) *Deployment {
	t.Helper()
	d := startDeployment(t, settings)
	if err := d.AwaitReady(); err != nil {
		t.Fatal(err)
	}
	return d
}

// awaitIdleAndCheck waits until no call is in flight and fails the test for each
// broken promise.
func awaitIdleAndCheck(t *testing.T, d *Deployment) {
	t.Helper()
	if err := d.awaitIdle(); err != nil {
		t.Error(err)
	}
	for _, broken := range d.Observer.Broken() {
		t.Errorf("P%d: %s", broken.Promise, broken.Description)
	}
	t.Log(formatCounts(d.Observer.Totals()))
}

// All targets of the deepest service reject calls, so every hop could retry.
// Guards against retries that multiply over the hops (P1).
func TestRetriesOverTheChain(t *testing.T) {
	t.Parallel()
	d := startReady(t, defaultSettings())
	for _, i := range d.Instances {
		if i.Service == "deep" {
			i.Target.SetRefusing(true)
		}
	}
	const requests = 400
	NewClients(d, Load{Requests: requests, Workers: 16, AttemptsMax: 3, Timeout: Deadline, Seed: 1}).Run()
	awaitIdleAndCheck(t, d)
	attempts := d.Observer.Count(func(Attempt) bool { return true })
	calls := d.Observer.Arrivals("deep")
	t.Logf("%d requests in %d attempts, %d calls at the deepest service", requests, attempts, calls)
	if calls <= requests/2 {
		t.Error("too few calls reached the failing service")
	}
}

// The load is several times the capacity of the targets. Guards against shedding
// that does not begin with the least important requests (P2).
func TestOverload(t *testing.T) {
	t.Parallel()
	testOverload(t, Settings{Zones: []string{"a", "b"}, Slots: 16, ServiceTime: 20 * time.Millisecond, AnswerBytes: 200})
}

// Like TestOverload, on targets with so few slots that even a single queued call
// waits longer than the queue delay above which the threshold rises.
func TestOverloadFewSlots(t *testing.T) {
	knownRed(t)
	testOverload(t, Settings{Zones: []string{"a", "b"}, Slots: 4, ServiceTime: 10 * time.Millisecond, AnswerBytes: 200})
}

func testOverload(t *testing.T, settings Settings) {
	t.Helper()
	d := startReady(t, settings)
	low := NewClients(d, Load{Requests: 1 << 20, Workers: 150, AttemptsMax: 1, Timeout: Deadline, Classes: []string{ClassBrowse}, Seed: 1})
	lowEnded := make(chan struct{})
	go func() {
		defer close(lowEnded)
		low.Run()
	}()
	shed := func(a Attempt) bool {
		return a.Reason == gypsumrail.ReasonShed || a.Reason == gypsumrail.ReasonOverload || a.Reason == gypsumrail.ReasonDeadline
	}
	if !Await(func() bool { return d.Observer.Count(shed) > 100 }) {
		t.Error("at most 100 attempts of importance 1 were shed within a minute")
	}
	const vital = 500
	high := NewClients(d, Load{Requests: vital, Workers: 8, AttemptsMax: 1, Timeout: Deadline, Classes: []string{ClassVital}, Seed: 2})
	high.Run()
	low.Stop()
	<-lowEnded
	awaitIdleAndCheck(t, d)
	lowShed := d.Observer.Count(func(a Attempt) bool { return a.Class == ClassBrowse && shed(a) })
	highShed := d.Observer.Count(func(a Attempt) bool { return a.Class == ClassVital && shed(a) })
	t.Logf("importance 1: %d of %d answered, %d shed; importance 9: %d of %d answered, %d shed",
		low.Succeeded.Load(), low.Done.Load(), lowShed, high.Succeeded.Load(), high.Done.Load(), highShed)
	if high.Succeeded.Load() < vital {
		t.Logf("attempts of importance 9 by outcome: %v", countFailures(d, ClassVital))
	}
	// The objective for priority inversions: at most 1 % of all sheds.
	if highShed*100 > lowShed+highShed {
		t.Errorf("P2: %d of %d sheds were of the highest importance", highShed, lowShed+highShed)
	}
	if high.Succeeded.Load() < vital*95/100 {
		t.Errorf("P2: only %d of %d requests of the highest importance were answered", high.Succeeded.Load(), vital)
	}
}

// countFailures counts the attempts of a class without a complete answer, by
// result.
func countFailures(d *Deployment, class string) map[string]int {
	counts := make(map[string]int)
	d.Observer.Count(func(a Attempt) bool {
		if a.Class == class && !a.Whole {
			counts[fmt.Sprintf("%s %s %s %s %s", a.Outcome, a.Reason, a.FailedCall, a.Mismatch, a.Err)]++
		}
		return false
	})
	return counts
}

// A node drains while the instance list still shows it as live. Guards against
// new calls at its target (P6).
func TestLeaving(t *testing.T) {
	knownRed(t)
	t.Parallel()
	d := startReady(t, defaultSettings())
	leaving := d.Named("middle-a")
	background := NewClients(d, Load{Requests: 1 << 20, Workers: 8, AttemptsMax: 4, Timeout: Deadline, ThinkTime: time.Millisecond, OrderPercent: 50, Seed: 1})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		background.Run()
	}()
	// A run that may not be repeated outlives its callers and keeps the node
	// draining, so that calls could still reach its target.
	leaving.Target.SetServiceTime(15 * time.Second)
	before := leaving.Target.TotalRuns()
	Await(func() bool { return leaving.Target.TotalRuns() > before+5 })
	leaving.Target.SetServiceTime(2 * time.Millisecond)
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		leaving.Drain()
	}()
	time.Sleep(3 * time.Second) // the bound of P6
	late := leaving.Target.TotalRuns()
	done := background.Done.Load()
	Await(func() bool { return background.Done.Load() > done+500 })
	select {
	case <-drained:
		t.Error("the drain was over before new work could be counted")
	default:
	}
	if n := leaving.Target.TotalRuns() - late; n > 0 {
		t.Errorf("P6: the leaving target got %d new calls after 3 s", n)
	}
	background.Stop()
	<-ended
	<-drained
	for _, broken := range d.Observer.Broken() {
		t.Errorf("P%d: %s", broken.Promise, broken.Description)
	}
}

// logLost logs all attempts of the requests that never got a complete answer.
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

// All nodes are replaced under load, one after the other. Guards against lost and
// interrupted requests (P7).
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	knownRed(t)
	d := startReady(t, defaultSettings())
	clients := NewClients(d, Load{Requests: 1 << 20, Workers: 16, AttemptsMax: 6, Timeout: 2 * Deadline, ResendDelayMax: 100 * time.Millisecond, ThinkTime: 2 * time.Millisecond, OrderPercent: 30, Seed: 1})
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
	awaitIdleAndCheck(t, d)
	if lost := clients.Done.Load() - clients.Succeeded.Load(); lost > 0 {
		t.Errorf("P7: %d of %d requests were lost", lost, clients.Done.Load())
		logLost(t, d.Observer)
	}
	for _, a := range d.Observer.Interrupted() {
		t.Errorf("P7: interrupted: %+v", a)
	}
}
