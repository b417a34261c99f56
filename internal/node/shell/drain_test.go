package shell

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/lab/stubs"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

// A drain must not fail a call that its caller sends on a connection that looks
// idle to the node. The answer must close the connection, or the caller would
// stay with the draining node.
func TestDrainOfIdleConnection(t *testing.T) {
	n := startNode(t, "n", options{
		target: target(t, stubs.TargetSettings{}).Address(),
		react: func(e *gypsumrail.Event) ([]gypsumrail.Effect, bool) {
			return nil, e.Kind == gypsumrail.DrainAsked // no effects: the drain does not complete
		},
	})
	n.awaitReady()
	conn, err := net.Dial("tcp", n.ports.Callers) //nolint:noctx // loopback
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	call := func() (*http.Response, error) {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+n.ports.Callers+"/x", http.NoBody)
		if err != nil {
			return nil, err
		}
		r.Header.Set(wire.HeaderService, "svc")
		r.Header.Set(wire.HeaderClass, "read")
		r.Header.Set(wire.HeaderRequest, "r-1")
		if err := r.Write(conn); err != nil {
			return nil, err
		}
		answer, err := http.ReadResponse(reader, r)
		if err == nil {
			_, err = io.Copy(io.Discard, answer.Body)
			_ = answer.Body.Close()
		}
		return answer, err
	}
	if answer, err := call(); err != nil || answer.Close {
		t.Fatalf("before the drain: %v, %v", answer, err)
	}
	n.shell.Drain()
	n.awaitKind(gypsumrail.DrainAsked)
	answer, err := call()
	if err != nil {
		t.Fatalf("a call on a connection that was idle when the drain began: %v", err)
	}
	if !answer.Close {
		t.Error("the answer of a draining node does not close the connection")
	}
}
