package relay_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/lab/xfail"
	"github.com/gypsumrail/gypsumrail/internal/node/admin"
)

// crasher is a service of targets that crash when they run a request whose path ends in
// "deadly", and are back some time later.
type crasher struct {
	down    time.Duration
	targets []*target

	mu      sync.Mutex
	mended  bool        // deadly requests are answered
	runs    []time.Time // of deadly requests
	crashes []time.Time
}

// answer returns the answers of one of the targets.
func (c *crasher) answer(i int) func(net.Conn, *http.Request, string) {
	return func(conn net.Conn, r *http.Request, body string) {
		c.mu.Lock()
		deadly := strings.HasSuffix(r.URL.Path, "deadly") && !c.mended
		if deadly {
			c.runs = append(c.runs, time.Now())
		}
		c.mu.Unlock()
		time.Sleep(40 * time.Millisecond)
		if !deadly {
			writeEcho(conn, r, body)
			return
		}
		c.mu.Lock()
		c.crashes = append(c.crashes, time.Now())
		c.mu.Unlock()
		c.targets[i+1].crash(c.down)
	}
}

// Guards against one request that crashes each target that runs it, time after time, and
// takes the whole service down (BUDGET): its attempts have new identities, arrive at
// any node, and innocent requests run beside them. Its callers may leave before the target
// ends.
func TestRequestThatCrashesTargets(t *testing.T) {
	for _, test := range []struct {
		name, method, path string
		patience           time.Duration // of the callers of the deadly request; 0: they wait
	}{
		{"repeatable", http.MethodGet, "/read/", 0},
		{"not repeatable", http.MethodPost, "/once/", 0},
		{"its callers leave", http.MethodGet, "/read/", 20 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			xfail.SkipListed(t, "../../../KNOWN-RED.txt", "relay", *redFlag)
			c := &crasher{down: 400 * time.Millisecond}
			answers := make([]func(net.Conn, *http.Request, string), 4)
			for i := range answers {
				answers[i] = c.answer(i)
			}
			entry, targets, _ := deployment(t, answers...)
			c.targets = targets
			began := time.Now()
			var work sync.WaitGroup
			var mu sync.Mutex
			innocents, served := 0, 0
			for i := 0; time.Since(began) < 6*time.Second; i++ {
				work.Go(func() { sendDeadly(t, entry, test.method, test.path+"deadly", i, test.patience) })
				for j := range 2 {
					late := time.Since(began) > 2*time.Second
					work.Go(func() {
						answer, _ := sendRequest(t, entry, test.method, fmt.Sprintf("%s%d-%d", test.path, i, j), fmt.Sprintf("i%d-%d", i, j), "")
						if !late {
							return
						}
						mu.Lock()
						defer mu.Unlock()
						innocents++
						if answer.StatusCode == http.StatusOK {
							served++
						}
					})
				}
				time.Sleep(50 * time.Millisecond)
			}
			work.Wait()
			c.mu.Lock()
			defer c.mu.Unlock()
			// The users allow three crashes, and three more sends once three seconds have passed.
			if len(c.runs) > 6 {
				t.Errorf("%d runs of the request, %d crashes in 6 s, want at most 6 runs", len(c.runs), len(c.crashes))
			}
			if served < innocents*98/100 {
				t.Errorf("%d of %d innocent requests served from 2 s on, want 98%%", served, innocents)
			}
		})
	}
}

// sendDeadly sends the deadly request once. With a patience, its caller leaves after that.
func sendDeadly(t *testing.T, entry *sidecar, method, path string, i int, patience time.Duration) {
	t.Helper()
	id := fmt.Sprintf("d%d", i)
	if patience == 0 {
		sendRequest(t, entry, method, path, id, "")
		return
	}
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	answer, err := http.DefaultClient.Do(newRequest(t, entry, method, path, id, "").WithContext(ctx))
	if err == nil {
		_ = answer.Body.Close()
	}
}

// Guards against a quarantine that no operator can see or end: the request must be in the
// status of a node beside a target that never ran it, and run again at all nodes after
// its release at that one.
func TestRelease(t *testing.T) {
	c := &crasher{down: 50 * time.Millisecond}
	answers := make([]func(net.Conn, *http.Request, string), 4)
	for i := range answers {
		answers[i] = c.answer(i)
	}
	entry, targets, _ := deployment(t, answers...)
	c.targets = targets
	judgments := func() []gypsumrail.Judgment {
		status, err := admin.NewClient(entry.ports.Admin).Status(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		return status.Node.Judgments
	}
	for i := 0; len(judgments()) == 0 || judgments()[0].Standing != gypsumrail.Quarantined; i++ {
		if i == 100 {
			t.Fatal("the request is not quarantined after 100 attempts")
		}
		sendRequest(t, entry, http.MethodGet, "/read/deadly", fmt.Sprintf("d%d", i), "")
		time.Sleep(20 * time.Millisecond)
	}
	c.mu.Lock()
	c.mended = true
	c.mu.Unlock()
	if got, _ := sendRequest(t, entry, http.MethodGet, "/read/deadly", "refused", ""); got.StatusCode != http.StatusServiceUnavailable || got.Header.Get("Retry-After") == "" {
		t.Errorf("a quarantined request was answered %d with Retry-After %q, want 503 with one", got.StatusCode, got.Header.Get("Retry-After"))
	}
	held, err := admin.NewClient(entry.ports.Admin).Release(t.Context(), judgments()[0].Fingerprint)
	if err != nil || !held {
		t.Fatalf("release: held %v, %v", held, err)
	}
	time.Sleep(1500 * time.Millisecond) // the nodes beside the targets learn of it
	for i := range 8 {
		if got, _ := sendRequest(t, entry, http.MethodGet, "/read/deadly", fmt.Sprintf("r%d", i), ""); got.StatusCode != http.StatusOK {
			t.Errorf("a released request was answered %d", got.StatusCode)
		}
	}
	if diff := cmp.Diff(0, len(judgments())); diff != "" {
		t.Errorf("requests held after the release: %s", diff)
	}
}

// Guards against callers that have a request quarantined by saying that it crashed targets.
func TestCallersCannotAccuse(t *testing.T) {
	entry, _, _ := deployment(t, writeEcho, writeEcho)
	for i := range 4 {
		r := newRequest(t, entry, http.MethodGet, "/read/accused", fmt.Sprintf("a%d", i), "")
		r.Header.Set("Gypsumrail-Crashes", "10.0.0.1:1 5,10.0.0.2:1 5 trial,10.0.0.3:1 5 trial")
		answer, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		_ = answer.Body.Close()
		if answer.StatusCode != http.StatusOK {
			t.Errorf("request %d was answered %d", i, answer.StatusCode)
		}
	}
}
