package peer

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/gypsumrail/gypsumrail"
)

// PathPrefix is the path below which the service answers.
const PathPrefix = ControlPathPrefix

// NewServer returns the HTTP handler of the service. At most limit calls run at
// once; more get ErrBusy. It is safe for concurrent use.
func NewServer(handler Handler, limit int) http.Handler {
	service := NewControlServer(&server{handler: handler, slots: make(chan struct{}, limit)})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, requestMax(r.URL.Path))
		service.ServeHTTP(w, r)
	})
}

// requestMax returns the size limit of a request. A Pull request has no content and
// needs no more room than a Resolve.
func requestMax(path string) int64 {
	if strings.HasSuffix(path, "/Exchange") {
		return ExchangeMax
	}
	return ResolveMax
}

type server struct {
	handler Handler
	slots   chan struct{}
}

func (s *server) enter() error {
	select {
	case s.slots <- struct{}{}:
		return nil
	default:
		return errorTo(ErrBusy)
	}
}

func (s *server) leave() { <-s.slots }

func (s *server) Exchange(ctx context.Context, m *ExchangeMessage) (*ExchangeMessage, error) {
	if err := s.enter(); err != nil {
		return nil, err
	}
	defer s.leave()
	e, err := fromExchange(m)
	if err != nil {
		return nil, errorTo(err)
	}
	answer, err := s.handler.Exchange(ctx, e)
	if err != nil {
		return nil, errorTo(err)
	}
	return toExchange(answer), nil
}

func (s *server) Pull(ctx context.Context, m *PullRequest) (*PullAnswer, error) {
	if err := s.enter(); err != nil {
		return nil, err
	}
	defer s.leave()
	wanted, err := fromValue(m.GetValue())
	if err != nil {
		return nil, errorTo(err)
	}
	version, compressed, err := s.handler.Pull(ctx, wanted)
	if err != nil {
		return nil, errorTo(err)
	}
	return &PullAnswer{Value: toValue(version), Content: compressed}, nil
}

func (s *server) Resolve(ctx context.Context, m *ResolveRequest) (*ResolveAnswer, error) {
	if err := s.enter(); err != nil {
		return nil, err
	}
	defer s.leave()
	if len(m.GetKey()) > keyMax {
		return nil, errorTo(fmt.Errorf("%w: key is longer than %d bytes", ErrMalformed, keyMax))
	}
	r, err := s.handler.Resolve(ctx, m.GetKey(), gypsumrail.HomeAttempt(m.GetHomeAttempt()))
	if err != nil {
		return nil, errorTo(err)
	}
	return &ResolveAnswer{Outcome: string(r.Outcome), Reason: string(r.Reason), Report: toReport(r.Report)}, nil
}
