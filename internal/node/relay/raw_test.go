package relay_test

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gypsumrail/gypsumrail"
)

// uploadBytesMax is the longest body of a request that the records of raw deployments allow.
const uploadBytesMax = 16 << 20

// startRaw starts a node of service front beside a target at an address. If peer is not empty,
// it is the address of a node of service back, for requests below /once/ and /read/. Requests
// below /own/ run on the target of front.
func startRaw(t *testing.T, target, peer string) (*sidecar, *store) {
	t.Helper()
	platform := newStore()
	records := testRecords(1)
	records.Limits.BodyBytes = uploadBytesMax
	platform.put("records", records)
	entry := startNode(t, "front", "front", target, platform)
	platform.put("instances/f", gypsumrail.Instance{Name: "f", Service: "front", Zone: "z", Address: entry.ports.Peers, State: gypsumrail.Live, Slots: 4})
	if peer != "" {
		platform.put("instances/b0", gypsumrail.Instance{Name: "b0", Service: "back", Zone: "z", Address: peer, State: gypsumrail.Live, Slots: 4})
	}
	entry.awaitReady(t)
	time.Sleep(300 * time.Millisecond) // a node may be ready before its list has the last instance
	return entry, platform
}

// peerAnswer is the header of a node's answer that passes on one of its target.
const peerAnswer = "Gypsumrail-Answer: Ran - b0 0 0 0 0 0 0 4 0 0 0 0 0\r\n"

// isControl reports whether a request to a raw peer is a control message.
func isControl(r *http.Request) bool { return r.Header.Get("Gypsumrail-Call") == "" }

// logBuffer collects the log of a node.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p) //nolint:wrapcheck // never fails
}

// lines returns the lines that contain all parts.
func (b *logBuffer) lines(parts ...string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var lines []string
	for line := range strings.Lines(b.text.String()) {
		missing := false
		for _, part := range parts {
			missing = missing || !strings.Contains(line, part)
		}
		if !missing {
			lines = append(lines, line)
		}
	}
	return lines
}

// metricLines returns the lines of a node's metrics that begin with a prefix.
func metricLines(t *testing.T, s *sidecar, prefix string) string {
	t.Helper()
	answer, err := http.Get("http://" + s.ports.Admin + "/metrics") //nolint:noctx // loopback
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	var found strings.Builder
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, prefix) {
			found.WriteString(line)
		}
	}
	return found.String()
}

// awaitLog waits until a line of a node's log contains all parts.
func (s *sidecar) awaitLog(t *testing.T, parts ...string) {
	t.Helper()
	for range 200 {
		if len(s.log.lines(parts...)) > 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("no line of the log has %q", parts)
}
