package stubs

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// linksMax bounds the connections of a relay.
const linksMax = 2048

// Relay passes TCP connections on to another port and can disturb them. It is
// safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	links  map[*link]bool
	delay  time.Duration
	refuse bool
	closed bool
	opened int
}

// link is one connection on both sides of the relay.
type link struct {
	in, out net.Conn
	hold    chan struct{} // closed when the link goes silent
	end     chan struct{} // closed when the link ends
	once    sync.Once
	silence sync.Once
}

func (l *link) close() {
	l.once.Do(func() {
		close(l.end)
		_ = l.in.Close()
		_ = l.out.Close()
	})
}

// NewRelay starts a relay to an IP address and port.
func NewRelay(target string) (*Relay, error) {
	l, err := listen("")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, target: target, links: make(map[*link]bool)}
	go r.accept()
	return r, nil
}

// Address returns the IP address and port to connect to.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Opened returns how many connections were accepted.
func (r *Relay) Opened() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opened
}

// SetDelay delays each piece of data in both directions.
func (r *Relay) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// SetRefuse makes the relay close new connections at once.
func (r *Relay) SetRefuse(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refuse = on
}

// Cut closes the connections that are open now.
func (r *Relay) Cut() { r.each((*link).close) }

// Hold stops carrying data on the connections that are open now, for good and
// without closing them. New connections work.
func (r *Relay) Hold() { r.each(func(l *link) { l.silence.Do(func() { close(l.hold) }) }) }

// HalfClose ends the direction from the target on the connections that are open now.
func (r *Relay) HalfClose() {
	r.each(func(l *link) {
		if c, ok := l.in.(*net.TCPConn); ok {
			_ = c.CloseWrite()
		}
	})
}

// Close stops the relay and closes all connections.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	_ = r.listener.Close()
	r.Cut()
}

func (r *Relay) each(do func(*link)) {
	r.mu.Lock()
	links := make([]*link, 0, len(r.links))
	for l := range r.links {
		links = append(links, l)
	}
	r.mu.Unlock()
	for _, l := range links {
		do(l)
	}
}

func (r *Relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.open(in)
	}
}

func (r *Relay) open(in net.Conn) {
	r.mu.Lock()
	r.opened++
	refuse := r.refuse || r.closed || len(r.links) >= linksMax
	r.mu.Unlock()
	if refuse {
		_ = in.Close()
		return
	}
	out, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		_ = in.Close()
		return
	}
	l := &link{in: in, out: out, hold: make(chan struct{}), end: make(chan struct{})}
	r.mu.Lock()
	r.links[l] = true
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { r.carry(l, out, in) })
	both.Go(func() { r.carry(l, in, out) })
	both.Wait()
	l.close()
	r.mu.Lock()
	delete(r.links, l)
	r.mu.Unlock()
}

// carry copies one direction until it ends. A held link reads nothing more and
// stays open.
func (r *Relay) carry(l *link, to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		r.mu.Lock()
		delay := r.delay
		r.mu.Unlock()
		if n > 0 && delay > 0 {
			select {
			case <-time.After(delay):
			case <-l.end:
				return
			}
		}
		select {
		case <-l.hold:
			<-l.end
			return
		default:
		}
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				l.close()
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				l.close()
				return
			}
			if c, ok := to.(*net.TCPConn); ok {
				_ = c.CloseWrite()
			}
			return
		}
	}
}
