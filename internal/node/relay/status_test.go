package relay_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/gypsumrail/gypsumrail/internal/lab/stubs"
)

// notResponses are first lines that a side in trouble may send instead of a status line.
var notResponses = []string{
	"HTTP/1.1 000 X", "HTTP/1.1 099 X", "HTTP/1.1 600 X", "HTTP/1.1 999 X", "HTTP/1.1 1000 X", "HTTP/1.1 20 X", "HTTP/1.1 2 0",
	"HTTP/1.1 +20 X", "HTTP/1.1 -20 X", "HTTP/1.1 2x0 X", "HTTP/1.1  200 X", "HTTP/1.1 200X", "HTTP/1.1 ", "HTTP/1.1",
	"HTTP/2.0 200 X", "HTTP/1.2 200 X", "http/1.1 200 X", "HTTP/1.1 101 X", "X", "",
}

// interims are interim responses before a valid answer.
func interims(n int) string { return strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", n) }

// Guards against a first line that is no status line and reaches the client as an answer: the
// head is read into a type in which the status 0 stands for 200. The request may have run, so
// it is sent to no other target unless it is repeatable.
func TestNoStatusLineOfTarget(t *testing.T) {
	for _, test := range []struct {
		method, path string
		runs         int
		status       int
	}{{http.MethodPost, "/once/1", 1, http.StatusBadGateway}, {http.MethodGet, "/read/1", 2, http.StatusOK}} {
		t.Run(test.method, func(t *testing.T) {
			t.Parallel()
			next := &atomic.Pointer[string]{} // the first line of the next answer
			answer := func(conn net.Conn, r *http.Request, body string) {
				line := next.Swap(nil)
				if line == nil {
					writeEcho(conn, r, body)
					return
				}
				fmt.Fprintf(conn, "%s\r\nX-Id: %s\r\nX-Proof: p\r\nConnection: close\r\nContent-Length: 3\r\n\r\nbad", *line, r.Header.Get("X-Id"))
				_ = conn.Close()
			}
			entry, targets, _ := deployment(t, answer, answer)
			for i, line := range append(notResponses, interims(1)+"HTTP/1.1 000 X", interims(1000)+"HTTP/1.1 200 OK") {
				next.Store(&line)
				before := targets[1].count() + targets[2].count()
				answer, body := sendRequest(t, entry, test.method, test.path, fmt.Sprintf("id-%d", i), "")
				runs := targets[1].count() + targets[2].count() - before
				if answer.StatusCode != test.status || body == "bad" || runs != test.runs {
					t.Errorf("%.40q: status %d, body %q after %d runs, want %d after %d", line, answer.StatusCode, body, runs, test.status, test.runs)
				}
				for j := range 10 { // successes earn retries and end the count of failures
					_, _ = sendRequest(t, entry, test.method, test.path, fmt.Sprintf("ok-%d-%d", i, j), "")
				}
			}
			for i, line := range []string{
				"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.1 599 X", "HTTP/1.1 404 X",
				interims(3) + "HTTP/1.1 200 OK", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 X",
			} {
				next.Store(&line)
				before := targets[1].count() + targets[2].count()
				_, body := sendRequest(t, entry, test.method, test.path, fmt.Sprintf("good-%d", i), "")
				// The failure of one target is an answer. A repeatable request may get that of
				// another target instead.
				runs := targets[1].count() + targets[2].count() - before
				if isRetried := strings.Contains(line, "599") && test.method == http.MethodGet && runs == 2; body != "bad" && !isRetried {
					t.Errorf("%.40q: body %q after %d runs, want that of the first target", line, body, runs)
				}
			}
		})
	}
}

// Guards against the same on the hop between nodes.
func TestNoStatusLineOfPeer(t *testing.T) {
	next := make(chan string, 1)
	peer := stubs.Raw(t, func(conn net.Conn, r *http.Request) {
		if !isControl(r) {
			fmt.Fprintf(conn, "%s\r\nX-Id: %s\r\nX-Proof: p\r\n"+peerAnswer+"Connection: close\r\nContent-Length: 3\r\n\r\nbad", <-next, r.Header.Get("X-Id"))
		}
	})
	front := newTarget(t, writeEcho)
	entry, _ := startRaw(t, front.listener.Addr().String(), peer)
	for i, line := range append(notResponses, interims(1)+"HTTP/1.1 000 X", interims(1000)+"HTTP/1.1 200 OK") {
		next <- line
		answer, body := sendRequest(t, entry, http.MethodPost, "/once/1", fmt.Sprintf("id-%d", i), "")
		if answer.StatusCode != http.StatusBadGateway {
			t.Errorf("%.40q: status %d, body %q, want 502", line, answer.StatusCode, body)
		}
		next <- "HTTP/1.1 200 OK" // a success ends the count of failures
		if answer, body := sendRequest(t, entry, http.MethodPost, "/once/1", fmt.Sprintf("ok-%d", i), ""); body != "bad" {
			t.Fatalf("a valid answer: status %d, body %q", answer.StatusCode, body)
		}
	}
}
