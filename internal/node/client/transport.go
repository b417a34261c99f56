// Package client sends HTTP requests to other nodes and to the target.
//
// It wraps the standard transport, which may resend requests by itself and does
// not say whether a failed request may have run. A node must know this. The
// package never resends a request, its errors state whether the request was
// sent, and it detects a connection that stopped carrying data within seconds.
package client

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumrail/gypsumrail/internal/node/form"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

// Timeouts of connections.
const (
	dialTimeout = time.Second
	// StoreDialTimeout is for connections to the platform's store, which connects within
	// milliseconds. While packets to it are dropped, a dial hangs; a new one soon after
	// notices the end of that, when retransmissions of the hanging one are seconds apart.
	StoreDialTimeout = 300 * time.Millisecond
	// idleTimeout is below the 30 s after which the receiving node closes an idle
	// connection. So the sender closes it first, and does not send a request on a
	// connection that the other side is closing.
	idleTimeout = 15 * time.Second
	// A connection whose other end is gone is closed after 3 unanswered
	// keep-alive probes, or when sent data is not acknowledged within
	// userTimeout.
	keepAliveInterval = 5 * time.Second
	keepAliveCount    = 3
	userTimeout       = 5 * time.Second
)

// connsPerHostDefault is the limit of connections per host until the records
// set one.
const connsPerHostDefault = 256

// Pool keeps connections for reuse. One limit of connections applies to each
// host. It is safe for concurrent use.
type Pool struct {
	dial         Dial
	mu           sync.Mutex
	connsPerHost int
	current      atomic.Pointer[http.Transport]
	observer     atomic.Pointer[Observer]
}

// Observer is told of each answer of an address that was refused for its form. It must not
// block, and is called concurrently.
type Observer func(address string, err error)

// Dial opens a connection. It must return within about a second, as the default
// one does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewPool returns an empty pool.
func NewPool() *Pool { return NewPoolWithDial(nil) }

// NewPoolWithDial returns an empty pool that opens its connections with the given
// function, so that a test can simulate a network partition. With nil it uses
// the default one.
func NewPoolWithDial(via Dial) *Pool {
	if via == nil {
		via = DialWithin(dialTimeout)
	}
	p := &Pool{dial: via}
	p.SetConns(connsPerHostDefault)
	return p
}

// SetConns limits the connections per host. Requests beyond the limit wait for
// a connection; with less than 1 the default limit applies. A new limit starts
// a new set of connections. Requests in flight finish on the old ones, which
// close when idle.
func (p *Pool) SetConns(perHost int) {
	if perHost < 1 {
		perHost = connsPerHostDefault
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.connsPerHost == perHost {
		return
	}
	p.connsPerHost = perHost
	// MaxConnsPerHost of a transport must not change while it is in use.
	if old := p.current.Swap(newTransport(p.dial, perHost, false)); old != nil {
		old.CloseIdleConnections()
	}
}

// Close closes the idle connections.
func (p *Pool) Close() { p.current.Load().CloseIdleConnections() }

// Observe sets the observer of the answers to further requests.
func (p *Pool) Observe(observer Observer) { p.observer.Store(&observer) }

// RoundTrip sends a request over a pooled connection. The error wraps a *form.Error if the other
// side sent something else than a response.
func (p *Pool) RoundTrip(r *http.Request) (*http.Response, error) {
	c := checked{next: p.current.Load()}
	if observer := p.observer.Load(); observer != nil {
		c.observer = *observer
	}
	return c.RoundTrip(r)
}

// checked is a transport that returns only responses.
type checked struct {
	next     http.RoundTripper
	observer Observer // nil for none
}

func (c checked) RoundTrip(r *http.Request) (*http.Response, error) {
	answer, err := c.next.RoundTrip(watchInterims(r))
	if err != nil {
		return nil, c.report(r, faultOf(err))
	}
	err = form.Check(answer)
	if err == nil {
		err = form.CheckNames(answer.Header)
	}
	if err == nil && hasBody(r) && !framed(r, answer) {
		err = form.New(form.Unframed, nil)
	}
	if err != nil {
		_ = answer.Body.Close()
		return nil, c.report(r, err)
	}
	answer.Body = &checkedBody{ReadCloser: answer.Body, answer: answer, report: func(err error) error { return c.report(r, err) }}
	return answer, nil
}

func hasBody(r *http.Request) bool { return r.Body != nil && r.Body != http.NoBody }

// framed reports whether the end of an answer can be told from that of its connection. Package
// net/http writes the body of a request while it reads the answer, and the socket may report a
// reset to the write only; the read then finds an end as after a close in order.
func framed(r *http.Request, answer *http.Response) bool {
	if r.Method == http.MethodHead || answer.StatusCode == http.StatusNoContent || answer.StatusCode == http.StatusNotModified {
		return true
	}
	return answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0
}

// report tells the observer if an answer was refused for its form, and returns the error with the
// package's name.
func (c checked) report(r *http.Request, err error) error {
	if _, ok := form.FaultOf(err); ok && c.observer != nil {
		c.observer(r.URL.Host, err)
	}
	return fmt.Errorf("client: %w", err)
}

// NewUnpooled returns a transport that opens a new connection for each request.
// The observer may be nil.
func NewUnpooled(observer Observer) http.RoundTripper { return NewUnpooledWithDial(nil, observer) }

// NewUnpooledWithDial is like NewUnpooled, but opens connections with the given
// function. With nil it uses the default one.
func NewUnpooledWithDial(via Dial, observer Observer) http.RoundTripper {
	if via == nil {
		via = DialWithin(dialTimeout)
	}
	return checked{newTransport(via, connsPerHostDefault, true), observer}
}

func newTransport(via Dial, perHost int, unpooled bool) *http.Transport {
	return &http.Transport{
		DialContext:           via,
		DisableCompression:    true, // bodies are forwarded unchanged
		DisableKeepAlives:     unpooled,
		MaxConnsPerHost:       perHost,
		MaxIdleConnsPerHost:   perHost,
		MaxIdleConns:          4 * perHost,
		IdleConnTimeout:       idleTimeout,
		ExpectContinueTimeout: time.Second,
		// A target's answer may have as many header bytes as a request. Twice
		// that leaves room for the receipts of long calls, which count towards
		// the limit unless a trace is set.
		MaxResponseHeaderBytes: 2 * wire.HeaderBytesMax,
	}
}

// DialWithin returns a Dial that fails if there is no connection within the timeout.
func DialWithin(timeout time.Duration) Dial {
	d := net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: UserTimeout(userTimeout),
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, fmt.Errorf("client: %w", err)
		}
		return conn, nil
	}
}
