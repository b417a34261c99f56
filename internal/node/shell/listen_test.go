package shell

import (
	"context"
	"testing"
	"time"

	"github.com/gypsumrail/gypsumrail"
)

// A node whose context ends right after its start must have closed its ports when
// Run returns. Otherwise the next run could not open them.
func TestPortsAreFreeAfterRun(t *testing.T) {
	ports := Addresses{"127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"}
	for range 300 {
		listeners, err := Listen(t.Context(), ports)
		if err != nil {
			t.Fatal(err)
		}
		ports = listeners.Addresses()
		reducer := &script{t: t, changed: make(chan struct{}), react: func(*gypsumrail.Event) ([]gypsumrail.Effect, bool) { return nil, true }}
		s := New(Settings{Platform: "127.0.0.1:1"}, Parts{
			Reducer: reducer, Logger: discardLogger{}, Meter: discardMeter{}, Clock: clock{time.Now()},
		}, listeners)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if err := s.Run(ctx); err != nil {
			t.Fatal(err)
		}
	}
}
