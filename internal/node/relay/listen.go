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

// Addresses are the listening addresses of a relay, each an IP address and port.
type Addresses struct {
	Clients string // for clients and the outgoing requests of this node's target
	Peers   string // for calls of other nodes; the next port receives their control messages
	Ready   string // for the platform's readiness probes
	Admin   string // for operators
}

// Listeners are the open listeners of a relay. New takes ownership of them.
type Listeners struct {
	clients, peers, control, ready, admin net.Listener
}

// ErrListen means that Listen could not open a port.
var ErrListen = errors.New("cannot listen")

// Listen opens all ports. If one fails, it closes the others and returns an error
// that wraps ErrListen and names the port.
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

// serve starts serving all ports. It returns the HTTP servers of the control, ready
// and admin ports for closing.
func (r *Relay) serve() []*http.Server {
	go r.accept(r.listeners.clients, gypsumrail.FromCaller)
	go r.accept(r.listeners.peers, gypsumrail.FromPeer)
	servers := []*http.Server{
		newServer(peer.NewServer(controlHandler{r}, r.follower, incomingControlMax)), newServer(r.readyHandler()), newServer(r.adminHandler()),
	}
	for i, listener := range []net.Listener{r.listeners.control, r.listeners.ready, r.listeners.admin} {
		go func() {
			if err := servers[i].Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				r.log.Put(shell.NoticeServerFault, listener.Addr().String(), gypsumrail.ReasonNone, err.Error())
			}
		}()
	}
	return servers
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: defaultHeaderTime, IdleTimeout: defaultIdleTime}
}

// accept serves each connection of one port in its own goroutine until the listener
// is closed.
func (r *Relay) accept(listener net.Listener, origin gypsumrail.Origin) {
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			go r.serveConn(conn, origin)
		case errors.Is(err, net.ErrClosed):
			return
		default:
			r.log.Put(shell.NoticeServerFault, listener.Addr().String(), gypsumrail.ReasonNone, err.Error())
			time.Sleep(acceptRetryDelay)
		}
	}
}

// acceptRetryDelay is the delay after a failed accept. Accepts fail for lack of file
// descriptors, which other connections free when they close.
const acceptRetryDelay = 10 * time.Millisecond

// isReady reports whether the node has records and an instance list and does not drain.
func (r *Relay) isReady() bool {
	return !r.draining.Load() && r.records.Load() != nil && r.instancesRead.Load()
}

func newRouter() *gin.Engine {
	gin.SetMode(gin.ReleaseMode)
	return gin.New()
}

// ready answers 200 while the platform may send clients to the node, otherwise 503.
func (r *Relay) ready(c *gin.Context) {
	switch {
	case r.draining.Load():
		c.String(http.StatusServiceUnavailable, "draining\n")
	case !r.isReady():
		c.String(http.StatusServiceUnavailable, "no records or instances yet\n")
	default:
		c.String(http.StatusOK, "ready\n")
	}
}

// readyHandler answers the readiness probe on every path.
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
	router.POST(admin.ReleasePath, admin.ReleaseHandler(r.post))
	router.GET("/events", func(c *gin.Context) { r.loop.Events().Serve(c, r.valuesInForce) })
	if r.parts.Metrics != nil {
		router.GET("/metrics", gin.WrapH(r.parts.Metrics))
	}
	return router
}

func (r *Relay) status(c *gin.Context) {
	answers, requests := r.parts.Answers.Usage(), r.parts.Requests.Usage()
	r.mu.Lock()
	var node any
	if r.parts.Status != nil {
		node = r.parts.Status()
	}
	content, err := json.Marshal(struct {
		Node  any
		Shell admin.Shell
	}{node, admin.Shell{
		Calls: len(r.calls), Ready: r.isReady(), Watching: !r.platformLost.Load(), Source: r.follower.Source(), LinesDropped: r.log.Dropped(), EventsDropped: r.loop.Events().Dropped(),
		RecordsInForce: r.revision(), AnswerMemory: &answers, RequestMemory: &requests,
	}})
	r.mu.Unlock()
	if err != nil {
		c.String(http.StatusInternalServerError, "status: %v\n", err)
		return
	}
	c.Data(http.StatusOK, "application/json", content)
}

// settingsDetail formats the settings for the detail of NoticeNodeStarted.
func (r *Relay) settingsDetail() string {
	s := &r.settings
	return "Service=" + s.Self.Service + " Zone=" + s.Self.Zone + " Peers=" + s.Self.Address + " Target=" + s.Target
}
