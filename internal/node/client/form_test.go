package client

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/gypsumrail/gypsumrail/internal/node/form"
)

// Guards against a first line that is no status line and counts as a response of a target, of
// a node to a control message, or of the store, which all come through these transports.
func TestNoStatusLine(t *testing.T) {
	pool := NewPool()
	defer pool.Close()
	refused := 0
	observer := func(_ string, err error) {
		if isFault(err, form.StatusLine) {
			refused++
		}
	}
	pool.Observe(observer)
	for _, test := range []struct {
		head string
		good bool
	}{
		{"HTTP/1.1 200 OK", true}, {"HTTP/1.0 200 OK", true}, {"HTTP/1.1 599 X", true}, {"HTTP/1.1 204", true},
		{strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 3) + "HTTP/1.1 200 OK", true},
		{strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 10_000) + "HTTP/1.1 200 OK", false},
		{"HTTP/1.1 000 X", false}, {"HTTP/1.1 099 X", false}, {"HTTP/1.1 600 X", false}, {"HTTP/1.1 999 X", false},
		{"HTTP/1.1 1000 X", false}, {"HTTP/1.1 20 X", false}, {"HTTP/1.1 2 0", false}, {"HTTP/1.1 +20 X", false},
		{"HTTP/1.1 -00 X", false}, {"HTTP/1.1 2x0 X", false}, {"HTTP/1.1 101 X", false}, {"HTTP/2.0 200 X", false},
		{"HTTP/1.2 200 X", false}, {"HTTP/3.0 200 X", false}, {"X", false}, {"", false},
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // loopback
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.Copy(io.Discard, r.Body) // closing a connection with unread bytes resets it
					fmt.Fprintf(conn, "%s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", test.head)
				}
				_ = conn.Close()
			}
		}()
		for name, transport := range map[string]http.RoundTripper{"pooled": pool, "unpooled": NewUnpooled(observer)} {
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				r, err := http.NewRequestWithContext(t.Context(), method, "http://"+listener.Addr().String(), io.NopCloser(strings.NewReader("x")))
				if err != nil {
					t.Fatal(err)
				}
				answer, err := transport.RoundTrip(r)
				if err == nil {
					_ = answer.Body.Close()
				}
				if (err == nil) != test.good {
					t.Errorf("%s %s %.40q: %v", name, method, test.head, err)
				}
			}
		}
		_ = listener.Close()
	}
	if refused == 0 {
		t.Error("the observer was not told")
	}
	if !isFault(form.Check(&http.Response{Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}), form.StatusLine) {
		t.Error("a response without a status passes")
	}
}

func isFault(err error, fault form.Fault) bool {
	got, ok := form.FaultOf(err)
	return ok && got == fault
}
