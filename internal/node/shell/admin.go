package shell

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/gin-gonic/gin"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/admin"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

func newRouter() *gin.Engine {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.HandleMethodNotAllowed = true
	return router
}

// readiness is what /readyz reports. The node is ready if it has adopted records
// or works with the defaults, and does not drain.
type readiness struct{ configured, draining atomic.Bool }

func (r *readiness) setConfigured() { r.configured.Store(true) }
func (r *readiness) setDraining()   { r.draining.Store(true) }

// adminHandler serves the admin port.
func (s *Shell) adminHandler() http.Handler {
	router := newRouter()
	router.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	router.GET("/readyz", s.readyz)
	router.GET("/status", s.status)
	router.POST(admin.ReleasePath, admin.ReleaseHandler(s.post))
	router.GET("/events", func(c *gin.Context) { s.loop.Events().Serve(c, func() []gypsumrail.Event { return nil }) })
	if s.parts.Metrics != nil {
		router.GET("/metrics", gin.WrapH(s.parts.Metrics))
	}
	return router
}

func (s *Shell) readyz(c *gin.Context) {
	switch {
	case s.ready.draining.Load():
		c.String(http.StatusServiceUnavailable, "draining\n")
	case !s.ready.configured.Load():
		c.String(http.StatusServiceUnavailable, "no records yet\n")
	default:
		c.String(http.StatusOK, "ready\n")
	}
}

func (s *Shell) status(c *gin.Context) {
	s.mu.Lock()
	var node any
	if s.parts.Status != nil {
		node = s.parts.Status()
	}
	content, err := json.Marshal(struct {
		Node  any
		Shell admin.Shell
	}{node, admin.Shell{
		Calls: len(s.calls), Answers: s.stored.Len(),
		Ready:    s.ready.configured.Load() && !s.ready.draining.Load(),
		Watching: s.stopWatch != nil, LinesDropped: s.log.Dropped(), EventsDropped: s.loop.Events().Dropped(),
		RecordsInForce: s.store.Revision(gypsumrail.ValueRecords),
	}})
	s.mu.Unlock()
	if err != nil {
		c.String(http.StatusInternalServerError, "status: %v\n", err)
		return
	}
	c.Data(http.StatusOK, "application/json", content)
}

// tickets answers POST /tickets?Service=&Class=&Count= with Count idempotency
// keys that the reducer makes, or with a problem body.
func (s *Shell) tickets(c *gin.Context) {
	service, class := c.Query("Service"), c.Query("Class")
	count, err := strconv.Atoi(c.DefaultQuery("Count", "1"))
	var fault *wire.FieldError
	switch {
	case !wire.ValidName(service):
		fault = &wire.FieldError{Field: "Service", Problem: "is missing or malformed"}
	case !wire.ValidName(class):
		fault = &wire.FieldError{Field: "Class", Problem: "is missing or malformed"}
	case err != nil || count < 1 || count > wire.TicketsMax:
		fault = &wire.FieldError{Field: "Count", Problem: "must be a whole number from 1 to " + strconv.Itoa(wire.TicketsMax)}
	}
	if fault != nil {
		wire.WriteProblem(c.Writer, wire.ProblemOf(fault))
		return
	}
	e, err := s.askReducer(c.Request.Context(), &gypsumrail.Event{
		Kind: gypsumrail.TicketsAsked, Count: count,
		Arrival: &gypsumrail.Arrival{Origin: gypsumrail.FromCaller, Service: service, Class: class, Attempt: 1},
	})
	if err != nil {
		e.Reason = gypsumrail.ReasonNoUpstream
	}
	if len(e.Keys) == 0 {
		wire.WriteProblem(c.Writer, wire.Problem{Outcome: gypsumrail.NotRun, Reason: e.Reason, RetryAfter: gypsumrail.Second})
		return
	}
	c.JSON(http.StatusOK, struct{ Keys []string }{e.Keys})
}
