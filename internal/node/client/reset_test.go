package client

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/gypsumrail/gypsumrail/internal/lab/stubs"
)

// Guards against a part of an answer that counts as the whole: the other side answers without a
// length, sends a part and resets the connection. While a body is being written, the socket may
// report the reset to the writer only.
func TestResetAmidAnswer(t *testing.T) {
	address := stubs.Raw(t, func(conn net.Conn, _ *http.Request) {
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(30 * time.Millisecond)
		stubs.Reset(conn)
	})
	pool := NewPool()
	defer pool.Close()
	for name, transport := range map[string]http.RoundTripper{"pooled": pool, "unpooled": NewUnpooled(nil)} {
		for _, test := range []struct {
			method string
			bytes  int
		}{{http.MethodGet, 0}, {http.MethodPost, 1000}, {http.MethodPost, 8_000_000}} {
			r, err := http.NewRequestWithContext(t.Context(), test.method, "http://"+address, io.NopCloser(bytes.NewReader(make([]byte, test.bytes))))
			if err != nil {
				t.Fatal(err)
			}
			r.ContentLength = int64(test.bytes)
			if test.bytes == 0 {
				r.Body = http.NoBody // as a read of the store
			}
			answer, err := transport.RoundTrip(r)
			if err != nil {
				continue
			}
			body, err := io.ReadAll(answer.Body)
			_ = answer.Body.Close()
			if err == nil {
				t.Errorf("%s, %s of %d bytes: a part of the answer (%q) looks whole", name, test.method, test.bytes, body)
			}
		}
	}
}
