package shell

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/lab/stubs"
	"github.com/gypsumrail/gypsumrail/internal/node/peer"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

func doRequest(t *testing.T, method, url string) (int, string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	return answer.StatusCode, string(body)
}

// A node must read values from the platform, serve them to peers, and reject an
// invalid revision as a whole.
func TestValues(t *testing.T) {
	platform, err := stubs.NewPlatform("")
	if err != nil {
		t.Fatal(err)
	}
	defer platform.Close()
	platform.Publish(gypsumrail.ValueRecords, []byte("records"))
	list, err := wire.FormatInstances([]gypsumrail.Instance{{Name: "a", Service: "s", Zone: "z", Address: "127.0.0.1:9"}})
	if err != nil {
		t.Fatal(err)
	}
	platform.Publish(gypsumrail.ValueInstances, list)
	first := startNode(t, "first", options{platform: platform.Address()})
	if e := first.awaitKind(gypsumrail.RecordsRead); e.Records.Revision != 1 || e.Value.Hash != peer.HashOf([]byte("records")) || e.Peer.Name != "" {
		t.Errorf("read %+v", e)
	}
	if e := first.awaitKind(gypsumrail.InstancesRead); len(e.Instances) != 1 || e.Instances[0].Name != "a" {
		t.Errorf("read %+v", e)
	}
	for {
		if status, _ := doRequest(t, http.MethodGet, "http://"+first.ports.Admin+"/readyz"); status == http.StatusOK {
			break
		}
		time.Sleep(time.Millisecond)
	}
	// A second node cannot reach the platform and pulls from the first.
	wanted := gypsumrail.ValueVersion{Name: gypsumrail.ValueRecords, Revision: 1}
	second := startNode(t, "second", options{seeds: []string{first.ports.Peers}, react: func(e *gypsumrail.Event) ([]gypsumrail.Effect, bool) {
		if e.Kind == gypsumrail.Exchanged && e.Call == 0 {
			return []gypsumrail.Effect{{Kind: gypsumrail.Pull, To: e.Exchange.From, Value: wanted}}, true
		}
		return nil, false
	}})
	if e := second.awaitKind(gypsumrail.RecordsRead); e.Peer.Name != "first" || e.Value.Hash != peer.HashOf([]byte("records")) {
		t.Errorf("pulled %+v", e)
	}
	// The watch skips an invalid revision and continues with the next.
	first.shell.mu.Lock()
	first.shell.watch(true)
	first.shell.mu.Unlock()
	platform.Publish(gypsumrail.ValueRecords, []byte("faulty"))
	platform.Publish(gypsumrail.ValueRecords, []byte("third"))
	first.await(func(e gypsumrail.Event) bool { return e.Kind == gypsumrail.RecordsRead && e.Value.Revision == 3 })
	if first.count(gypsumrail.RecordsRead) != 2 {
		t.Error("the reducer got an invalid revision")
	}
}

// The answers of control messages must reach the reducer. The answer to an answer
// must not, because the two nodes would then exchange answers without end.
func TestControl(t *testing.T) {
	first := startNode(t, "first", options{})
	second := startNode(t, "second", options{})
	send := func(answer bool) {
		first.shell.mu.Lock()
		defer first.shell.mu.Unlock()
		first.shell.perform(0, &gypsumrail.Effect{Kind: gypsumrail.SendExchange, To: second.self, Exchange: &gypsumrail.Exchange{From: first.self, Answer: answer}})
	}
	send(false)
	if e := second.awaitKind(gypsumrail.Exchanged); e.Call == 0 || e.Exchange.From.Name != "first" {
		t.Errorf("the peer got %+v", e)
	}
	if e := first.awaitKind(gypsumrail.Exchanged); e.Call != 0 || !e.Exchange.Answer || e.Peer.Name != "second" {
		t.Errorf("the answer came as %+v", e)
	}
	send(true)
	second.await(func(e gypsumrail.Event) bool { return e.Kind == gypsumrail.Exchanged && e.Exchange.Answer })
	resolve := func(to gypsumrail.Instance, id gypsumrail.CallID) gypsumrail.Event {
		first.shell.mu.Lock()
		first.shell.perform(0, &gypsumrail.Effect{Kind: gypsumrail.AskResolve, Call: id, Attempt: 1, To: to, Key: "k", HomeAttempt: 257})
		first.shell.mu.Unlock()
		return first.await(func(e gypsumrail.Event) bool { return e.Kind == gypsumrail.Resolved && e.Call == id })
	}
	if e := resolve(second.self, 7); e.Result.Outcome != gypsumrail.NotRun || e.Result.Report == nil {
		t.Errorf("resolved as %+v", e.Result)
	}
	gone := second.self
	gone.Address = "127.0.0.1:1"
	if e := resolve(gone, 8); e.Result.Outcome != gypsumrail.Unknown || e.Result.Reason != gypsumrail.ReasonHomeGone {
		t.Errorf("an unreachable home resolved as %+v", e.Result)
	}
	first.shell.mu.Lock()
	first.shell.perform(0, &gypsumrail.Effect{Kind: gypsumrail.SendExchange, To: gone, Exchange: &gypsumrail.Exchange{From: first.self}})
	first.shell.mu.Unlock()
	first.awaitKind(gypsumrail.PeerFailed)
	if first.count(gypsumrail.Exchanged) != 1 {
		t.Error("an answer to an answer reached the reducer")
	}
}

// The admin endpoints and POST /tickets must answer, and /readyz must fail while
// the node has no records.
func TestAdminAndTickets(t *testing.T) {
	n := startNode(t, "n", options{})
	admin := "http://" + n.ports.Admin
	if status, _ := doRequest(t, http.MethodGet, admin+"/healthz"); status != http.StatusOK {
		t.Errorf("healthz %d", status)
	}
	if status, _ := doRequest(t, http.MethodGet, admin+"/readyz"); status != http.StatusServiceUnavailable {
		t.Errorf("readyz %d without records", status)
	}
	status, body := doRequest(t, http.MethodGet, admin+"/status")
	var got struct{ Node string }
	if err := json.Unmarshal([]byte(body), &got); status != http.StatusOK || err != nil || got.Node != "scripted" {
		t.Errorf("status %d %s", status, body)
	}
	stream, err := http.Get(admin + "/events") //nolint:noctx // ends with the node
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stream.Body.Close() }()
	tickets := "http://" + n.ports.Callers + "/tickets"
	if status, body := doRequest(t, http.MethodPost, tickets+"?Service=svc&Class=order&Count=2"); status != http.StatusOK || body != `{"Keys":["svc-key"]}` {
		t.Errorf("tickets %d %s", status, body)
	}
	if status, body := doRequest(t, http.MethodPost, tickets+"?Service=svc&Class=order&Count=65"); status != http.StatusBadRequest || !strings.Contains(body, "Count") {
		t.Errorf("too many tickets %d %s", status, body)
	}
	lines := bufio.NewScanner(stream.Body)
	for lines.Scan() {
		var e gypsumrail.Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			t.Fatal(err)
		}
		if e.Kind == gypsumrail.TicketsAsked {
			return
		}
	}
	t.Error("the stream ended without the event")
}

// manualClock returns the time that a test sets.
type manualClock struct{ now gypsumrail.Millis }

func (c *manualClock) Now() gypsumrail.Millis { return c.now }

// After a pause of the process the reducer must get a tick before any other event.
func TestPauseIsNoticedFirst(t *testing.T) {
	var order []gypsumrail.EventKind
	n := &script{t: t, changed: make(chan struct{}), react: func(e *gypsumrail.Event) ([]gypsumrail.Effect, bool) {
		order = append(order, e.Kind)
		return nil, true
	}}
	paused := &manualClock{now: 1}
	s := New(Settings{}, Parts{Reducer: n, Logger: discardLogger{}, Meter: discardMeter{}, Clock: paused}, nil)
	paused.now = gypsumrail.Minute
	s.post(&gypsumrail.Event{Kind: gypsumrail.DrainAsked})
	s.post(&gypsumrail.Event{Kind: gypsumrail.DrainAsked})
	if len(order) != 3 || order[0] != gypsumrail.Tick {
		t.Errorf("the reducer got %v", order)
	}
	s.log.Close()
}

// Run must return when the drain is complete. Listen must reject an egress address
// that other hosts can reach.
func TestDrainAndListen(t *testing.T) {
	n := startNode(t, "n", options{})
	n.awaitReady()
	n.shell.Drain()
	select {
	case <-n.ended:
	case <-time.After(testTimeout):
		t.Fatal("the node did not end")
	}
	if _, err := Listen(t.Context(), Addresses{"127.0.0.1:0", "0.0.0.0:0", "127.0.0.1:0", "127.0.0.1:0"}); err == nil {
		t.Error("an egress port on all addresses was opened")
	}
}

// awaitReady waits until the admin port answers.
func (n *node) awaitReady() {
	for {
		answer, err := http.Get("http://" + n.ports.Admin + "/healthz") //nolint:noctx // loopback
		if err == nil {
			_ = answer.Body.Close()
			return
		}
		time.Sleep(time.Millisecond)
	}
}
