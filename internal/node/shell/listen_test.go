package shell

import (
	"context"
	"testing"
	"time"

	"github.com/gypsumrail/gypsumrail"
)

// Guards against ports that are still open when a node that was ended right after
// its start has returned, so that its next run cannot open them.
func TestPortsAreFreeAfterRun(t *testing.T) {
	ports := Addresses{"127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"}
	for range 300 {
		listeners, err := Listen(t.Context(), ports)
		if err != nil {
			t.Fatal(err)
		}
		ports = listeners.Addresses()
		reducer := &script{t: t, news: make(chan struct{}), react: func(*gypsumrail.Event) ([]gypsumrail.Effect, bool) { return nil, true }}
		s := New(Settings{Platform: "127.0.0.1:1"}, Parts{
			Reducer: reducer, Logger: quietLogger{}, Meter: quietMeter{}, Clock: clock{time.Now()},
		}, listeners)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if err := s.Run(ctx); err != nil {
			t.Fatal(err)
		}
	}
}
