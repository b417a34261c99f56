package stubs

import (
	"bufio"
	"net"
	"net/http"
	"testing"
)

// Raw accepts connections until the end of a test and hands each over with the first request
// on it, whose body is not read. The connection is closed when serve returns. Raw returns the
// address.
func Raw(t testing.TB, serve func(conn net.Conn, r *http.Request)) string {
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
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					serve(conn, r)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// Reset closes a connection with a reset, whatever was read from it.
func Reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
