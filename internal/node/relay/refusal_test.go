package relay_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// repeater is a service of targets that refuse their first request, and write that refusal
// once more ahead of each later answer.
type repeater struct {
	status       int
	withIdentity bool

	mu  sync.Mutex
	ran map[string]int // by identity
}

// answer returns the answers of one target.
func (p *repeater) answer() func(net.Conn, *http.Request, string) {
	refusal := ""
	return func(conn net.Conn, r *http.Request, body string) {
		id := r.Header.Get("X-Id")
		if strings.HasSuffix(r.URL.Path, "plain") {
			writeEcho(conn, r, body)
			return
		}
		p.mu.Lock()
		again := refusal != ""
		if again {
			p.ran[id]++
		} else {
			identity := ""
			if p.withIdentity {
				identity = "X-Id: " + id + "\r\n"
			}
			refusal = fmt.Sprintf("HTTP/1.1 %d Full\r\n%sX-Not-Run: 1\r\nContent-Length: 2\r\n\r\nno", p.status, identity)
		}
		p.mu.Unlock()
		fmt.Fprint(conn, refusal)
		if again {
			time.Sleep(20 * time.Millisecond)
			writeEcho(conn, r, body)
		}
	}
}

func (p *repeater) runsOf(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ran[id]
}

// Guards against a caller that is told "not run" for a request that runs, and against a
// second run of it: a target writes an earlier refusal once more, ahead of the answer to
// a later request on the same connection or on another one.
func TestEarlierRefusalAgain(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest} {
		for _, withIdentity := range []bool{true, false} {
			for _, keeps := range []bool{true, false} {
				t.Run(fmt.Sprintf("%d/identity %v/keeps %v", status, withIdentity, keeps), func(t *testing.T) {
					t.Parallel()
					r := &repeater{status: status, withIdentity: withIdentity, ran: map[string]int{}}
					entry, _, _ := deployment(t, r.answer(), r.answer())
					for i := range 4 {
						if keeps {
							// An exchange before it makes the connection a kept one.
							sendRequest(t, entry, http.MethodPost, "/once/plain", fmt.Sprintf("plain-%d", i), "")
						}
						id := fmt.Sprintf("id-%d", i)
						got, _ := sendRequest(t, entry, http.MethodPost, "/once/1", id, "")
						time.Sleep(50 * time.Millisecond)
						runs := r.runsOf(id)
						if promisesNotRun(got.StatusCode) && runs > 0 {
							t.Errorf("%s was answered %d and ran", id, got.StatusCode)
						}
						if runs > 1 {
							t.Errorf("%s ran %d times", id, runs)
						}
					}
				})
			}
		}
	}
}

// Guards against the loss of an answer without an identity on a kept connection between
// nodes: only where the target's connection carried another request is it not passed on.
func TestFailureWithoutIdentity(t *testing.T) {
	fails := func(conn net.Conn, r *http.Request, body string) {
		if strings.HasSuffix(r.URL.Path, "plain") {
			writeEcho(conn, r, body)
			return
		}
		fmt.Fprint(conn, "HTTP/1.1 500 Failed\r\nContent-Length: 2\r\nConnection: close\r\n\r\nno")
		_ = conn.Close()
	}
	entry, _, _ := deployment(t, fails, fails)
	sendRequest(t, entry, http.MethodPost, "/once/plain", "plain", "") // leaves one kept connection to a target
	passedOn := 0
	for i := range 6 {
		got, _ := sendRequest(t, entry, http.MethodPost, "/once/1", fmt.Sprintf("id-%d", i), "")
		switch got.StatusCode {
		case http.StatusInternalServerError:
			passedOn++
		case http.StatusBadGateway:
		default:
			t.Errorf("request %d was answered %d, want the target's 500, or 502", i, got.StatusCode)
		}
	}
	if passedOn < 5 {
		t.Errorf("%d of 6 failures were passed on, want at least 5", passedOn)
	}
}

// promisesNotRun reports whether a status states that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
