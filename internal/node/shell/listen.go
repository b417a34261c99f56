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

// Connections that each listener accepts; more wait in the kernel's queue.
const (
	callerConnsMax = 8192
	targetConnsMax = 2048
	peerConnsMax   = 8192
	adminConnsMax  = 32
)

// Timeouts of connections that others open. The idle time is above the 15 s
// after which nodes close the connections that they opened.
const (
	headerTime   = 5 * time.Second
	idleTime     = 30 * time.Second
	shutdownTime = 3 * time.Second
)

// headerRoom is what the server accepts before wire.HeaderBytesMax is checked,
// so that the usual excess gets a problem body.
const headerRoom = 2 * wire.HeaderBytesMax

// Addresses are the IP addresses and ports of the listeners.
type Addresses struct{ Callers, Egress, Peers, Admin string }

// Listeners are the open ports of a node.
type Listeners struct{ callers, egress, peers, admin net.Listener }

// ErrNotLoopback means that the egress port could be reached from other hosts,
// which would let them act as this node's target.
var ErrNotLoopback = errors.New("the egress address is not a loopback address")

// Listen opens the ports of a node. It opens all or none.
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

// Addresses returns where the ports are open.
func (l *Listeners) Addresses() Addresses {
	return Addresses{
		Callers: l.callers.Addr().String(), Egress: l.egress.Addr().String(),
		Peers: l.peers.Addr().String(), Admin: l.admin.Addr().String(),
	}
}

// newServers returns the servers of the callers, egress, peers and admin ports.
func (s *Shell) newServers() []*http.Server {
	faults := log.New(&faultWriter{s}, "", 0)
	var servers []*http.Server
	for _, handler := range []http.Handler{
		s.callersHandler(), s.accept(gypsumrail.FromTarget), s.peersHandler(), s.adminHandler(),
	} {
		servers = append(servers, &http.Server{
			Handler: handler, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: headerRoom, ErrorLog: faults,
		})
	}
	return servers
}

// serve starts the servers.
func (s *Shell) serve() {
	l := s.listeners
	for i, opened := range []net.Listener{l.callers, l.egress, l.peers, l.admin} {
		go func() { _ = s.servers[i].Serve(opened) }()
	}
}

// callersHandler serves calls and POST /tickets. Calls do not pass through the
// router, which would hold informational answers back.
func (s *Shell) callersHandler() http.Handler {
	router := newRouter()
	router.POST("/tickets", s.tickets)
	calls := s.accept(gypsumrail.FromCaller)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/tickets" && r.Header.Get(wire.HeaderService) == "" {
			s.farewell(w, gypsumrail.FromCaller)
			router.ServeHTTP(w, r)
			return
		}
		calls(w, r)
	})
}

// peersHandler serves forwarded calls and control messages. They are told apart
// by the identity of the attempt, which every forwarded call has: the path of a
// call is chosen by its caller, who must not reach the control messages with it.
func (s *Shell) peersHandler() http.Handler {
	control := peer.NewServer(controlHandler{s}, servedMax)
	calls := s.accept(gypsumrail.FromPeer)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(wire.HeaderAttemptID) == "" && strings.HasPrefix(r.URL.Path, peer.PathPrefix) {
			control.ServeHTTP(w, r)
			return
		}
		calls(w, r)
	})
}

// shutdown closes the listeners. Answers whose last bytes are being written get
// a moment; everything else ended before.
func (s *Shell) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTime)
	defer cancel()
	s.drive.Close()
	// A server that has not begun to serve yet does not know its listener.
	s.listeners.Close()
	for _, server := range s.servers {
		if err := server.Shutdown(ctx); err != nil {
			_ = server.Close()
		}
	}
}

// faultWriter turns the messages of http.Server into log events.
type faultWriter struct{ s *Shell }

var _ io.Writer = (*faultWriter)(nil)

func (f *faultWriter) Write(p []byte) (int, error) {
	f.s.lines.Put(NoticeServerFault, f.s.settings.Self.Name, gypsumrail.ReasonNone, strings.TrimSpace(string(p)))
	return len(p), nil
}
