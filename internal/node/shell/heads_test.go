package shell

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// startCutter starts a target that stops amid the head of its answer and closes, after
// cutAt bytes. It answers the first request of a connection whole if keeps is set.
func startCutter(t *testing.T, head string, keeps bool, cutAt *int) string {
	t.Helper()
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
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for first := true; ; first = false {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if !keeps || !first {
						fmt.Fprint(conn, head[:min(*cutAt, len(head)-1)])
						return
					}
					fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against an answer that looks whole although its head never ended: the target stops
// amid the head and closes, on a new and on a kept connection.
func TestHeadStops(t *testing.T) {
	for _, framing := range []string{
		"Content-Length: 2\r\n", "Connection: close\r\nContent-Length: 2\r\n", "Transfer-Encoding: chunked\r\n", "Connection: close\r\n", "Content-Length: 0\r\n",
	} {
		for _, keeps := range []bool{false, true} {
			head := "HTTP/1.1 200 OK\r\n" + framing + "\r\n"
			cutAt := 0
			entry, _, _ := startPair(t, startCutter(t, head, keeps, &cutAt), options{})
			for ; cutAt < len(head); cutAt++ {
				send := func(kind string) (int, error) {
					answer, err := sendCall(t.Context(), entry.ports.Callers, http.MethodPost, "/", fmt.Sprintf("%s-%d", kind, cutAt), nil)
					if err != nil {
						return 0, err
					}
					defer func() { _ = answer.Body.Close() }()
					_, err = io.ReadAll(answer.Body)
					return answer.StatusCode, err
				}
				if keeps {
					if status, err := send("whole"); status != http.StatusOK || err != nil {
						t.Fatalf("a whole answer arrived as %d, %v", status, err)
					}
				}
				if status, err := send("cut"); status == http.StatusOK && err == nil {
					t.Errorf("%q cut after %d bytes looks whole", head, cutAt)
				}
			}
		}
	}
}
