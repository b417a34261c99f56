// Package pool keeps outgoing HTTP/1.1 connections for reuse.
//
// The relay of plain calls must know for each attempt whether the other side
// can have received it, and must be able to cancel it at any moment. Therefore
// a connection carries one exchange (a request and its answer) at a time, the
// pool sends and resends nothing itself, and the caller gets the connection.
// The caller reads and writes whole messages with the fasthttp library, which
// costs a fraction of the standard transport.
package pool

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/gypsumrail/gypsumrail/internal/node/client"
)

const (
	// dialTimeout is far above the time of a TCP handshake between zones. It is
	// short enough that an attempt to reach an instance behind a network
	// partition uses up only a part of the call's latency objective.
	dialTimeout = 400 * time.Millisecond
	// A connection whose other end is gone is closed after 2 unanswered
	// keep-alive probes, or when sent data is not acknowledged within
	// userTimeout. The timeout allows for lost packets, which are sent again
	// after 0.2 to 0.6 s.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	userTimeout       = 1200 * time.Millisecond
	// readerBytes is the size of the read buffer. The status line and headers
	// of an answer must fit into it; longer ones are rejected.
	readerBytes = 8 << 10
	// idlePerHost is the largest number of idle connections kept to one host.
	idlePerHost = 512
)

// ErrConnect means that no connection could be opened. Nothing was sent.
var ErrConnect = errors.New("no connection could be opened")

// Conn is a connection that carries one exchange at a time.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	Reused bool // it was idle in the pool, so the other end may have closed it
	Used   bool // it has carried an exchange; set by the caller

	host       string
	reuseUntil time.Time // the connection is not reused after this time
}

// Pool keeps idle connections by host. It is safe for concurrent use.
type Pool struct {
	dialer      net.Dialer
	idleTimeout time.Duration

	mu     sync.Mutex
	hosts  map[string][]*Conn // most recently used last
	opened uint64
	closed bool
}

// New returns an empty pool. A connection that was idle for longer than
// idleTimeout is not reused. Put can set a shorter time.
func New(idleTimeout time.Duration) *Pool {
	return &Pool{
		idleTimeout: idleTimeout,
		hosts:       make(map[string][]*Conn),
		dialer: net.Dialer{
			Timeout: dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
			},
			Control: client.UserTimeout(userTimeout),
		},
	}
}

// Get returns an idle connection to a host, given as IP:port, or opens one. It
// closes the idle connections that it finds expired or closed by the other end.
// The error wraps ErrConnect.
func (p *Pool) Get(host string) (*Conn, error) {
	now := time.Now()
	for c := p.popIdle(host); c != nil; c = p.popIdle(host) {
		if now.Before(c.reuseUntil) && c.reusable() {
			return c, nil
		}
		_ = c.Close()
	}
	conn, err := p.dialer.Dial("tcp", host)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrConnect, err)
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return &Conn{Conn: conn, Reader: bufio.NewReaderSize(conn, readerBytes), host: host}, nil
}

// popIdle removes and returns the most recently used idle connection to a host,
// or nil.
func (p *Pool) popIdle(host string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.hosts[host]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.hosts[host] = list[:len(list)-1]
	return c
}

// Put returns a connection to the pool after a complete exchange, or unused. The parameter
// keep is how long the other end keeps the connection open, or zero if unknown;
// the pool does not reuse the connection after that time. Put closes a connection
// that has unread bytes, since a later exchange would take them for its answer.
func (p *Pool) Put(c *Conn, keep time.Duration) {
	if keep <= 0 || keep > p.idleTimeout {
		keep = p.idleTimeout
	}
	c.reuseUntil, c.Reused = time.Now().Add(keep), true
	p.mu.Lock()
	if list := p.hosts[c.host]; c.Reader.Buffered() == 0 && !p.closed && len(list) < idlePerHost {
		p.hosts[c.host] = append(list, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	_ = c.Close()
}

// CloseIdle closes the idle connections to a host. It is called after a connection
// to the host stopped carrying data or could not be opened: the idle ones may
// have lost their other end too, for example because it was replaced.
func (p *Pool) CloseIdle(host string) {
	p.mu.Lock()
	list := p.hosts[host]
	delete(p.hosts, host)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// CloseExpired closes the idle connections that may no longer be reused. It is
// called at regular intervals, and after a failed exchange with the target.
func (p *Pool) CloseExpired() {
	now := time.Now()
	var expired []*Conn
	p.mu.Lock()
	for host, list := range p.hosts {
		valid := list[:0]
		for _, c := range list {
			if now.Before(c.reuseUntil) {
				valid = append(valid, c)
			} else {
				expired = append(expired, c)
			}
		}
		clear(list[len(valid):])
		if len(valid) == 0 {
			delete(p.hosts, host)
		} else {
			p.hosts[host] = valid
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}

// Opened returns the number of connections opened since the pool was created.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Close closes all idle connections. Put then closes every connection that it
// gets.
func (p *Pool) Close() {
	p.mu.Lock()
	hosts := p.hosts
	p.hosts, p.closed = make(map[string][]*Conn), true
	p.mu.Unlock()
	for _, list := range hosts {
		for _, c := range list {
			_ = c.Close()
		}
	}
}
