package stubs

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// connectionsMax bounds the open connections of a relay; it closes further ones.
const connectionsMax = 2048

// Relay forwards TCP connections to another port and injects faults into them. It is
// safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	connections map[*connection]bool
	delay       time.Duration
	refusing    bool
	closed      bool
	opened      int
}

// connection is a pair of TCP connections: in from the client, out to the target.
type connection struct {
	in, out     net.Conn
	silenced    chan struct{} // closed when the relay stops forwarding
	ended       chan struct{} // closed when both sides are closed
	closeOnce   sync.Once
	silenceOnce sync.Once
}

func (l *connection) close() {
	l.closeOnce.Do(func() {
		close(l.ended)
		_ = l.in.Close()
		_ = l.out.Close()
	})
}

// NewRelay starts a relay on a free loopback port to an IP address and port.
func NewRelay(target string) (*Relay, error) {
	l, err := listen("")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, target: target, connections: make(map[*connection]bool)}
	go r.accept()
	return r, nil
}

// Address returns the IP address and port to connect to.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Opened returns how many connections the relay accepted, refused ones included.
func (r *Relay) Opened() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opened
}

// SetDelay delays each chunk of data in both directions. Zero ends it.
func (r *Relay) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// SetRefusing makes the relay close new connections at once.
func (r *Relay) SetRefusing(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusing = on
}

// Cut closes the connections that are open now.
func (r *Relay) Cut() { r.forEach((*connection).close) }

// Silence stops forwarding data on the connections that are open now, without closing
// them, until Cut or Close. New connections work.
func (r *Relay) Silence() {
	r.forEach(func(l *connection) { l.silenceOnce.Do(func() { close(l.silenced) }) })
}

// HalfClose closes the direction from the target to the client on the connections
// that are open now.
func (r *Relay) HalfClose() {
	r.forEach(func(l *connection) {
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

func (r *Relay) forEach(do func(*connection)) {
	r.mu.Lock()
	connections := make([]*connection, 0, len(r.connections))
	for l := range r.connections {
		connections = append(connections, l)
	}
	r.mu.Unlock()
	for _, l := range connections {
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
	refusing := r.refusing || r.closed || len(r.connections) >= connectionsMax
	r.mu.Unlock()
	if refusing {
		_ = in.Close()
		return
	}
	out, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		_ = in.Close()
		return
	}
	l := &connection{in: in, out: out, silenced: make(chan struct{}), ended: make(chan struct{})}
	r.mu.Lock()
	r.connections[l] = true
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { r.forward(l, out, in) })
	both.Go(func() { r.forward(l, in, out) })
	both.Wait()
	l.close()
	r.mu.Lock()
	delete(r.connections, l)
	r.mu.Unlock()
}

// forward copies data in one direction until that ends. After Silence it drops what it
// reads next, then reads nothing more and leaves the connection open.
func (r *Relay) forward(l *connection, to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		r.mu.Lock()
		delay := r.delay
		r.mu.Unlock()
		if n > 0 && delay > 0 {
			select {
			case <-time.After(delay):
			case <-l.ended:
				return
			}
		}
		select {
		case <-l.silenced:
			<-l.ended
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
