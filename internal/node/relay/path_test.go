package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// A request and its answer must arrive unchanged. Hop-by-hop headers must not be
// passed on, and a client must not be able to set the headers of the node.
func TestPath(t *testing.T) {
	entry, targets, _ := deployment(t, writeEcho)
	for _, test := range []struct {
		method, path, body string
		at                 int
	}{
		{"GET", "/read/a?b=%2F&c", "", 1}, {"POST", "/once/x", strings.Repeat("y", 50_000), 1}, {"DELETE", "/own/1", "", 0},
	} {
		r := newRequest(t, entry, test.method, test.path, "id-1", test.body)
		r.Header.Set("X-Origin", "forged")
		r.Header.Set("X-Expect", "forged")
		r.Header.Set("X-Other", "kept")
		r.Header.Set("Connection", "X-Drop")
		r.Header.Set("X-Drop", "1")
		answer, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		text, _ := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if want := test.method + " " + test.path + " " + test.body; answer.StatusCode != http.StatusOK || string(text) != want {
			t.Fatalf("%s %s: status %d, %d bytes of %d", test.method, test.path, answer.StatusCode, len(text), len(want))
		}
		if answer.Header.Get("X-Kept") != "yes" || answer.Header.Get("X-Proof") != "p" || answer.Header.Get("Gypsumrail-Answer") != "" {
			t.Errorf("the answer has wrong headers: %v", answer.Header)
		}
		runs := targets[test.at].runs
		got := runs[len(runs)-1]
		left, err := strconv.Atoi(got.Header.Get("X-Left"))
		if err != nil || left > 1500 || left < 1000 {
			t.Errorf("remaining time at the target is %q ms, want 1000 to 1500", got.Header.Get("X-Left"))
		}
		want := map[string]string{
			"X-Origin": "front", "X-Expect": map[int]string{0: "f", 1: "b0"}[test.at], "X-Other": "kept", "X-Drop": "", "X-Id": "id-1",
			"Gypsumrail-Call": "",
		}
		for name, value := range want {
			if strings.Join(got.Header.Values(name), ",") != value {
				t.Errorf("%s at the target is %q, want %q", name, got.Header.Values(name), value)
			}
		}
		if got.Host != "h" {
			t.Errorf("the target received the host %q, want h", got.Host)
		}
	}
}

// Truncated, mismatched and malformed answers must neither reach another request nor
// be passed on as complete. A request that is not repeatable must not run twice.
func TestBadAnswers(t *testing.T) {
	raw := func(format string) func(net.Conn, *http.Request, string) {
		return func(conn net.Conn, r *http.Request, _ string) {
			fmt.Fprintf(conn, format, r.Header.Get("X-Id"))
			// If a target closes a connection that its answer keeps alive, the next
			// request may fail. This test does not cover that.
			if !strings.Contains(format, "Content-Length: 2\r\n") && !strings.HasSuffix(format, "0\r\n\r\n") {
				_ = conn.Close()
			}
		}
	}
	tests := []struct {
		name   string
		answer func(net.Conn, *http.Request, string)
		status int
		body   string
	}{
		{"short", raw("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Proof: p\r\nContent-Length: 20\r\n\r\nok"), 502, ""},
		{"chunks without end", raw("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Proof: p\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"), 502, ""},
		{"without proof", raw("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nok"), 502, ""},
		{"of another request only", raw("HTTP/1.1 200 OK\r\nX-Id: other-%s\r\nX-Proof: p\r\nContent-Length: 20\r\n\r\n12345678901234567890"), 502, ""},
		{"no answer at all", raw("garbage %s\r\n\r\n"), 502, ""},
		{"not run", raw("HTTP/1.1 503 Full\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 2\r\n\r\nno"), 503, ""},
		{"another instance", raw("HTTP/1.1 421 No\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nno"), 503, ""},
		{"failure of the target", raw("HTTP/1.1 503 Mine\r\nX-Id: %s\r\nX-Proof: p\r\nContent-Length: 2\r\n\r\nno"), 503, "no"},
		{"until the end of the connection", raw("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Proof: p\r\n\r\nok"), 200, "ok"},
		{"chunks", raw("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Proof: p\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), 200, "ok"},
		{"behind a stray one", func(conn net.Conn, r *http.Request, body string) {
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nX-Id: stray\r\nX-Proof: p\r\nContent-Length: 5\r\n\r\nstray")
			writeEcho(conn, r, body)
		}, 200, "POST /once/1 "},
		{"twice", func(conn net.Conn, r *http.Request, body string) {
			writeEcho(conn, r, body)
			writeEcho(conn, r, body)
		}, 200, "POST /once/1 "},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			entry, targets, _ := deployment(t, test.answer)
			for i := range 3 {
				id := fmt.Sprintf("id-%d", i)
				answer, body := sendRequest(t, entry, "POST", "/once/1", id, "")
				if answer.StatusCode != test.status || test.body != "" && body != test.body {
					t.Fatalf("request %d: status %d, body %q", i, answer.StatusCode, body)
				}
				if got := answer.Header.Get("X-Id"); got != id {
					t.Errorf("request %d got the answer to %q", i, got)
				}
				if test.status == http.StatusServiceUnavailable && test.body == "" && answer.Header.Get("Retry-After") == "" {
					t.Error("the refusal has no Retry-After header")
				}
				seen := map[string]bool{}
				for _, run := range targets[1].runs {
					if id := run.Header.Get("X-Id"); seen[id] {
						t.Errorf("%s ran twice", id)
					} else {
						seen[id] = true
					}
				}
			}
		})
	}
}

// A repeatable request must be sent to another upstream after its first one closes
// the connection without an answer.
func TestResend(t *testing.T) {
	broken := func(conn net.Conn, _ *http.Request, _ string) { _ = conn.Close() }
	entry, targets, _ := deployment(t, broken, writeEcho)
	for i := range 3 {
		if answer, body := sendRequest(t, entry, "GET", "/read/1", fmt.Sprintf("id-%d", i), ""); answer.StatusCode != http.StatusOK {
			t.Errorf("status %d, body %q; the broken and the good target received %d and %d requests", answer.StatusCode, body, targets[1].count(), targets[2].count())
		}
	}
}

// The target's connection must be closed after the client closes its own, so that
// the target stops working for it.
func TestClientLeaves(t *testing.T) {
	gone := make(chan struct{}, 2)
	entry, _, _ := deployment(t, func(conn net.Conn, _ *http.Request, _ string) {
		var b [1]byte
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		if _, err := conn.Read(b[:]); err == io.EOF { //nolint:errorlint // a bare EOF is the orderly end
			gone <- struct{}{}
		}
	})
	for _, path := range []string{"/read/1", "/once/1"} {
		conn, err := net.Dial("tcp", entry.ports.Clients) //nolint:noctx // loopback
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\nX-Id: a\r\nX-Left: 9000\r\n\r\n", path)
		time.Sleep(200 * time.Millisecond)
		_ = conn.Close()
		select {
		case <-gone:
		case <-time.After(5 * time.Second):
			t.Errorf("%s: the target's connection is still open 5 s after the client left", path)
		}
	}
}

// Malformed requests and those above a limit must not reach a target. Their status
// must be one that a client treats as final.
func TestRejected(t *testing.T) {
	entry, targets, _ := deployment(t, writeEcho)
	for _, test := range []struct {
		name, head string
		status     int
	}{
		{"long headers", "GET /read/1 HTTP/1.1\r\nHost: h\r\nX-Id: a\r\nX-Long: " + strings.Repeat("x", 3000) + "\r\n\r\n", 431},
		{"long body", "POST /once/1 HTTP/1.1\r\nHost: h\r\nX-Id: a\r\nContent-Length: 100001\r\n\r\n", 413},
		{"no identity", "GET /read/1 HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		{"malformed time", "GET /read/1 HTTP/1.1\r\nHost: h\r\nX-Id: a\r\nX-Left: soon\r\n\r\n", 400},
		{"no route", "GET /nowhere HTTP/1.1\r\nHost: h\r\nX-Id: a\r\n\r\n", 404},
		{"no request", "\x16\x03\x01 hello\r\n\r\n", 400},
	} {
		conn, err := net.Dial("tcp", entry.ports.Clients) //nolint:noctx // loopback
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(conn, test.head)
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		var line [12]byte
		if _, err := io.ReadFull(conn, line[:]); err != nil || string(line[9:]) != strconv.Itoa(test.status) {
			t.Errorf("%s: error %v, status line %q", test.name, err, line)
		}
		_ = conn.Close()
	}
	if n := targets[0].count() + targets[1].count(); n != 0 {
		t.Errorf("%d rejected requests reached a target", n)
	}
}

// A node without records must answer 503 with Retry-After. With 404 for the unknown
// route, clients would not retry.
func TestNoRecords(t *testing.T) {
	platform := newStore()
	platform.setDown(true)
	entry := startNode(t, "front", "front", "127.0.0.1:1", platform)
	time.Sleep(100 * time.Millisecond)
	if answer, _ := sendRequest(t, entry, "GET", "/read/1", "a", ""); answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q", answer.StatusCode, answer.Header.Get("Retry-After"))
	}
}

// A drain must finish requests in flight and serve those on connections that are kept
// alive. Its answers must carry Connection: close, and the node must end.
func TestDrain(t *testing.T) {
	slow := func(conn net.Conn, r *http.Request, body string) {
		time.Sleep(700 * time.Millisecond)
		writeEcho(conn, r, body)
	}
	entry, _, _ := deployment(t, slow)
	done := make(chan string, 2)
	get := func(id string) {
		answer, err := http.DefaultClient.Do(newRequest(t, entry, "GET", "/read/1", id, ""))
		if err != nil {
			done <- err.Error()
			return
		}
		defer func() { _ = answer.Body.Close() }()
		if _, err := io.ReadAll(answer.Body); err != nil || answer.StatusCode != http.StatusOK || !answer.Close {
			done <- fmt.Sprintf("status %d, close %t, %v", answer.StatusCode, answer.Close, err)
			return
		}
		done <- ""
	}
	go get("before")
	time.Sleep(200 * time.Millisecond)
	entry.node.Drain()
	go get("after")
	for range 2 {
		if fault := <-done; fault != "" {
			t.Error(fault)
		}
	}
	select {
	case <-entry.ended:
	case <-time.After(10 * time.Second):
		t.Error("the node did not end within 10 s after Drain")
	}
}

// A node that cannot read the platform must adopt newer records from its peers. It
// must not return to older ones when the platform is back.
func TestRecordsFromPeers(t *testing.T) {
	platform := newStore()
	platform.put("records", testRecords(1))
	own := newStore()
	own.put("records", testRecords(1))
	front, back := newTarget(t, writeEcho), newTarget(t, writeEcho)
	entry := startNode(t, "front", "front", front.listener.Addr().String(), platform)
	away := startNode(t, "back", "back", back.listener.Addr().String(), own)
	for name, i := range map[string]*sidecar{"f": entry, "b": away} {
		instance := map[string]any{
			"Name": name, "Service": map[string]string{"f": "front", "b": "back"}[name], "Zone": "z", "Address": i.ports.Peers,
			"State": "Live", "Slots": 4,
		}
		platform.put("instances/"+name, instance)
		own.put("instances/"+name, instance)
	}
	entry.awaitReady(t)
	away.awaitReady(t)
	own.setDown(true)
	newer := testRecords(5)
	newer.Classes["added"] = newer.Classes["own"]
	newer.Classes["added"].Route.Prefix = "/added/"
	newer.Classes["added"].Name = "added"
	delete(newer.Classes, "own")
	platform.put("records", newer)
	deadline := time.Now().Add(10 * time.Second)
	for {
		answer, _ := sendRequest(t, away, "GET", "/added/1", "a", "")
		if answer.StatusCode == http.StatusOK {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("status %d 10 s after the records were published", answer.StatusCode)
		}
		time.Sleep(20 * time.Millisecond)
	}
	own.setDown(false)
	own.put("records", testRecords(3))
	time.Sleep(500 * time.Millisecond)
	if answer, _ := sendRequest(t, away, "GET", "/added/1", "a", ""); answer.StatusCode != http.StatusOK {
		t.Errorf("after the platform returned with older records: status %d", answer.StatusCode)
	}
}

// Clients must not be able to fill the memory of a node with large bodies: of three that do not
// fit together, all but the last byte of each is sent. The bytes of a body must stop counting
// when its connection is closed.
func TestLargeBodies(t *testing.T) {
	const length, chunked = "Content-Length: 31457280\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n1e00000\r\n"
	for _, second := range []string{length, chunked} {
		testLargeBodies(t, length, second, length)
	}
}

// testLargeBodies sends three requests with these headers and bodies of 30 MiB, but for a byte.
func testLargeBodies(t *testing.T, framing ...string) {
	t.Helper()
	entry, targets, platform := deployment(t, writeEcho)
	larger := testRecords(2)
	larger.Limits.BodyBytes = 34 << 20
	platform.put("records", larger)
	time.Sleep(300 * time.Millisecond)
	var open []net.Conn
	var writes, reads sync.WaitGroup
	lines := make([]string, len(framing))
	for i, frame := range framing {
		conn, err := net.Dial("tcp", entry.ports.Clients) //nolint:noctx // loopback
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, conn)
		_ = conn.SetDeadline(time.Now().Add(15 * time.Second))
		writes.Go(func() {
			fmt.Fprintf(conn, "POST /once/1 HTTP/1.1\r\nHost: h\r\nX-Id: a%d\r\n%s", i, frame)
			_, _ = io.Copy(conn, zeros(30<<20-1)) // fails for the one that is refused
		})
		reads.Go(func() {
			line := make([]byte, 12)
			if _, err := io.ReadFull(conn, line); err == nil {
				lines[i] = string(line[9:])
			}
		})
	}
	writes.Wait()
	for _, conn := range open {
		_ = conn.SetReadDeadline(time.Now().Add(time.Second)) // for the refusal
	}
	reads.Wait()
	refused := 0
	for i, status := range lines {
		switch status {
		case "503":
			refused++
		case "":
		default:
			t.Errorf("body %d of 30 MiB: status %q", i, status)
		}
	}
	if refused == 0 || refused == len(framing) {
		t.Errorf("%d of %d bodies of 30 MiB were refused, which do not fit together", refused, len(framing))
	}
	for _, conn := range open {
		_ = conn.Close()
	}
	time.Sleep(300 * time.Millisecond)
	if answer, _ := sendRequest(t, entry, "POST", "/once/2", "b", strings.Repeat("x", 1<<20)); answer.StatusCode != http.StatusOK {
		t.Errorf("after the large requests were closed: status %d", answer.StatusCode)
	}
	if n := targets[1].count(); n != 1 {
		t.Errorf("%d requests reached the target, want 1", n)
	}
}
