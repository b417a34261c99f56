package client

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gypsumrail/gypsumrail/internal/lab/stubs"
	"github.com/gypsumrail/gypsumrail/internal/node/form"
)

func requestBody(t *testing.T, content string, length int64) *RequestBody {
	t.Helper()
	b, err := NewRequestBody(strings.NewReader(content), length, true, NewBufferBudget(1<<20))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func request(t *testing.T, method, address string, b *RequestBody) *http.Request {
	t.Helper()
	body, err := b.Open()
	if err != nil {
		t.Fatal(err)
	}
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+address+"/", body)
	if err != nil {
		t.Fatal(err)
	}
	r.ContentLength = b.Length()
	return r
}

// server answers the first request on each connection. It reads the second and
// closes the connection without an answer. It returns its address and the
// number of requests that it has read.
func server(t *testing.T) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	seen := &atomic.Int64{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				b := bufio.NewReader(c)
				for i := range 2 {
					r, err := http.ReadRequest(b)
					if err != nil {
						return
					}
					if r.Body != http.NoBody {
						t.Errorf("an empty body was sent as %v", r.TransferEncoding)
					}
					seen.Add(1)
					if i == 0 {
						fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
					}
				}
			}()
		}
	}()
	return l.Addr().String(), seen
}

// When a kept-alive connection closes, the standard transport resends a GET or
// a request with an Idempotency-Key by itself. The request could then run
// twice.
func TestNoResend(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			address, seen := server(t)
			pool := NewPool()
			defer pool.Close()
			for i := range 2 {
				r := request(t, method, address, requestBody(t, "", 0))
				r.Header.Set("Idempotency-Key", "k")
				answer, err := Send(pool, r, ReceiptTimeouts{})
				if i == 0 {
					if err != nil {
						t.Fatal(err)
					}
					_, _ = io.Copy(io.Discard, answer.Body)
					_ = answer.Body.Close()
					continue
				}
				var failure *SendError
				if !errors.As(err, &failure) || !failure.Sent {
					t.Errorf("a lost answer gives %v", err)
				}
			}
			if n := seen.Load(); n != 2 {
				t.Errorf("2 requests were seen %d times", n)
			}
		})
	}
}

// A SendError must say whether the request was sent, since one that was not
// sent counts as not run. Send must reject a request body that the transport
// could resend, and an answer that looks complete when its connection breaks.
func TestFailure(t *testing.T) {
	pool := NewPool()
	defer pool.Close()
	var failure *SendError
	if _, err := Send(pool, request(t, http.MethodPost, "127.0.0.1:1", requestBody(t, "x", 1)), ReceiptTimeouts{}); !errors.As(err, &failure) || failure.Sent {
		t.Errorf("a closed port gives %v", err)
	}
	r := request(t, http.MethodGet, "127.0.0.1:1", requestBody(t, "", 0))
	r.Body = http.NoBody
	if _, err := Send(pool, r, ReceiptTimeouts{}); err == nil || !strings.Contains(err.Error(), "could resend") {
		t.Errorf("a body that can be rewound gives %v", err)
	}
	unframed := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, _ := w.(http.Hijacker).Hijack()
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nperhaps whole")
		_ = c.Close()
	}))
	defer unframed.Close()
	if _, err := Send(pool, request(t, http.MethodGet, unframed.Listener.Addr().String(), requestBody(t, "", 0)), ReceiptTimeouts{}); !isFault(err, form.Unframed) {
		t.Errorf("an answer without a length gives %v", err)
	}
}

// A connection that stops carrying data must not block a call until its
// deadline: Send must fail when receipts are missing. It must not fail while
// they arrive in time.
func TestSilence(t *testing.T) {
	release := make(chan struct{})
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			for range 4 {
				w.WriteHeader(http.StatusProcessing)
				time.Sleep(30 * time.Millisecond)
			}
			return
		}
		select {
		case <-release:
		case <-r.Context().Done():
		}
	}))
	defer node.Close()
	defer close(release)
	relay, err := stubs.NewRelay(node.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	pool := NewPool()
	defer pool.Close()
	timeouts := ReceiptTimeouts{First: 2 * time.Second, Next: 2 * time.Second}
	answer, err := Send(pool, request(t, http.MethodPut, relay.Address(), requestBody(t, "", 0)), timeouts)
	if err != nil {
		t.Fatalf("a call with receipts: %v", err)
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	relay.Silence()
	var failure *SendError
	_, err = Send(pool, request(t, http.MethodPut, relay.Address(), requestBody(t, "", 0)), ReceiptTimeouts{First: 50 * time.Millisecond, Next: time.Minute})
	if !errors.As(err, &failure) || !failure.ReceiptTimedOut || !failure.Sent {
		t.Errorf("a silent connection gives %v", err)
	}
	answer, err = Send(pool, request(t, http.MethodPut, relay.Address(), requestBody(t, "", 0)), timeouts)
	if err != nil {
		t.Fatalf("a new connection after a silent one: %v", err)
	}
	_ = answer.Body.Close()
	_, err = Send(pool, request(t, http.MethodPost, relay.Address(), requestBody(t, "", 0)), ReceiptTimeouts{First: 50 * time.Millisecond, Next: time.Minute})
	if !errors.As(err, &failure) || !failure.ReceiptTimedOut {
		t.Errorf("a node without receipts gives %v", err)
	}
}

// An answer that is cut off must not look complete: reading its body must fail.
func TestShortBody(t *testing.T) {
	for _, head := range []string{"Content-Length: 10\r\n", "Transfer-Encoding: chunked\r\n"} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c, _, _ := w.(http.Hijacker).Hijack()
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n5\r\nab", head)
			_ = c.Close()
		}))
		pool := NewPool()
		answer, err := Send(pool, request(t, http.MethodGet, s.Listener.Addr().String(), requestBody(t, "", 0)), ReceiptTimeouts{})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, answer.Body); err == nil {
			t.Errorf("%q: a short body ended without an error", head)
		}
		_ = answer.Body.Close()
		pool.Close()
		s.Close()
	}
}

// A small body must be readable by several attempts. A large one is streamed,
// so a second attempt would send only a part of it and must get
// ErrBodyConsumed.
func TestRequestBody(t *testing.T) {
	large := strings.Repeat("x", BufferMax+1)
	tests := []struct {
		name    string
		content string
		length  int64
		again   bool
	}{
		{"empty", "", 0, true},
		{"small", "abc", 3, true},
		{"small of unknown length", "abc", -1, true},
		{"large", large, int64(len(large)), false},
		{"large of unknown length", large, -1, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := requestBody(t, test.content, test.length)
			for i := range 2 {
				body, err := b.Open()
				if i == 1 && !test.again {
					if !errors.Is(err, ErrBodyConsumed) {
						t.Errorf("opened again: %v", err)
					}
					return
				}
				if err != nil {
					t.Fatal(err)
				}
				unused, err := b.Open()
				if err != nil {
					t.Fatalf("opened again before it was read: %v", err)
				}
				got, err := io.ReadAll(body)
				if err != nil || !bytes.Equal(got, []byte(test.content)) {
					t.Errorf("read %d bytes, %v", len(got), err)
				}
				if _, err := io.ReadAll(unused); err != nil != !test.again {
					t.Errorf("a second reader: %v", err)
				}
			}
		})
	}
}

// Buffered bodies must not exceed the budget, and must return their bytes to it
// exactly once: on release, or when reading the body fails.
func TestBuffers(t *testing.T) {
	budget := NewBufferBudget(4)
	first, err := NewRequestBody(strings.NewReader("abc"), 3, true, budget)
	if err != nil {
		t.Fatal(err)
	}
	second, _ := NewRequestBody(strings.NewReader("abc"), 3, true, budget)
	if second.unread == nil {
		t.Error("a body over the budget was buffered")
	}
	first.Release()
	first.Release()
	if used := budget.used.Load(); used != 0 {
		t.Errorf("%d bytes are in use after the release", used)
	}
	if _, err := NewRequestBody(strings.NewReader("a"), 3, true, budget); err == nil {
		t.Error("a body shorter than its declared length was accepted")
	}
	if used := budget.used.Load(); used != 0 {
		t.Errorf("%d bytes are in use after a read error", used)
	}
}

// A request that waits for a free connection must fail when its context ends,
// for example because its caller has gone.
func TestCancelWhileWaiting(t *testing.T) {
	release := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer s.Close()
	defer close(release)
	pool := NewPool()
	pool.SetConns(1)
	go func() {
		answer, err := Send(pool, request(t, http.MethodGet, s.Listener.Addr().String(), requestBody(t, "", 0)), ReceiptTimeouts{})
		if err == nil {
			_ = answer.Body.Close()
		}
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	var failure *SendError
	r := request(t, http.MethodGet, s.Listener.Addr().String(), requestBody(t, "", 0)).WithContext(ctx)
	if _, err := Send(pool, r, ReceiptTimeouts{}); !errors.As(err, &failure) {
		t.Errorf("a canceled request gives %v", err)
	}
}
