package shell

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/lab/stubs"
	"github.com/gypsumrail/gypsumrail/internal/node/client"
	"github.com/gypsumrail/gypsumrail/internal/node/form"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

// testTimeout bounds each wait in the tests.
const testTimeout = 20 * time.Second

type clock struct{ start time.Time }

func (c clock) Now() gypsumrail.Millis { return gypsumrail.MillisOf(time.Since(c.start)) + 1 }

type discardLogger struct{}

func (discardLogger) Log(gypsumrail.Notice, string, gypsumrail.Reason, string) {}

type discardMeter struct{}

func (discardMeter) RecordCall(End)                                 {}
func (discardMeter) RecordStep(gypsumrail.EventKind, time.Duration) {}
func (discardMeter) RecordFault(Hop, form.Fault)                    {}

// script is a reducer for tests. It forwards calls of callers and targets to
// peer, or runs them on this node's target if peer is not set, and passes the
// answer on. If react returns true for an event, the script uses its effects.
type script struct {
	t    *testing.T
	self gypsumrail.Instance
	peer gypsumrail.Instance // zero: calls run on this node's target

	mu      sync.Mutex
	react   func(e *gypsumrail.Event) ([]gypsumrail.Effect, bool)
	events  []gypsumrail.Event
	changed chan struct{}
}

func (s *script) Step(e *gypsumrail.Event) []gypsumrail.Effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.Kind != gypsumrail.Tick {
		s.events = append(s.events, *e)
		close(s.changed)
		s.changed = make(chan struct{})
	}
	if s.react != nil {
		if effects, ok := s.react(e); ok {
			return effects
		}
	}
	return s.defaultEffects(e)
}

func (s *script) defaultEffects(e *gypsumrail.Event) []gypsumrail.Effect {
	deadline := e.At + 10*gypsumrail.Second
	switch e.Kind {
	case gypsumrail.CallArrived:
		if e.Arrival.Origin == gypsumrail.FromPeer || s.peer.Name == "" {
			return []gypsumrail.Effect{{Kind: gypsumrail.RunTarget, Call: e.Call, Deadline: deadline, Key: e.Arrival.Key}}
		}
		return []gypsumrail.Effect{s.forward(e, 1)}
	case gypsumrail.TargetAnswered:
		return []gypsumrail.Effect{{Kind: gypsumrail.Answer, Call: e.Call, Report: &gypsumrail.Report{Instance: s.self.Name}}}
	case gypsumrail.AttemptAnswered:
		if e.Result.Outcome == gypsumrail.Ran && e.Result.Reason == gypsumrail.ReasonNone {
			return []gypsumrail.Effect{{Kind: gypsumrail.Answer, Call: e.Call, Attempt: e.Attempt}}
		}
		return refusal(e)
	case gypsumrail.AttemptFailed, gypsumrail.TargetFailed:
		return refusal(e)
	case gypsumrail.CallerGone:
		return []gypsumrail.Effect{{Kind: gypsumrail.CancelAttempt, Call: e.Call, Attempt: 1}, {Kind: gypsumrail.CancelTarget, Call: e.Call}}
	case gypsumrail.Exchanged:
		if e.Call != 0 {
			return []gypsumrail.Effect{{Kind: gypsumrail.SendExchange, Call: e.Call, To: e.Peer, Exchange: &gypsumrail.Exchange{From: s.self, Answer: true}}}
		}
	case gypsumrail.RecordsRead, gypsumrail.InstancesRead:
		return []gypsumrail.Effect{{Kind: gypsumrail.Adopt, Value: e.Value}}
	case gypsumrail.ResolveAsked:
		return []gypsumrail.Effect{{Kind: gypsumrail.ResolveReply, Call: e.Call, Outcome: gypsumrail.NotRun, Report: &gypsumrail.Report{Instance: s.self.Name}}}
	case gypsumrail.TicketsAsked:
		return []gypsumrail.Effect{{Kind: gypsumrail.Tickets, Call: e.Call, Keys: []string{e.Arrival.Service + "-key"}}}
	case gypsumrail.DrainAsked:
		return []gypsumrail.Effect{{Kind: gypsumrail.Stop}}
	}
	return nil
}

func (s *script) forward(e *gypsumrail.Event, attempt int) gypsumrail.Effect {
	f := gypsumrail.Effect{Kind: gypsumrail.Forward, Call: e.Call, Attempt: attempt, To: s.peer, Deadline: e.At + 10*gypsumrail.Second, Importance: 5, Allowance: 2}
	if e.Arrival != nil && e.Arrival.Key != "" {
		f.Key, f.HomeAttempt = e.Arrival.Key, 257
	}
	return f
}

func refusal(e *gypsumrail.Event) []gypsumrail.Effect {
	return []gypsumrail.Effect{{Kind: gypsumrail.Refuse, Call: e.Call, Outcome: e.Result.Outcome, Reason: e.Result.Reason}}
}

// await returns the first event that satisfies ok. It may have happened before
// await is called.
func (s *script) await(ok func(e gypsumrail.Event) bool) gypsumrail.Event {
	s.t.Helper()
	deadline := time.After(testTimeout)
	for {
		s.mu.Lock()
		changed := s.changed
		for _, e := range s.events {
			if ok(e) {
				s.mu.Unlock()
				return e
			}
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			s.t.Fatalf("%s: no matching event within the time limit; got %v", s.self.Name, s.kinds())
		}
	}
}

func (s *script) awaitKind(kind gypsumrail.EventKind) gypsumrail.Event {
	s.t.Helper()
	return s.await(func(e gypsumrail.Event) bool { return e.Kind == kind })
}

func (s *script) kinds() []gypsumrail.EventKind {
	s.mu.Lock()
	defer s.mu.Unlock()
	var kinds []gypsumrail.EventKind
	for _, e := range s.events {
		kinds = append(kinds, e.Kind)
	}
	return kinds
}

func (s *script) count(kind gypsumrail.EventKind) int {
	n := 0
	for _, k := range s.kinds() {
		if k == kind {
			n++
		}
	}
	return n
}

// node is a running shell with a scripted reducer.
type node struct {
	*script
	shell *Shell
	ports Addresses
	ended chan struct{}
}

type options struct {
	target          string
	platform        string
	seeds           []string
	receiptTimeouts client.ReceiptTimeouts
	react           func(e *gypsumrail.Event) ([]gypsumrail.Effect, bool)
}

func startNode(t *testing.T, name string, o options) *node {
	t.Helper()
	anyPorts := Addresses{"127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"}
	listeners, err := Listen(t.Context(), anyPorts)
	if err != nil {
		t.Fatal(err)
	}
	n := &node{ports: listeners.Addresses(), ended: make(chan struct{})}
	self := gypsumrail.Instance{Name: name, Service: "svc", Zone: "z", Address: n.ports.Peers, Incarnation: 1, Version: 1, State: gypsumrail.Live}
	n.script = &script{t: t, self: self, react: o.react, changed: make(chan struct{})}
	if o.platform == "" {
		o.platform = "127.0.0.1:1"
	}
	n.shell = New(Settings{Self: self, Target: o.target, Platform: o.platform, Seeds: o.seeds, ReceiptTimeouts: o.receiptTimeouts}, Parts{
		Reducer: n.script,
		Status:  func() any { return "scripted" },
		ParseRecords: func(content []byte) (*gypsumrail.Records, error) {
			if strings.Contains(string(content), "faulty") {
				return nil, io.ErrUnexpectedEOF
			}
			return &gypsumrail.Records{}, nil
		},
		Logger: discardLogger{}, Meter: discardMeter{}, Clock: clock{time.Now()},
	}, listeners)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer close(n.ended)
		_ = n.shell.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-n.ended
	})
	return n
}

// startPair starts a node with a target (home), and a node that forwards its
// calls to home through a relay (entry).
func startPair(t *testing.T, target string, o options) (entry, home *node, relay *stubs.Relay) {
	t.Helper()
	home = startNode(t, "home", options{target: target})
	relay, err := stubs.NewRelay(home.ports.Peers)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	entry = startNode(t, "entry", o)
	entry.mu.Lock()
	entry.peer = home.self
	entry.peer.Address = relay.Address()
	entry.mu.Unlock()
	return entry, home, relay
}

func target(t *testing.T, settings stubs.TargetSettings) *stubs.Target {
	t.Helper()
	target, err := stubs.NewTarget(settings)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(target.Close)
	return target
}

func sendCall(ctx context.Context, address, method, path, request string, body io.Reader, header ...string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return nil, err
	}
	r.Header.Set(wire.HeaderService, "svc")
	r.Header.Set(wire.HeaderClass, "read")
	r.Header.Set(wire.HeaderRequest, request)
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	httpClient := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: testTimeout}
	return httpClient.Do(r)
}

var errNotServed = errors.New("not answered by the target")

// callAndCheck sends a call and returns an error unless the target answered and
// the body of the answer is complete. An answer with another status than 200
// wraps errNotServed.
func callAndCheck(ctx context.Context, address, request string, body io.Reader, header ...string) error {
	answer, err := sendCall(ctx, address, http.MethodPost, "/x", request, body, header...)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		body, err := io.ReadAll(answer.Body)
		return fmt.Errorf("%s was answered with status %d: %q (%w)", request, answer.StatusCode, body, errors.Join(errNotServed, err))
	}
	return stubs.CheckBody(answer.Body, request)
}
