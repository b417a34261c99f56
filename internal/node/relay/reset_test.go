package relay_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/lab/stubs"
)

// uploadDeployment starts a node that clients use, and one beside the target of service back at
// an address.
func uploadDeployment(t *testing.T, target string) *sidecar {
	t.Helper()
	front := newTarget(t, writeEcho)
	entry, platform := startRaw(t, front.listener.Addr().String(), "")
	node := startNode(t, "b0", "back", target, platform)
	platform.put("instances/b0", gypsumrail.Instance{Name: "b0", Service: "back", Zone: "z", Address: node.ports.Peers, State: gypsumrail.Live, Slots: 4})
	node.awaitReady(t)
	time.Sleep(300 * time.Millisecond) // a node may be ready before its list has the last instance
	return entry
}

// upload sends a body with a length or in chunks. The error is that of reading the answer.
func upload(t *testing.T, s *sidecar, id string, body []byte, inChunks bool) (int, []byte, error) {
	t.Helper()
	r := newRequest(t, s, http.MethodPost, "/once/upload", id, "")
	r.Header.Set("X-Left", longWait)
	r.Body, r.ContentLength, r.GetBody = io.NopCloser(bytes.NewReader(body)), int64(len(body)), nil
	if inChunks {
		r.ContentLength = -1
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	got, err := io.ReadAll(answer.Body)
	return answer.StatusCode, got, err //nolint:wrapcheck // a test compares it with nil
}

// Guards against a part of an answer that is passed on as the whole: the target answers an upload
// at once and without a length, sends a part and resets the connection while the rest of the
// upload is being written. The socket reports the reset to the writer, and the reader finds the
// end of the connection.
func TestResetDuringUpload(t *testing.T) {
	const partBytes = 1000
	for _, framing := range []struct{ name, head string }{
		{"end of connection", ""}, {"length", "Content-Length: 4000\r\n"}, {"chunks", "Transfer-Encoding: chunked\r\n"},
	} {
		for _, test := range []struct {
			name       string
			bodyBytes  int
			readBytes  int64         // of the body, before the answer
			sendNone   bool          // only the head of the answer
			resetAfter time.Duration // closed with the upload unread if 0, which also resets
		}{
			{name: "blocked write", bodyBytes: 8_000_000, resetAfter: 30 * time.Millisecond},
			{name: "no body", bodyBytes: 8_000_000, resetAfter: 30 * time.Millisecond, sendNone: true},
			{name: "part of the upload read", bodyBytes: 8_000_000, resetAfter: 30 * time.Millisecond, readBytes: 200_000},
			{name: "closed at once", bodyBytes: 2_000_000},
			{name: "short upload", bodyBytes: 300_000, resetAfter: 30 * time.Millisecond},
			{name: "upload that fits into the first write", bodyBytes: 10_000, resetAfter: 30 * time.Millisecond},
		} {
			t.Run(framing.name+"/"+test.name, func(t *testing.T) {
				t.Parallel()
				target := stubs.Raw(t, func(conn net.Conn, r *http.Request) {
					_, _ = io.CopyN(io.Discard, r.Body, test.readBytes)
					fmt.Fprintf(conn, proofHead+framing.head+"\r\n", r.Header.Get("X-Id"))
					if framing.head == "Transfer-Encoding: chunked\r\n" {
						fmt.Fprint(conn, "fa0\r\n")
					}
					if !test.sendNone {
						_, _ = conn.Write(pattern(partBytes))
					}
					if test.resetAfter > 0 {
						time.Sleep(test.resetAfter)
						stubs.Reset(conn)
					}
				})
				entry := uploadDeployment(t, target)
				for i := range 4 {
					for _, inChunks := range []bool{false, true} {
						status, body, err := upload(t, entry, fmt.Sprintf("id-%d-%v", i, inChunks), pattern(test.bodyBytes), inChunks)
						if status != http.StatusBadGateway || err != nil {
							t.Errorf("in chunks %v: status %d with %d bytes, %v, want 502", inChunks, status, len(body), err)
						}
					}
				}
			})
		}
	}
}

// Guards against a sound answer that is refused because of the upload: the target answers early
// and without a length, ends its side in order, and then reads the rest of the upload, or
// closes with some of it unread, which resets the connection after the end of the answer.
func TestEarlyAnswerToUpload(t *testing.T) {
	for _, test := range []struct {
		name  string
		pause time.Duration // after the answer
		reads bool
	}{{"reads the rest", 30 * time.Millisecond, true}, {"closes with the rest unread", 30 * time.Millisecond, false}, {"closes at once", 0, false}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			answer := pattern(4000)
			target := stubs.Raw(t, func(conn net.Conn, r *http.Request) {
				fmt.Fprintf(conn, proofHead+"\r\n", r.Header.Get("X-Id"))
				_, _ = conn.Write(answer)
				_ = conn.(*net.TCPConn).CloseWrite() //nolint:forcetypeassert // it is of TCP
				time.Sleep(test.pause)
				if test.reads {
					_, _ = io.Copy(io.Discard, r.Body)
				}
			})
			entry := uploadDeployment(t, target)
			for i, size := range []int{1000, 10_000, 300_000, 2_000_000, 8_000_000} {
				for _, inChunks := range []bool{false, true} {
					status, body, err := upload(t, entry, fmt.Sprintf("id-%d-%v", i, inChunks), pattern(size), inChunks)
					if status != http.StatusOK || err != nil || !bytes.Equal(body, answer) {
						t.Errorf("upload of %d bytes, in chunks %v: status %d with %d bytes, %v", size, inChunks, status, len(body), err)
					}
				}
			}
		})
	}
}

// Guards against the same on the hop between nodes, where the side that answers is a node of
// another version or none at all.
func TestResetOfPeerDuringUpload(t *testing.T) {
	peer := stubs.Raw(t, func(conn net.Conn, r *http.Request) {
		if isControl(r) {
			return
		}
		fmt.Fprintf(conn, proofHead+peerAnswer+"\r\npart", r.Header.Get("X-Id"))
		time.Sleep(30 * time.Millisecond)
		stubs.Reset(conn)
	})
	front := newTarget(t, writeEcho)
	entry, _ := startRaw(t, front.listener.Addr().String(), peer)
	status, body, err := upload(t, entry, "id", pattern(8_000_000), false)
	if status != http.StatusBadGateway || err != nil {
		t.Errorf("status %d with %q, %v, want 502", status, body, err)
	}
	entry.awaitLog(t, "AnswerMalformed", "Hop=peer", "Fault=Truncated ")
}
