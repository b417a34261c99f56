package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a last answer that is cut because the node ends while it is still being
// written: a large answer to a caller that reads slowly.
func TestAnswerOutlastsDrain(t *testing.T) {
	const size = 12 << 20
	large := func(conn net.Conn, r *http.Request, _ string) {
		time.Sleep(100 * time.Millisecond)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Proof: p\r\nContent-Length: %d\r\n\r\n", r.Header.Get("X-Id"), size)
		_, _ = conn.Write(make([]byte, size))
	}
	entry, _, _ := deployment(t, large)
	conn, err := net.Dial("tcp", entry.ports.Clients) //nolint:noctx // loopback
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	fmt.Fprint(conn, "GET /read/1 HTTP/1.1\r\nHost: h\r\nX-Id: large\r\nContent-Length: 0\r\n\r\n")
	time.Sleep(50 * time.Millisecond)
	entry.node.Drain()
	reader := bufio.NewReader(conn)
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second) // within DrainMax
	n, err := io.Copy(io.Discard, answer.Body)
	if err != nil || n != size {
		t.Errorf("%d of %d bytes arrived, %v", n, size, err)
	}
}
