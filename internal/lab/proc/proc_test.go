package proc

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

// A fleet of node processes must pass a request down to the deepest service, run
// an order with an idempotency key once for two attempts, adopt a published
// revision at every node, recover from the loss of a node, and lose no calls
// when a node is drained.
func TestFleet(t *testing.T) {
	f := newFleet(t)
	entry := f.instanceNamed("front-a")

	if err := f.call(entry, "read", "whole"); err != nil {
		t.Fatal(err)
	}
	for _, service := range services {
		if n := f.runs(service, "whole"); n != 1 {
			t.Errorf("the request ran %d times on %s", n, service)
		}
	}

	key := f.newKey(entry)
	for attempt := 1; attempt <= 2; attempt++ {
		if err := f.call(f.instanceNamed("middle-b"), "order", "order-1", wire.HeaderKey, key, wire.HeaderAttempt, fmt.Sprint(attempt)); err != nil {
			t.Errorf("attempt %d of an order: %v", attempt, err)
		}
	}
	for _, service := range services {
		if n := f.runs(service, "order-1"); n != 1 {
			t.Errorf("the order ran %d times on %s", n, service)
		}
	}

	revision := f.publish(2)
	for _, i := range f.instances {
		f.await(fmt.Sprintf("revision %d at %s", revision, i.name), func() bool {
			s, ok := f.status(i)
			return ok && s.Shell.RecordsInForce == revision
		})
	}

	killed := f.instanceNamed("deep-b")
	f.signal(killed, syscall.SIGKILL)
	_ = f.awaitExit(killed)
	consecutive := 0
	f.await("20 good answers in a row without "+killed.name, func() bool {
		consecutive++
		if err := f.call(entry, "read", fmt.Sprintf("killed-%d", consecutive)); err != nil {
			t.Logf("without %s: %v", killed.name, err)
			consecutive = 0
		}
		return consecutive == 20
	})

	// The killed node is restarted, so that the drain is the only fault. With an
	// allowance of 2, a call that reaches both the dead node and the draining
	// one may use up its retries, which is no fault of the drain.
	f.start(killed)
	f.awaitRoutes()

	f.drainUnderLoad(entry, f.instanceNamed("middle-b"))
}

// drainUnderLoad drains a node under load and fails the test if a call fails.
func (f *fleet) drainUnderLoad(entry, drained *instance) {
	f.t.Helper()
	var calls, done atomic.Int64
	stop := make(chan struct{})
	var work sync.WaitGroup
	for worker := range 8 {
		work.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				calls.Add(1)
				request := fmt.Sprintf("drain-%d-%d", worker, n)
				if err := f.call(entry, "read", request); err != nil {
					f.t.Errorf("%s: %v", request, err)
				}
				done.Add(1)
			}
		})
	}
	before := drained.target.TotalRuns()
	f.await("load on "+drained.name, func() bool { return drained.target.TotalRuns() > before+50 })
	f.signal(drained, syscall.SIGTERM)
	if err := f.awaitExit(drained); err != nil {
		f.t.Errorf("%s exited with %v after its drain", drained.name, err)
	}
	after := done.Load()
	f.await("calls after the drain", func() bool { return done.Load() > after+50 })
	close(stop)
	work.Wait()
	f.t.Logf("%d calls around the drain", calls.Load())
}
