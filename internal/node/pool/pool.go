// Package pool keeps outgoing HTTP/1.1 connections for whole exchanges.
//
// The relay of plain calls must know of each attempt whether the other side can
// have received it, and must be able to end it at any moment. A connection is
// therefore used by one exchange at a time, nothing is sent twice, and the
// caller gets the connection itself. Messages are read and written whole by the
// fasthttp library, which costs a fraction of the standard transport.
package pool

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumrail/gypsumrail/internal/node/link"
)

const (
	// dialTimeout is far above a handshake between zones, and short enough that an
	// instance behind a partition costs a call only a part of its objective.
	dialTimeout = 400 * time.Millisecond
	// Probes and unacknowledged data end a connection that went silent. A lost
	// packet is sent again after 0.2 to 0.6 s.
	keepAliveIdle  = 2 * time.Second
	keepAliveEvery = time.Second
	keepAliveCount = 2
	userTimeout    = 1200 * time.Millisecond
	// readerSize holds the head of an answer; heads beyond it are refused.
	readerSize = 8 << 10
	// idlePerHost bounds the connections that are kept to one host.
	idlePerHost = 512
)

// ErrConnect means that no connection could be opened, so that nothing was sent.
var ErrConnect = errors.New("no connection could be opened")

// Conn is a connection that carries one exchange at a time.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	Reused bool         // it carried an exchange before
	Unsent atomic.Int32 // writes under way, or broken, beside the reading of an answer

	host  string
	until time.Time // when it may no longer be reused
}

// Pool keeps idle connections by host. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer
	idle   time.Duration

	mu     sync.Mutex
	hosts  map[string][]*Conn // the last used one is the last
	opened uint64
	closed bool
}

// New returns an empty pool. Connections that were idle for longer than the given
// time are not used again, unless Put says otherwise.
func New(idle time.Duration) *Pool {
	return &Pool{
		idle:  idle,
		hosts: make(map[string][]*Conn),
		dialer: net.Dialer{
			Timeout: dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepAliveIdle, Interval: keepAliveEvery, Count: keepAliveCount,
			},
			Control: link.UserTimeout(userTimeout),
		},
	}
}

// Get returns an idle connection to a host, or opens one. The error wraps ErrConnect.
func (p *Pool) Get(host string) (*Conn, error) {
	now := time.Now()
	for c := p.take(host); c != nil; c = p.take(host) {
		if now.Before(c.until) && c.quiet() {
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
	return &Conn{Conn: conn, Reader: bufio.NewReaderSize(conn, readerSize), host: host}, nil
}

func (p *Pool) take(host string) *Conn {
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

// Put gives a connection back after a whole exchange. Keep is how long its other
// end keeps it, or zero if that is not known. A connection that holds unread
// bytes is closed: they belong to no later exchange.
func (p *Pool) Put(c *Conn, keep time.Duration) {
	if keep <= 0 || keep > p.idle {
		keep = p.idle
	}
	c.until, c.Reused = time.Now().Add(keep), true
	p.mu.Lock()
	if list := p.hosts[c.host]; c.Reader.Buffered() == 0 && !p.closed && len(list) < idlePerHost {
		p.hosts[c.host] = append(list, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	_ = c.Close()
}

// Forget closes the idle connections to a host, after one of them went silent or
// its other end was replaced.
func (p *Pool) Forget(host string) {
	p.mu.Lock()
	list := p.hosts[host]
	delete(p.hosts, host)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Sweep closes the connections whose time is over.
func (p *Pool) Sweep() {
	now := time.Now()
	var old []*Conn
	p.mu.Lock()
	for host, list := range p.hosts {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.until) {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(p.hosts, host)
		} else {
			p.hosts[host] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
}

// Opened returns the number of connections that were opened.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Close closes all idle connections; connections given back later are closed too.
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
