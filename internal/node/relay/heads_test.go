package relay_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"github.com/gypsumrail/gypsumrail"
)

// cutter passes on bytes between a node and a peer. It ends a connection amid the head of an
// answer: after so many bytes of the answer on which cutAt was set.
type cutter struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	cutAt int // -1: pass everything on
}

// newCutter returns a cutter of calls to a node's peers port. Control messages pass unchanged on
// the port after its own, as at a node: without them, an answer that comes late on a busy
// machine makes the node seem lost.
func newCutter(t *testing.T, to string) *cutter {
	t.Helper()
	port := freePorts(t)
	listenCutter(t, port+1, portAfter(t, to))
	return listenCutter(t, port, to)
}

// portAfter returns the address with the next higher port.
func portAfter(t *testing.T, address string) string {
	t.Helper()
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		t.Fatal(err)
	}
	return netip.AddrPortFrom(parsed.Addr(), parsed.Port()+1).String()
}

func listenCutter(t *testing.T, port int, to string) *cutter {
	t.Helper()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)) //nolint:noctx // loopback
	if err != nil {
		t.Fatal(err)
	}
	c := &cutter{listener: listener, to: to, cutAt: -1}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go c.pass(conn)
		}
	}()
	return c
}

func (c *cutter) pass(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	peer, err := net.Dial("tcp", c.to) //nolint:noctx // loopback
	if err != nil {
		return
	}
	defer func() { _ = peer.Close() }()
	go func() { _, _ = io.Copy(peer, conn) }()
	buffer := make([]byte, 64<<10)
	for {
		n, err := peer.Read(buffer)
		c.mu.Lock()
		cutAt := c.cutAt
		c.mu.Unlock()
		if cutAt >= 0 {
			head := max(0, bytes.Index(buffer[:n], []byte("\r\n\r\n")))
			_, _ = conn.Write(buffer[:min(cutAt, head+3)])
			return
		}
		if _, writeErr := conn.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

func (c *cutter) setCut(at int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cutAt = at
}

// framings are ways in which a target marks the end of a body.
var framings = []struct{ name, head, body string }{
	{"length", "Content-Length: 2\r\n", "ok"},
	{"length and close", "Connection: close\r\nContent-Length: 2\r\n", "ok"},
	{"chunks", "Transfer-Encoding: chunked\r\n", "2\r\nok\r\n0\r\n\r\n"},
	{"end of connection", "Connection: close\r\n", "ok"},
	{"no body", "Content-Length: 0\r\n", ""},
}

// Guards against an answer that looks whole although its head never ended: the target stops
// amid the head and closes, on a new and on a kept connection.
func TestHeadOfTargetStops(t *testing.T) {
	for _, framing := range framings {
		for _, keeps := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/kept %v", framing.name, keeps), func(t *testing.T) {
				t.Parallel()
				cutAt := 0
				entry, _, _ := deployment(t, func(conn net.Conn, r *http.Request, body string) {
					if strings.HasSuffix(r.URL.Path, "plain") {
						writeEcho(conn, r, body)
						return
					}
					head := "HTTP/1.1 200 OK\r\nX-Id: " + r.Header.Get("X-Id") + "\r\nX-Proof: p\r\n" + framing.head + "\r\n"
					fmt.Fprint(conn, head[:min(cutAt, len(head)-1)])
					_ = conn.Close()
				})
				for cutAt = 0; cutAt < 110; cutAt += 3 {
					if keeps {
						sendRequest(t, entry, http.MethodPost, "/once/plain", fmt.Sprintf("plain-%d", cutAt), "")
					}
					got, body := sendRequest(t, entry, http.MethodPost, "/once/1", fmt.Sprintf("id-%d", cutAt), "")
					if got.StatusCode != http.StatusBadGateway {
						t.Errorf("a head cut after %d bytes was answered %d %q, want 502", cutAt, got.StatusCode, body)
					}
				}
			})
		}
	}
}

// Guards against the same between two nodes: the connection to the peer ends amid the head
// of its answer, which has more fields than that of a target.
func TestHeadOfPeerStops(t *testing.T) {
	for _, framing := range framings {
		for _, keeps := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/kept %v", framing.name, keeps), func(t *testing.T) {
				t.Parallel()
				entry, _, platform := deployment(t)
				back := newTarget(t, func(conn net.Conn, r *http.Request, body string) {
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Proof: p\r\n%s\r\n%s", r.Header.Get("X-Id"), framing.head, framing.body)
					if strings.Contains(framing.head, "close") {
						_ = conn.Close()
					}
				})
				node := startNode(t, "b", "back", back.listener.Addr().String(), platform)
				c := newCutter(t, node.ports.Peers)
				platform.put("instances/b", gypsumrail.Instance{
					Name: "b", Service: "back", Zone: "z", Address: c.listener.Addr().String(), State: gypsumrail.Live, Slots: 4,
				})
				node.awaitReady(t)
				for i := 0; ; i++ {
					got, _ := sendRequest(t, entry, http.MethodPost, "/once/plain", fmt.Sprintf("first-%d", i), "")
					if got.StatusCode == http.StatusOK {
						break
					}
					if i == 100 {
						t.Fatalf("the peer does not serve: %d", got.StatusCode)
					}
				}
				for cutAt := 0; cutAt < 300; cutAt += 7 {
					c.setCut(-1)
					if keeps {
						if got, _ := sendRequest(t, entry, http.MethodPost, "/once/plain", fmt.Sprintf("plain-%d", cutAt), ""); got.StatusCode != http.StatusOK {
							t.Fatalf("an answer that was not cut was answered %d", got.StatusCode)
						}
					}
					c.setCut(cutAt)
					got, body := sendRequest(t, entry, http.MethodPost, "/once/1", fmt.Sprintf("id-%d", cutAt), "")
					if got.StatusCode == http.StatusOK {
						t.Errorf("a head cut after %d bytes was answered 200 %q", cutAt, body)
					}
					if promisesNotRun(got.StatusCode) && back.ran(fmt.Sprintf("id-%d", cutAt)) {
						t.Errorf("a head cut after %d bytes was answered %d and ran", cutAt, got.StatusCode)
					}
				}
			})
		}
	}
}

// ran reports whether the target received a request with this identity.
func (s *target) ran(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runs {
		if r.Header.Get("X-Id") == id {
			return true
		}
	}
	return false
}
