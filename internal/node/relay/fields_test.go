package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/gypsumrail/gypsumrail/internal/lab/stubs"
)

// malformedLines are lines in the place of a field whose name is no token.
func malformedLines() []string {
	lines := []string{"Content Length: 1", "X Bad: 1", "X Bad : 1", "Transfer Encoding: chunked", ": 1", "no colon"}
	for _, b := range []byte{0, 1, '\t', '\v', '\f', '\r', 0x1b, 0x1f, '"', '(', ')', ',', '/', ';', '<', '=', '>', '?', '@', '[', '\\', ']', '{', '}', 0x7f, 0x80, 0xa0, 0xff} {
		for _, form := range []string{"%cX-Bad: 1", "X%cBad: 1", "X-Bad%c: 1"} {
			line := strings.Replace(form, "%c", string([]byte{b}), 1)
			if line != "\tX-Bad: 1" && line != "X-Bad\t: 1" { // see TestBlanksAroundNames
				lines = append(lines, line)
			}
		}
	}
	return lines
}

// places are where a head or a trailer may have a malformed line.
var places = []struct{ name, answer string }{
	{"first", "HTTP/1.1 200 OK\r\nLINE\r\nPROOF\r\nContent-Length: 3\r\n\r\nbad"},
	{"last", "HTTP/1.1 200 OK\r\nPROOF\r\nContent-Length: 3\r\nLINE\r\n\r\nbad"},
	{"of a failure", "HTTP/1.1 404 Not Found\r\nPROOF\r\nContent-Length: 3\r\nLINE\r\n\r\nbad"},
	{"without a body", "HTTP/1.1 204 No Content\r\nPROOF\r\nLINE\r\n\r\n"},
	{"of an interim response", "HTTP/1.1 103 Early Hints\r\nLINE\r\n\r\nHTTP/1.1 200 OK\r\nPROOF\r\nContent-Length: 3\r\n\r\nbad"},
	{"of a trailer", "HTTP/1.1 200 OK\r\nPROOF\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n0\r\nLINE\r\n\r\n"},
	{"of a trailer, announced", "HTTP/1.1 200 OK\r\nPROOF\r\nTransfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n3\r\nbad\r\n0\r\nX-End: 1\r\nLINE\r\n\r\n"},
}

// Guards against an answer whose head or trailer has a line that is no field, and that reaches
// the client as an answer: the line passed on as it came, or a body that is not the target's.
func TestMalformedFields(t *testing.T) {
	for _, hop := range []struct{ name, path, nodeHeader string }{{"target", "/own/1", ""}, {"peer", "/once/1", peerAnswer}} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(hop.name+"/"+method, func(t *testing.T) {
				t.Parallel()
				next := make(chan string, 1)
				serve := func(conn net.Conn, r *http.Request) {
					if hop.nodeHeader == "" || !isControl(r) {
						writeBad(conn, r, <-next, hop.nodeHeader)
					}
				}
				address := stubs.Raw(t, serve)
				entry, _ := startRaw(t, address, address)
				for i, line := range malformedLines() {
					for j, place := range places {
						next <- strings.ReplaceAll(place.answer, "LINE", line)
						answer, body := sendRequest(t, entry, method, hop.path, fmt.Sprintf("bad-%d-%d", i, j), "")
						if answer.StatusCode != http.StatusBadGateway || body == "bad" {
							t.Errorf("%q, %s: status %d, body %q, want 502", line, place.name, answer.StatusCode, body)
						}
						next <- "HTTP/1.1 200 OK\r\nPROOF\r\nContent-Length: 4\r\n\r\ngood" // ends the count of failures
						if answer, body := sendRequest(t, entry, method, hop.path, fmt.Sprintf("good-%d-%d", i, j), ""); body != "good" {
							t.Fatalf("a valid answer: status %d, body %q", answer.StatusCode, body)
						}
					}
				}
			})
		}
	}
}

// Guards against a line with blanks that reaches the client as it came: a blank before the colon
// is removed and a line that begins with one continues the field before it (RFC 9112, sections
// 5.1 and 5.2), or the answer is refused.
func TestBlanksAroundNames(t *testing.T) {
	next := make(chan string, 1)
	target := stubs.Raw(t, func(conn net.Conn, r *http.Request) { writeBad(conn, r, <-next, "") })
	entry, _ := startRaw(t, target, "")
	for i, line := range []string{"X-Bad : 1", "X-Bad\t: 1", " X-Bad: 1", "\tX-Bad: 1", " Content-Length: 1", "Content-Length : 1"} {
		for j, place := range places {
			next <- strings.ReplaceAll(place.answer, "LINE", line)
			conn, err := net.Dial("tcp", entry.ports.Clients) //nolint:noctx // loopback
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(conn, "POST /own/1 HTTP/1.1\r\nHost: h\r\nX-Id: %d-%d\r\nX-Left: 1500\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", j, i)
			content, err := io.ReadAll(conn)
			_ = conn.Close()
			if err != nil {
				t.Fatal(err)
			}
			got := string(content)
			if strings.Contains(got, "\r\n"+line+"\r\n") {
				t.Errorf("%q, %s: passed on as it came\n%s", line, place.name, got)
			}
			if strings.HasPrefix(got, "HTTP/1.1 200") && !strings.HasSuffix(got, "\r\n\r\nbad") {
				t.Errorf("%q, %s: a body that is not the target's\n%s", line, place.name, got)
			}
		}
	}
}

// Guards against control bytes that a target puts into the reason phrase, and that reach the client.
func TestReasonPhrase(t *testing.T) {
	next := make(chan string, 1)
	target := stubs.Raw(t, func(conn net.Conn, r *http.Request) { writeBad(conn, r, <-next, "") })
	entry, _ := startRaw(t, target, "")
	for i, test := range []struct {
		phrase string
		status int
	}{
		{"OK", http.StatusOK}, {"Not so\tbad \xe9", http.StatusOK}, {"", http.StatusOK},
		{"O\rX-Bad: 1", http.StatusOK}, // the carriage return is replaced by a blank (RFC 9112, section 2.2)
		{"O\x00K", http.StatusBadGateway}, {"O\x1bK", http.StatusBadGateway}, {"OK\x7f", http.StatusBadGateway},
	} {
		next <- "HTTP/1.1 200 " + test.phrase + "\r\nPROOF\r\nContent-Length: 3\r\n\r\nbad"
		if answer, _ := sendRequest(t, entry, http.MethodPost, "/own/1", fmt.Sprintf("reason-%d", i), ""); answer.StatusCode != test.status || strings.ContainsRune(answer.Status, '\r') {
			t.Errorf("%q: status %d %q, want %d", test.phrase, answer.StatusCode, answer.Status, test.status)
		}
	}
}
