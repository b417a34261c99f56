package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/admin"
	"github.com/gypsumrail/gypsumrail/internal/node/peer"
	"github.com/gypsumrail/gypsumrail/internal/node/shell"
)

// Addresses are the ports of a relay, as IP address and port.
type Addresses struct {
	Clients string // for clients and the outgoing requests of the own target
	Peers   string // for calls of other nodes; their control messages come to the next port
	Ready   string // for the platform's readiness probes
	Admin   string // for operators
}

// Listeners are the open ports of a relay.
type Listeners struct {
	clients, peers, control, ready, admin net.Listener
}

// ErrListen means that a port could not be opened.
var ErrListen = errors.New("cannot listen")

// Listen opens all ports.
func Listen(ctx context.Context, a Addresses) (*Listeners, error) {
	l := &Listeners{}
	var config net.ListenConfig
	for _, port := range [...]struct {
		name    string
		address string
		into    *net.Listener
	}{
		{"clients", a.Clients, &l.clients}, {"peers", a.Peers, &l.peers}, {"control", controlAddress(a.Peers), &l.control},
		{"ready", a.Ready, &l.ready}, {"admin", a.Admin, &l.admin},
	} {
		listener, err := config.Listen(ctx, "tcp", port.address)
		if err != nil {
			l.close()
			return nil, fmt.Errorf("%w on the %s port: %w", ErrListen, port.name, err)
		}
		*port.into = listener
	}
	return l, nil
}

func (l *Listeners) close() {
	for _, listener := range [...]net.Listener{l.clients, l.peers, l.control, l.ready, l.admin} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// serve starts to serve all ports and returns the servers of those that
// net/http serves.
func (r *Relay) serve() []*http.Server {
	go r.accept(r.listeners.clients, gypsumrail.FromCaller)
	go r.accept(r.listeners.peers, gypsumrail.FromPeer)
	servers := []*http.Server{
		newServer(peer.NewServer(controlHandler{r}, servedMax)), newServer(r.readyHandler()), newServer(r.adminHandler()),
	}
	for i, listener := range []net.Listener{r.listeners.control, r.listeners.ready, r.listeners.admin} {
		go func() {
			if err := servers[i].Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				r.lines.Put(shell.NoticeServerFault, listener.Addr().String(), gypsumrail.ReasonNone, err.Error())
			}
		}()
	}
	return servers
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime}
}

// accept serves the connections of one port.
func (r *Relay) accept(listener net.Listener, origin gypsumrail.Origin) {
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			go r.serveConn(conn, origin)
		case errors.Is(err, net.ErrClosed):
			return
		default:
			r.lines.Put(shell.NoticeServerFault, listener.Addr().String(), gypsumrail.ReasonNone, err.Error())
			time.Sleep(acceptPause)
		}
	}
}

// acceptPause is the wait after a failed accept; such faults come from a lack of
// descriptors, which the end of other connections frees.
const acceptPause = 10 * time.Millisecond

func (r *Relay) isReady() bool {
	return !r.leaving.Load() && r.records.Load() != nil && r.listed.Load()
}

func newRouter() *gin.Engine {
	gin.SetMode(gin.ReleaseMode)
	return gin.New()
}

// ready answers 200 while the node should get clients.
func (r *Relay) ready(c *gin.Context) {
	switch {
	case r.leaving.Load():
		c.String(http.StatusServiceUnavailable, "draining\n")
	case !r.isReady():
		c.String(http.StatusServiceUnavailable, "no records or instances yet\n")
	default:
		c.String(http.StatusOK, "ready\n")
	}
}

func (r *Relay) readyHandler() http.Handler {
	router := newRouter()
	router.NoRoute(r.ready)
	return router
}

func (r *Relay) adminHandler() http.Handler {
	router := newRouter()
	router.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	router.GET("/readyz", r.ready)
	router.GET("/status", r.status)
	router.GET("/events", func(c *gin.Context) { r.drive.Events().Serve(c, r.known) })
	if r.parts.Metrics != nil {
		router.GET("/metrics", gin.WrapH(r.parts.Metrics))
	}
	return router
}

func (r *Relay) status(c *gin.Context) {
	r.mu.Lock()
	var node any
	if r.parts.Status != nil {
		node = r.parts.Status()
	}
	content, err := json.Marshal(struct {
		Node  any
		Shell admin.Shell
	}{node, admin.Shell{
		Calls: len(r.calls), Ready: r.isReady(), Watching: !r.away.Load(), LinesDropped: r.lines.Dropped(), EventsDropped: r.drive.Events().Dropped(),
		RecordsInForce: r.revision(),
	}})
	r.mu.Unlock()
	if err != nil {
		c.String(http.StatusInternalServerError, "status: %v\n", err)
		return
	}
	c.Data(http.StatusOK, "application/json", content)
}

func (r *Relay) describe() string {
	s := &r.settings
	return "Service=" + s.Self.Service + " Zone=" + s.Self.Zone + " Peers=" + s.Self.Address + " Target=" + s.Target
}
