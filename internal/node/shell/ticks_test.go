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

func (s *Shell) isIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loop.Idle()
}

func awaitTrue(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// The tick interval must be short while the node serves a call, because deadlines
// would otherwise be checked late. It must be long again when the node is idle.
func TestTickIntervalOfIdleNode(t *testing.T) {
	slow := target(t, stubs.TargetSettings{ServiceTime: time.Hour})
	n := startNode(t, "n", options{target: slow.Address()})
	awaitTrue(t, "slow ticks", n.shell.isIdle)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = callAndCheck(ctx, n.ports.Callers, "held", nil) }()
	n.awaitKind(gypsumrail.CallArrived)
	if n.shell.isIdle() {
		t.Error("ticks are slow when a call has arrived")
	}
	awaitTrue(t, "the call to run", func() bool { return slow.RunsOfRequest("held") == 1 })
	if n.shell.isIdle() {
		t.Error("ticks are slow while a call runs")
	}
	cancel()
	awaitTrue(t, "slow ticks after the call", n.shell.isIdle)
}

// Ticks must continue under a steady stream of short calls. They would not if
// each call reset the ticker.
func TestTicksUnderShortCalls(t *testing.T) {
	var ticks atomic.Int64
	quick := target(t, stubs.TargetSettings{})
	n := startNode(t, "n", options{target: quick.Address(), react: func(e *gypsumrail.Event) ([]gypsumrail.Effect, bool) {
		if e.Kind == gypsumrail.Tick {
			ticks.Add(1)
		}
		return nil, false
	}})
	first := ticks.Load()
	deadline := time.Now().Add(testTimeout)
	for i := 0; ticks.Load() < first+20; i++ {
		if err := callAndCheck(t.Context(), n.ports.Callers, fmt.Sprintf("short-%d", i), nil); err != nil {
			t.Fatal(err)
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d ticks during %d calls", ticks.Load()-first, i)
		}
	}
}
