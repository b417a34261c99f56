package relay_test

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gypsumrail/gypsumrail/internal/lab/xfail"
)

var redFlag = flag.Bool("red", false, "also run the tests that KNOWN-RED.txt lists")

// memoryMax is the memory of the smallest machines of the users' deployments.
const memoryMax = 184 << 20

// Guards against a process that is killed, or a client that waits beyond its time, because a
// target sends bytes that are no answer without end, in a head or in a body, until the node
// closes the connection. The load is as many clients at once as a target has slots.
func TestEndlessAnswers(t *testing.T) {
	const proof = "HTTP/1.1 200 OK\r\nX-Id: IDENTITY\r\nX-Proof: p\r\n"
	for _, test := range []struct {
		name, head, more string
	}{
		{"status line", "", "x"},
		{"head", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
		{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"body without length", proof + "\r\n", "0123456789abcdef"},
		{"chunks", proof + "Transfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n"},
		{"field name", "HTTP/1.1 200 OK\r\n", "x"},
		{"field value", "HTTP/1.1 200 OK\r\nX-A: ", "b"},
		{"blank lines", "", "\r\n"},
		{"chunks of one byte", proof + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		{"chunk extension", proof + "Transfer-Encoding: chunked\r\n\r\n3;", "x"},
		{"chunk size", proof + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		{"trailer", proof + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n"},
		{"answers to nobody", "", "HTTP/1.1 200 OK\r\nX-Id: nobody\r\nX-Proof: p\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			xfail.SkipListed(t, "../../../KNOWN-RED.txt", "relay", *redFlag)
			closed := make(chan struct{}, 1000)
			more := make([]byte, 0, 64<<10)
			for len(more)+len(test.more) < cap(more) {
				more = append(more, test.more...)
			}
			entry, _, _ := deployment(t, func(conn net.Conn, r *http.Request, _ string) {
				defer func() { closed <- struct{}{} }()
				_, err := conn.Write([]byte(strings.Replace(test.head, "IDENTITY", r.Header.Get("X-Id"), 1)))
				for err == nil {
					_, err = conn.Write(more)
				}
			})
			runtime.GC() // of what the tests before have left
			const clients = 40
			var work sync.WaitGroup
			for i := range clients {
				work.Go(func() {
					answer, _ := sendRequest(t, entry, http.MethodPost, "/once/x", fmt.Sprintf("e%d", i), "")
					if answer.StatusCode < http.StatusInternalServerError {
						t.Errorf("status %d", answer.StatusCode)
					}
				})
			}
			peak := uint64(0)
			done := make(chan struct{})
			go func() {
				work.Wait()
				close(done)
			}()
			for waiting := true; waiting; {
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				peak = max(peak, m.HeapInuse)
				select {
				case <-done:
					waiting = false
				case <-time.After(5 * time.Millisecond):
				}
			}
			if peak > memoryMax {
				t.Errorf("%d MiB of heap, want at most %d", peak>>20, memoryMax>>20)
			}
			select {
			case <-closed:
			case <-time.After(3 * time.Second):
				t.Error("no connection of the target was closed")
			}
		})
	}
}
