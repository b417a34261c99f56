package trial

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/gypsumrail/gypsumrail/internal/lab/stubs"
	"github.com/gypsumrail/gypsumrail/internal/node/client"
)

// dialTimeout is how long opening a connection into a zone that is cut off takes
// to fail. It equals the dial timeout between nodes.
const dialTimeout = time.Second

var errPartitioned = errors.New("trial: connection blocked by an injected partition")

// routeKey identifies the route from the nodes of a zone to an address.
type routeKey struct{ from, address string }

// route carries the connections from the nodes of a zone to an address.
type route struct {
	relay *stubs.Relay
	zone  string // of the address; empty for the platform
	down  bool   // new connections fail
}

// network connects nodes with each other and with the platform. Each zone has its
// own relay to each address, so that one zone can lose its connection to an
// address that other zones still reach.
type network struct {
	mu     sync.Mutex
	routes map[routeKey]*route
}

func newNetwork() *network { return &network{routes: make(map[routeKey]*route)} }

func (n *network) add(from, address, zone string) error {
	relay, err := stubs.NewRelay(address)
	if err != nil {
		return fmt.Errorf("trial: %w", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.routes[routeKey{from, address}] = &route{relay: relay, zone: zone}
	return nil
}

// dial returns the function that opens the connections of the nodes in a zone.
func (n *network) dial(zone string) client.Dial {
	return func(ctx context.Context, protocol, address string) (net.Conn, error) {
		n.mu.Lock()
		r := n.routes[routeKey{zone, address}]
		down := r != nil && r.down
		n.mu.Unlock()
		if down {
			select {
			case <-time.After(dialTimeout):
			case <-ctx.Done():
			}
			return nil, errPartitioned
		}
		if r != nil {
			address = r.relay.Address()
		}
		dialer := net.Dialer{Timeout: dialTimeout}
		return dialer.DialContext(ctx, protocol, address) //nolint:wrapcheck // replaces a plain dialer
	}
}

// setPartitioned silences the open connections from one zone to another (empty:
// the platform) and makes new ones fail. If on is false, it closes all open ones.
func (n *network) setPartitioned(from, to string, on bool) {
	for key, r := range n.routesFrom(from) {
		if r.zone != to {
			continue
		}
		n.mu.Lock()
		n.routes[key].down = on
		n.mu.Unlock()
		if on {
			r.relay.Silence()
		} else {
			r.relay.Cut()
		}
	}
}

// relayTo returns the relay from a zone to an address.
func (n *network) relayTo(from, address string) *stubs.Relay {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.routes[routeKey{from, address}].relay
}

// routesFrom returns copies of the routes from a zone.
func (n *network) routesFrom(from string) map[routeKey]route {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make(map[routeKey]route)
	for key, r := range n.routes {
		if key.from == from {
			out[key] = *r
		}
	}
	return out
}

func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.routes {
		r.relay.Close()
	}
}
