package trial

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/gypsumrail/gypsumrail/internal/lab/stubs"
	"github.com/gypsumrail/gypsumrail/internal/node/link"
)

// dialTimeout is how long a connection into a separated zone takes to fail, as
// that of nodes.
const dialTimeout = time.Second

var errSeparated = errors.New("trial: the zones are separated")

// path is what leads from the nodes of a zone to one address.
type path struct{ from, address string }

// road is a path's relay and where it leads.
type road struct {
	relay *stubs.Relay
	zone  string // of the address; empty for the platform
	down  bool
}

// network is the connections between nodes, and between nodes and the platform.
// Each zone has a relay of its own to each address, so that a zone can lose some
// of its paths while others use the same address.
type network struct {
	mu    sync.Mutex
	roads map[path]*road
}

func newNetwork() *network { return &network{roads: make(map[path]*road)} }

func (n *network) add(from, address, zone string) error {
	relay, err := stubs.NewRelay(address)
	if err != nil {
		return fmt.Errorf("trial: %w", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.roads[path{from, address}] = &road{relay: relay, zone: zone}
	return nil
}

// dial returns what opens the connections of the nodes in a zone.
func (n *network) dial(zone string) link.Dial {
	return func(ctx context.Context, kind, address string) (net.Conn, error) {
		n.mu.Lock()
		r := n.roads[path{zone, address}]
		down := r != nil && r.down
		n.mu.Unlock()
		if down {
			select {
			case <-time.After(dialTimeout):
			case <-ctx.Done():
			}
			return nil, errSeparated
		}
		if r != nil {
			address = r.relay.Address()
		}
		dialer := net.Dialer{Timeout: dialTimeout}
		return dialer.DialContext(ctx, kind, address) //nolint:wrapcheck // stands in for a connection
	}
}

// separate makes the connections from one zone to another (empty: the platform)
// silent and lets no new one through. Joining them again breaks the silent ones.
func (n *network) separate(from, to string, on bool) {
	for p, r := range n.each(from) {
		if r.zone != to {
			continue
		}
		n.mu.Lock()
		n.roads[p].down = on
		n.mu.Unlock()
		if on {
			r.relay.Hold()
		} else {
			r.relay.Cut()
		}
	}
}

// to returns the relay from a zone to an address.
func (n *network) to(from, address string) *stubs.Relay {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roads[path{from, address}].relay
}

// each returns the paths from a zone.
func (n *network) each(from string) map[path]road {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make(map[path]road)
	for p, r := range n.roads {
		if p.from == from {
			out[p] = *r
		}
	}
	return out
}

func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.roads {
		r.relay.Close()
	}
}
