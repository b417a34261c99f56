package peer

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/gypsumrail/gypsumrail"
)

// PathPrefix is the common prefix of the URL paths of the service.
const PathPrefix = ControlPathPrefix

// readsMax is the limit of concurrent Read calls. Most of them wait for a change.
const readsMax = 256

// NewServer returns the HTTP handler of the service. At most limit calls run at
// once, besides readsMax calls of Read. Further calls are rejected with ErrBusy.
// Read is answered from the store, or with ErrNotFound if that is nil. The handler
// is safe for concurrent use.
func NewServer(handler Handler, store gypsumrail.Store, limit int) http.Handler {
	service := NewControlServer(&server{
		handler: handler, store: store, slots: make(chan struct{}, limit), readSlots: make(chan struct{}, readsMax),
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, requestMax(r.URL.Path))
		service.ServeHTTP(w, r)
	})
}

// requestMax returns the size limit in bytes of a request to a URL path. A Pull
// request has no content, so ResolveMax is enough for it.
func requestMax(path string) int64 {
	if strings.HasSuffix(path, "/Exchange") || strings.HasSuffix(path, "/Grant") {
		return ExchangeMax
	}
	return ResolveMax
}

type server struct {
	handler   Handler
	store     gypsumrail.Store
	slots     chan struct{}
	readSlots chan struct{}
}

// acquire reserves a slot for one call, or returns ErrBusy as a Twirp error if all
// are in use.
func acquire(slots chan struct{}) error {
	select {
	case slots <- struct{}{}:
		return nil
	default:
		return toTwirpError(ErrBusy)
	}
}

func (s *server) acquireSlot() error { return acquire(s.slots) }

func (s *server) releaseSlot() { <-s.slots }

func (s *server) Exchange(ctx context.Context, m *ExchangeMessage) (*ExchangeMessage, error) {
	if err := s.acquireSlot(); err != nil {
		return nil, err
	}
	defer s.releaseSlot()
	e, err := fromExchange(m)
	if err != nil {
		return nil, toTwirpError(err)
	}
	answer, err := s.handler.Exchange(ctx, e)
	if err != nil {
		return nil, toTwirpError(err)
	}
	return toExchange(answer), nil
}

func (s *server) Pull(ctx context.Context, m *PullRequest) (*PullAnswer, error) {
	if err := s.acquireSlot(); err != nil {
		return nil, err
	}
	defer s.releaseSlot()
	wanted, err := fromValue(m.GetValue())
	if err != nil {
		return nil, toTwirpError(err)
	}
	version, compressed, err := s.handler.Pull(ctx, wanted)
	if err != nil {
		return nil, toTwirpError(err)
	}
	return &PullAnswer{Value: toValue(version), Content: compressed}, nil
}

func (s *server) Resolve(ctx context.Context, m *ResolveRequest) (*ResolveAnswer, error) {
	if err := s.acquireSlot(); err != nil {
		return nil, err
	}
	defer s.releaseSlot()
	if len(m.GetKey()) > keyMax {
		return nil, toTwirpError(fmt.Errorf("%w: key is longer than %d bytes", ErrMalformed, keyMax))
	}
	r, err := s.handler.Resolve(ctx, m.GetKey(), gypsumrail.HomeAttempt(m.GetHomeAttempt()))
	if err != nil {
		return nil, toTwirpError(err)
	}
	return &ResolveAnswer{Outcome: string(r.Outcome), Reason: string(r.Reason), Report: toReport(r.Report)}, nil
}
