package stubs

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

// send sends a POST, or a GET for a value of the platform.
func send(t *testing.T, url string, header ...string) (*http.Response, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(url, "/values/") {
		r.Method = http.MethodGet
	}
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return client.Do(r)
}

// Guards against a platform stub whose watch misses a publication or whose
// injected faults have no effect.
func TestPlatform(t *testing.T) {
	p, err := NewPlatform("")
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	url := "http://" + p.Address() + "/values/Records"
	first := p.Publish(gypsumrail.ValueRecords, []byte("one"))
	watched := make(chan string, 1)
	go func() {
		answer, err := send(t, url+"?After=1&Wait=60000")
		if err != nil {
			watched <- err.Error()
			return
		}
		body, _ := io.ReadAll(answer.Body)
		watched <- answer.Header.Get("Revision") + " " + string(body)
	}()
	if second := p.Publish(gypsumrail.ValueRecords, []byte("two")); second != first+1 {
		t.Errorf("revision %d after %d", second, first)
	}
	if got := <-watched; got != "2 two" {
		t.Errorf("the watch got %q", got)
	}
	p.SetStale(1)
	answer, err := send(t, url)
	if err != nil || answer.Header.Get("Revision") != "1" {
		t.Errorf("stale platform: %v, %v", answer, err)
	}
	if answer, err = send(t, url+"?After=1"); err != nil || answer.StatusCode != http.StatusNoContent {
		t.Errorf("nothing new: %v, %v", answer, err)
	}
	p.SetDown(true)
	if _, err = send(t, url); err == nil {
		t.Error("a platform that is down answered")
	}
	if total, _ := p.Calls(); total != 4 {
		t.Errorf("%d calls counted", total)
	}
}

// Guards against a target stub that miscounts runs, sends a cut body that CheckBody
// accepts, or does not apply its other faults.
func TestTarget(t *testing.T) {
	target, err := NewTarget(TargetSettings{Name: "t", AnswerBytes: 100_000})
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	url := "http://" + target.Address() + "/"
	read := func() error {
		answer, err := send(t, url, wire.HeaderRequest, "r-1", wire.HeaderKey, "k")
		if err != nil {
			return err
		}
		defer func() { _ = answer.Body.Close() }()
		return CheckBody(answer.Body, "r-1")
	}
	if err := read(); err != nil {
		t.Error(err)
	}
	target.SetCut(50_000)
	if err := read(); err == nil {
		t.Error("a cut body passed as whole")
	}
	if target.RunsOfRequest("r-1") != 2 || target.RunsOfKey("k") != 2 || target.TotalRuns() != 2 {
		t.Errorf("counted %d, %d, %d runs", target.RunsOfRequest("r-1"), target.RunsOfKey("k"), target.TotalRuns())
	}
	target.SetCut(-1)
	target.SetRefusing(true)
	if answer, err := send(t, url); err != nil || answer.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("a refusing target: %v, %v", answer, err)
	}
	target.SetRefusing(false)
	target.Crash()
	if err := read(); err == nil {
		t.Error("a crashed target answered")
	}
	if err := target.Restart(); err != nil {
		t.Fatal(err)
	}
	if err := read(); err != nil {
		t.Error(err)
	}
}

// Guards against a check that accepts a body that is too short, too long or of
// another request.
func TestCheckBody(t *testing.T) {
	whole, err := io.ReadAll(newAnswerBody("t", "r-1", 500))
	if err != nil || len(whole) != 500 {
		t.Fatalf("%d bytes, %v", len(whole), err)
	}
	tests := []struct {
		name string
		body []byte
		ok   bool
	}{
		{"whole", whole, true},
		{"short", whole[:499], false},
		{"long", append(bytes.Clone(whole), 'x'), false},
		{"foreign", bytes.Replace(whole, []byte("r-1\nr-1"), []byte("r-1\nr-2"), 1), false},
		{"empty", nil, false},
	}
	for _, test := range tests {
		if err := CheckBody(bytes.NewReader(test.body), "r-1"); (err == nil) != test.ok {
			t.Errorf("%s: %v", test.name, err)
		}
	}
	if err := CheckBody(bytes.NewReader(whole), "r-2"); err == nil {
		t.Error("the answer of another request passed")
	}
}

// Guards against a relay that applies Silence or Cut to new connections, ignores
// SetRefusing or miscounts connections.
func TestRelay(t *testing.T) {
	target, err := NewTarget(TargetSettings{})
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	relay, err := NewRelay(target.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	url := "http://" + relay.Address() + "/"
	if _, err := send(t, url); err != nil {
		t.Error(err)
	}
	relay.Silence()
	relay.Cut()
	if _, err := send(t, url); err != nil {
		t.Errorf("a new connection after Silence and Cut: %v", err)
	}
	relay.SetRefusing(true)
	if _, err := send(t, url); err == nil {
		t.Error("a refusing relay passed a call on")
	}
	if relay.Opened() != 3 {
		t.Errorf("%d connections were opened", relay.Opened())
	}
}

// Guards against a target that answers 503 because an outgoing call of it was
// rejected with 503. A node would conclude that this target is overloaded.
func TestTargetBelow(t *testing.T) {
	below, err := NewTarget(TargetSettings{Name: "below"})
	if err != nil {
		t.Fatal(err)
	}
	defer below.Close()
	below.SetRefusing(true)
	target, err := NewTarget(TargetSettings{Name: "t", Calls: []string{"below"}, Egress: below.Address()})
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	answer, err := send(t, "http://"+target.Address()+"/", wire.HeaderRequest, "r-1")
	if err != nil || answer.StatusCode != http.StatusBadGateway {
		t.Errorf("answered %v, %v", answer, err)
	}
}
