package shell

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/lab/stubs"
)

func (s *Shell) isResting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drive.Resting()
}

func awaitTrue(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}

// Guards against deadlines that are checked late because ticks stay slow while
// a call is held, and against an idle node that goes on with fast ticks.
func TestRest(t *testing.T) {
	slow := target(t, stubs.TargetSettings{ServiceTime: time.Hour})
	n := start(t, "n", options{target: slow.Address()})
	awaitTrue(t, "slow ticks", n.shell.isResting)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = whole(ctx, n.ports.Callers, "held", nil) }()
	n.awaitKind(gypsumrail.CallArrived)
	if n.shell.isResting() {
		t.Error("ticks are slow when a call has arrived")
	}
	awaitTrue(t, "the call to run", func() bool { return slow.Ran("held") == 1 })
	if n.shell.isResting() {
		t.Error("ticks are slow while a call is held")
	}
	cancel()
	awaitTrue(t, "slow ticks after the call", n.shell.isResting)
}

// Guards against ticks that each call puts off, so that they stay out while
// short calls keep coming.
func TestTicksUnderShortCalls(t *testing.T) {
	var ticks atomic.Int64
	quick := target(t, stubs.TargetSettings{})
	n := start(t, "n", options{target: quick.Address(), react: func(e *gypsumrail.Event) ([]gypsumrail.Effect, bool) {
		if e.Kind == gypsumrail.Tick {
			ticks.Add(1)
		}
		return nil, false
	}})
	first := ticks.Load()
	deadline := time.Now().Add(patience)
	for i := 0; ticks.Load() < first+20; i++ {
		if err := whole(t.Context(), n.ports.Callers, fmt.Sprintf("short-%d", i), nil); err != nil {
			t.Fatal(err)
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d ticks during %d calls", ticks.Load()-first, i)
		}
	}
}
