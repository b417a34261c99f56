package demo

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

// Behavior of a target's outgoing calls without the layer. These are the usual
// settings of a client library.
const (
	hopRetriesMax = 3
	hopTimeout    = 300 * time.Millisecond
)

// direct is the HTTP handler that makes the outgoing calls of targets without
// the layer: round robin over the targets of a service, with retries at each
// hop. It is safe for concurrent use.
type direct struct {
	targets map[string][]string // addresses by service
	client  *http.Client
	next    atomic.Uint64
}

func newDirect(targets map[string][]string) *direct {
	return &direct{targets: targets, client: newClient()}
}

// newClient returns an HTTP client with enough connections for inFlightMax calls.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: inFlightMax, MaxConnsPerHost: inFlightMax, IdleConnTimeout: 5 * time.Second}}
}

// ServeHTTP makes one outgoing call of a target. It answers 502 if the service
// has no targets or all attempts fail.
func (d *direct) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	targets := d.targets[r.Header.Get(wire.HeaderService)]
	if len(targets) == 0 {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	for range 1 + hopRetriesMax {
		target := targets[d.next.Add(1)%uint64(len(targets))]
		if d.forward(w, r, target) || r.Context().Err() != nil {
			return
		}
	}
	w.WriteHeader(http.StatusBadGateway)
}

// forward makes one attempt. It copies a 200 answer to w and returns true.
// Otherwise it returns false and leaves w untouched.
func (d *direct) forward(w http.ResponseWriter, r *http.Request, target string) bool {
	ctx, cancel := context.WithTimeout(r.Context(), hopTimeout)
	defer cancel()
	out, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+r.URL.Path, http.NoBody)
	if err != nil {
		return false
	}
	out.Header = r.Header.Clone()
	answer, err := d.client.Do(out)
	if err != nil {
		return false
	}
	defer answer.Body.Close() //nolint:errcheck // nothing was written
	if answer.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, answer.Body)
		return false
	}
	w.Header().Set("Content-Length", answer.Header.Get("Content-Length"))
	w.WriteHeader(answer.StatusCode)
	_, _ = io.Copy(w, answer.Body)
	return true
}
