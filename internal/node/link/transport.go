// Package link makes the outgoing connections of a node.
//
// It exists because the standard transport is built for clients that want an
// answer, while a node must know whether a request may have run. Requests are
// never resent on their own, a failure tells whether the request was sent, and
// a connection that stopped carrying data is noticed within seconds.
package link

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

// Timeouts of connections.
const (
	dialTimeout = time.Second
	// idleTimeout is below the 30 s after which nodes close idle connections, so
	// that the side that would send next is the one that closes.
	idleTimeout = 15 * time.Second
	// keepAlive and userTimeout end connections whose other end is gone: a probe
	// every 5 s, and at most 5 s for sent data to be acknowledged.
	keepAlive      = 5 * time.Second
	keepAliveCount = 3
	userTimeout    = 5 * time.Second
)

// connsDefault is the bound per host until the records tell one.
const connsDefault = 256

// Pool keeps connections to the hosts of one kind. It is safe for concurrent use.
type Pool struct {
	dial    Dial
	mu      sync.Mutex
	conns   int
	current atomic.Pointer[http.Transport]
}

// Dial opens a connection. It must end within about a second, as the pool's own does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewPool returns an empty pool.
func NewPool() *Pool { return NewPoolVia(nil) }

// NewPoolVia returns an empty pool that opens its connections by other means, so
// that a test can separate two nodes; nil takes the usual one.
func NewPoolVia(via Dial) *Pool {
	if via == nil {
		via = dial
	}
	p := &Pool{dial: via}
	p.SetConns(connsDefault)
	return p
}

// SetConns bounds the connections per host. Requests beyond the bound wait for
// a connection. The connections of the former bound are used up and then close
// when they are idle.
func (p *Pool) SetConns(perHost int) {
	if perHost < 1 {
		perHost = connsDefault
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == perHost {
		return
	}
	p.conns = perHost
	// A transport's bound must not change while it is in use.
	if old := p.current.Swap(newTransport(p.dial, perHost, false)); old != nil {
		old.CloseIdleConnections()
	}
}

// Close closes the idle connections.
func (p *Pool) Close() { p.current.Load().CloseIdleConnections() }

// RoundTrip sends a request over a pooled connection.
func (p *Pool) RoundTrip(r *http.Request) (*http.Response, error) {
	answer, err := p.current.Load().RoundTrip(r)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	return answer, nil
}

// NewFresh returns a transport that opens a new connection for each request.
func NewFresh() http.RoundTripper { return NewFreshVia(nil) }

// NewFreshVia is NewFresh with other means to open a connection; nil takes the usual one.
func NewFreshVia(via Dial) http.RoundTripper {
	if via == nil {
		via = dial
	}
	return newTransport(via, connsDefault, true)
}

func newTransport(via Dial, perHost int, fresh bool) *http.Transport {
	return &http.Transport{
		DialContext:           via,
		DisableCompression:    true, // bodies pass unchanged
		DisableKeepAlives:     fresh,
		MaxConnsPerHost:       perHost,
		MaxIdleConnsPerHost:   perHost,
		MaxIdleConns:          4 * perHost,
		IdleConnTimeout:       idleTimeout,
		ExpectContinueTimeout: time.Second,
		// Receipts of long calls count towards the headers unless a trace is set,
		// and a target's answer may have as many headers as a request.
		MaxResponseHeaderBytes: 2 * wire.HeaderBytesMax,
	}
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAlive, Interval: keepAlive, Count: keepAliveCount,
		},
		Control: UserTimeout(userTimeout),
	}
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	return conn, nil
}
