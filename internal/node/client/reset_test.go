package client

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a part of an answer that counts as the whole: the other side answers without a
// length, sends a part and resets the connection. While a body is being written, the socket may
// report the reset to the writer only.
func TestResetAmidAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // loopback
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\npart")
					time.Sleep(30 * time.Millisecond)
				}
				_ = conn.(*net.TCPConn).SetLinger(0) //nolint:forcetypeassert // it listens for TCP
				_ = conn.Close()
			}()
		}
	}()
	pool := NewPool()
	defer pool.Close()
	for name, transport := range map[string]http.RoundTripper{"pooled": pool, "unpooled": NewUnpooled(nil)} {
		for _, test := range []struct {
			method string
			bytes  int
		}{{http.MethodGet, 0}, {http.MethodPost, 1000}, {http.MethodPost, 8_000_000}} {
			r, err := http.NewRequestWithContext(t.Context(), test.method, "http://"+listener.Addr().String(), io.NopCloser(bytes.NewReader(make([]byte, test.bytes))))
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
