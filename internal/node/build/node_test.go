package build

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/shell"
)

func settings() Settings {
	const free = "127.0.0.1:0"
	return Settings{
		Self:   gypsumrail.Instance{Name: "n", Service: "s", Zone: "z", Address: "127.0.0.1:1"},
		Listen: shell.Addresses{Callers: free, Egress: free, Peers: free, Admin: free},
		Target: "127.0.0.1:1", Platform: "127.0.0.1:1", Log: io.Discard,
	}
}

// A node must be assembled without an error and must stop when its context ends.
// Two starts must get different incarnations.
func TestRun(t *testing.T) {
	n, err := New(t.Context(), settings())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := n.Run(ctx); err != nil {
		t.Error(err)
	}
	first, second := newSelf(settings()), newSelf(settings())
	if first.Incarnation == second.Incarnation || first.Incarnation == 0 || first.State != gypsumrail.Live {
		t.Errorf("two starts gave %+v and %+v", first, second)
	}
}

// If a port is in use, the error must name the port and its address.
func TestPortInUse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	s := settings()
	s.Listen.Admin = l.Addr().String()
	_, err = New(t.Context(), s)
	if err == nil || !strings.HasPrefix(err.Error(), "assemble the node: admin port: listen tcp "+s.Listen.Admin) {
		t.Errorf("a port in use gives %v", err)
	}
}

// A node whose peers port is chosen by the system must advertise the real port
// number and not 0, at which other nodes cannot reach it.
func TestAddress(t *testing.T) {
	s := settings()
	s.Self.Address = ""
	n, err := New(t.Context(), s)
	if err != nil {
		t.Fatal(err)
	}
	if got := n.Self().Address; got != n.Addresses().Peers || strings.HasSuffix(got, ":0") {
		t.Errorf("the address is %q, the peers port %q", got, n.Addresses().Peers)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := n.Run(ctx); err != nil {
		t.Error(err)
	}
}
