package relay_test

import (
	"bufio"
	"encoding/json"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/lab/replay"
	"github.com/gypsumrail/gypsumrail/internal/lab/trace"
	"github.com/gypsumrail/gypsumrail/internal/node/admin"
)

// A replay of the recorded event stream of a node for plain requests must make the
// same decisions. It would not if the stream omitted the records and instances that
// were in force before its first event.
func TestEvents(t *testing.T) {
	entry, _, _ := deployment(t, writeEcho)
	var status admin.Status
	answer, err := http.Get("http://" + entry.ports.Admin + "/status") //nolint:noctx // loopback
	if err == nil {
		err = json.NewDecoder(answer.Body).Decode(&status)
		_ = answer.Body.Close()
	}
	if err != nil || !status.Node.Plain {
		t.Fatalf("status %+v, %v", status, err)
	}
	stream, err := http.Get("http://" + entry.ports.Admin + "/events") //nolint:noctx // ends with the node
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stream.Body.Close() }()
	if answer, _ := sendRequest(t, entry, http.MethodGet, "/read/x", "r1", ""); answer.StatusCode != http.StatusOK {
		t.Fatalf("status %d", answer.StatusCode)
	}
	file := &trace.File{Header: trace.Header{Kind: trace.KindNode, Plain: true, Self: status.Node.Self}}
	lines := bufio.NewScanner(stream.Body)
	for lines.Scan() {
		var e gypsumrail.Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			t.Fatal(err)
		}
		file.Events = append(file.Events, e)
		if e.Kind == gypsumrail.AnswerDone {
			break
		}
	}
	result := replay.RunNode(file)
	got := map[gypsumrail.EffectKind]int{}
	for _, kind := range []gypsumrail.EffectKind{gypsumrail.Forward, gypsumrail.Answer, gypsumrail.Refuse} {
		got[kind] = result.Effects[kind]
	}
	if diff := cmp.Diff(map[gypsumrail.EffectKind]int{gypsumrail.Forward: 1, gypsumrail.Answer: 1, gypsumrail.Refuse: 0}, got); diff != "" {
		t.Errorf("effects of the replay of %d events, refusals %v: %s", len(file.Events), result.Refusals, diff)
	}
}
