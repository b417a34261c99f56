package client

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/gypsumrail/gypsumrail/internal/lab/stubs"
)

// Guards against an answer whose head or trailer has a line that is no field, and that counts as
// an answer of a target, of a node or of the store.
func TestMalformedFields(t *testing.T) {
	next := make(chan string, 1)
	address := stubs.Raw(t, func(conn net.Conn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		fmt.Fprint(conn, <-next)
	})
	pool := NewPool()
	defer pool.Close()
	refused := 0
	observer := func(string, error) { refused++ }
	pool.Observe(observer)
	places := []string{
		"HTTP/1.1 200 OK\r\nLINE\r\nConnection: close\r\nContent-Length: 3\r\n\r\nbad",
		"HTTP/1.1 404 Not Found\r\nConnection: close\r\nContent-Length: 3\r\nLINE\r\n\r\nbad",
		"HTTP/1.1 103 Early Hints\r\nLINE\r\n\r\nHTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 3\r\n\r\nbad",
		"HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n0\r\nLINE\r\n\r\n",
		"HTTP/1.1 200 OK\r\nConnection: close\r\nTrailer: X-End\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n0\r\nX-End: 1\r\nLINE\r\n\r\n",
	}
	send := map[string]func(*http.Request) (*http.Response, error){
		"pooled": pool.RoundTrip, "unpooled": NewUnpooled(observer).RoundTrip,
		"call": func(r *http.Request) (*http.Response, error) { return Send(pool, r, NodeReceiptTimeouts) },
	}
	for name, roundTrip := range send {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			for _, test := range []struct {
				line string
				good bool
			}{
				{"X-Good: 1", true}, {"x_good!: \t1\xff", true},
				{"Content Length: 1", false}, {"X Bad: 1", false}, {"X Bad : 1", false}, {"X-Bad : 1", false}, {"X\x00Bad: 1", false}, {"X\tBad: 1", false},
				{"X\x7fBad: 1", false}, {"X\x80Bad: 1", false}, {"X(Bad: 1", false}, {"\x01X-Bad: 1", false}, {": 1", false}, {"no colon", false},
			} {
				for _, place := range places {
					next <- strings.Replace(place, "LINE", test.line, 1)
					before := refused
					r, err := http.NewRequestWithContext(t.Context(), method, "http://"+address, io.NopCloser(strings.NewReader("x")))
					if err != nil {
						t.Fatal(err)
					}
					r.ContentLength = 1
					answer, err := roundTrip(r)
					if err == nil {
						_, err = io.ReadAll(answer.Body)
						_ = answer.Body.Close()
					}
					if (err == nil) != test.good {
						t.Errorf("%s %s %q in %.40q: %v", name, method, test.line, place, err)
					}
					if strings.HasPrefix(test.line, "X Bad") && refused != before+1 {
						t.Errorf("%s %s %q in %.40q: the observer was told %d times", name, method, test.line, place, refused-before)
					}
				}
			}
		}
	}
}
