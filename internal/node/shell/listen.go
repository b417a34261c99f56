package shell

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"golang.org/x/net/netutil"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/peer"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

// Open connections per listener. Further ones wait in the kernel's accept queue.
const (
	callerConnsMax = 8192
	targetConnsMax = 2048
	peerConnsMax   = 8192
	adminConnsMax  = 32
)

// Timeouts of accepted connections. idleTimeout is above the 15 s after which a
// node closes idle connections that it opened, so that the opening side closes
// first.
const (
	headerTimeout   = 5 * time.Second
	idleTimeout     = 30 * time.Second
	shutdownTimeout = 3 * time.Second
)

// serverHeaderBytesMax is the limit of http.Server, which answers without a
// problem body. It is above wire.HeaderBytesMax so that headers that are
// moderately too long are rejected by parseCall, with a problem body.
const serverHeaderBytesMax = 2 * wire.HeaderBytesMax

// Addresses are the IP addresses and ports of the listeners.
type Addresses struct{ Callers, Egress, Peers, Admin string }

// Listeners are the open listening sockets of a node.
type Listeners struct{ callers, egress, peers, admin net.Listener }

// ErrNotLoopback is returned for an egress address that other hosts could
// reach. They could then send calls as if they were this node's target.
var ErrNotLoopback = errors.New("the egress address is not a loopback address")

// Listen opens the ports of a node. If one fails, it closes those that it has
// opened and returns an error that names the port.
func Listen(ctx context.Context, a Addresses) (*Listeners, error) {
	egress, err := netip.ParseAddrPort(a.Egress)
	if err != nil || !egress.Addr().IsLoopback() {
		return nil, fmt.Errorf("%w: %s", ErrNotLoopback, a.Egress)
	}
	l := &Listeners{}
	var config net.ListenConfig
	for _, port := range []struct {
		name    string
		address string
		conns   int
		to      *net.Listener
	}{
		{"callers", a.Callers, callerConnsMax, &l.callers},
		{"egress", a.Egress, targetConnsMax, &l.egress},
		{"peers", a.Peers, peerConnsMax, &l.peers},
		{"admin", a.Admin, adminConnsMax, &l.admin},
	} {
		opened, err := config.Listen(ctx, "tcp", port.address)
		if err != nil {
			l.Close()
			return nil, fmt.Errorf("%s port: %w", port.name, err)
		}
		*port.to = netutil.LimitListener(opened, port.conns)
	}
	return l, nil
}

// Close closes the ports.
func (l *Listeners) Close() {
	for _, opened := range []net.Listener{l.callers, l.egress, l.peers, l.admin} {
		if opened != nil {
			_ = opened.Close()
		}
	}
}

// Addresses returns the addresses that the listeners are bound to. A port 0 in
// the settings is replaced by the port that the kernel chose.
func (l *Listeners) Addresses() Addresses {
	return Addresses{
		Callers: l.callers.Addr().String(), Egress: l.egress.Addr().String(),
		Peers: l.peers.Addr().String(), Admin: l.admin.Addr().String(),
	}
}

// newServers returns the servers of the callers, egress, peers and admin ports,
// in this order.
func (s *Shell) newServers() []*http.Server {
	errorLog := log.New(&serverErrorWriter{s}, "", 0)
	var servers []*http.Server
	for _, handler := range []http.Handler{
		s.callersHandler(), s.callHandler(gypsumrail.FromTarget), s.peersHandler(), s.adminHandler(),
	} {
		servers = append(servers, &http.Server{
			Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: serverHeaderBytesMax, ErrorLog: errorLog,
		})
	}
	return servers
}

// serve starts one goroutine per server.
func (s *Shell) serve() {
	l := s.listeners
	for i, opened := range []net.Listener{l.callers, l.egress, l.peers, l.admin} {
		go func() { _ = s.servers[i].Serve(opened) }()
	}
}

// callersHandler serves calls and POST /tickets. Calls bypass the router,
// because it would not write informational (1xx) answers at once.
func (s *Shell) callersHandler() http.Handler {
	router := newRouter()
	router.POST("/tickets", s.tickets)
	calls := s.callHandler(gypsumrail.FromCaller)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/tickets" && r.Header.Get(wire.HeaderService) == "" {
			s.closeIfDraining(w, gypsumrail.FromCaller)
			router.ServeHTTP(w, r)
			return
		}
		calls(w, r)
	})
}

// peersHandler serves forwarded calls and control messages. A request with an
// attempt ID is a forwarded call, whatever its path. The path alone does not
// decide: callers choose the path of a call and must not reach the control
// messages with it.
func (s *Shell) peersHandler() http.Handler {
	control := peer.NewServer(controlHandler{s}, nil, incomingControlMax)
	calls := s.callHandler(gypsumrail.FromPeer)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(wire.HeaderAttemptID) == "" && strings.HasPrefix(r.URL.Path, peer.PathPrefix) {
			control.ServeHTTP(w, r)
			return
		}
		calls(w, r)
	})
}

// shutdown closes the listeners and servers. After a drain only the last bytes of
// some answers are still being written. They get shutdownTimeout to finish.
func (s *Shell) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	s.loop.Close()
	// Shutdown does not close the listener of a server whose Serve has not run yet.
	s.listeners.Close()
	for _, server := range s.servers {
		if err := server.Shutdown(ctx); err != nil {
			_ = server.Close()
		}
	}
}

// serverErrorWriter logs each error message of http.Server as NoticeServerFault.
type serverErrorWriter struct{ s *Shell }

var _ io.Writer = (*serverErrorWriter)(nil)

func (f *serverErrorWriter) Write(p []byte) (int, error) {
	f.s.log.Put(NoticeServerFault, f.s.settings.Self.Name, gypsumrail.ReasonNone, strings.TrimSpace(string(p)))
	return len(p), nil
}
