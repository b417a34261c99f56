package relay_test

import (
	"bufio"
	"encoding/json"
	"net/http"
	"testing"

	"github.com/gypsumrail/gypsumrail"
)

// Guards against a node for plain requests whose decisions cannot be recorded:
// 'gypsumrail record' reads the events of a node from its admin port.
func TestEvents(t *testing.T) {
	entry, _, _ := deployment(t, whole)
	stream, err := http.Get("http://" + entry.ports.Admin + "/events") //nolint:noctx // ends with the node
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stream.Body.Close() }()
	if answer, _ := ask(t, entry, http.MethodGet, "/read/x", "r1", ""); answer.StatusCode != http.StatusOK {
		t.Fatalf("status %d", answer.StatusCode)
	}
	lines := bufio.NewScanner(stream.Body)
	for lines.Scan() {
		var e gypsumrail.Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			t.Fatal(err)
		}
		if e.Kind == gypsumrail.CallArrived && e.Arrival.Request == "r1" {
			return
		}
	}
	t.Error("the stream ended without the call")
}
