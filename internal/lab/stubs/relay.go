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

// Relay forwards TCP connections to a server and injects faults into them. It is
// safe for concurrent use.
type Relay struct {
	listener net.Listener
	server   string

	mu          sync.Mutex
	connections map[*connection]bool
	delay       time.Duration
	refusing    bool
	closed      bool
	opened      int
}

// connection is a pair of TCP connections: in from the client, out to the server.
type connection struct {
	in, out     net.Conn
	silenced    chan struct{} // closed when the relay stops forwarding
	ended       chan struct{} // closed when both sides are closed
	closeOnce   sync.Once
	silenceOnce sync.Once
}

func (c *connection) close() {
	c.closeOnce.Do(func() {
		close(c.ended)
		_ = c.in.Close()
		_ = c.out.Close()
	})
}

// NewRelay starts a relay on a free loopback port to an IP address and port.
func NewRelay(server string) (*Relay, error) {
	l, err := listen("")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, server: server, connections: make(map[*connection]bool)}
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

// SetDelay delays each chunk of data in both directions. Zero ends the delay.
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
	r.forEach(func(conn *connection) { conn.silenceOnce.Do(func() { close(conn.silenced) }) })
}

// HalfClose closes the direction from the server to the client on the connections
// that are open now.
func (r *Relay) HalfClose() {
	r.forEach(func(conn *connection) {
		if c, ok := conn.in.(*net.TCPConn); ok {
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
	for conn := range r.connections {
		connections = append(connections, conn)
	}
	r.mu.Unlock()
	for _, conn := range connections {
		do(conn)
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
	out, err := net.DialTimeout("tcp", r.server, time.Second)
	if err != nil {
		_ = in.Close()
		return
	}
	conn := &connection{in: in, out: out, silenced: make(chan struct{}), ended: make(chan struct{})}
	r.mu.Lock()
	r.connections[conn] = true
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { r.forward(conn, out, in) })
	both.Go(func() { r.forward(conn, in, out) })
	both.Wait()
	conn.close()
	r.mu.Lock()
	delete(r.connections, conn)
	r.mu.Unlock()
}

// forward copies data in one direction until its end. After Silence it drops what it
// reads next, then reads nothing more and leaves the connection open.
func (r *Relay) forward(conn *connection, to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		r.mu.Lock()
		delay := r.delay
		r.mu.Unlock()
		if n > 0 && delay > 0 {
			select {
			case <-time.After(delay):
			case <-conn.ended:
				return
			}
		}
		select {
		case <-conn.silenced:
			<-conn.ended
			return
		default:
		}
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				conn.close()
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				conn.close()
				return
			}
			if c, ok := to.(*net.TCPConn); ok {
				_ = c.CloseWrite()
			}
			return
		}
	}
}
