// Package source decides from where a node reads the platform's store: from the
// store itself, or from the copy of a peer that does.
//
// In a fleet of hundreds of nodes, a watch of the store by each of them makes each
// change cost as many calls as there are nodes. So in each availability zone one
// node, its reader, watches the store, and the other nodes watch the reader.
//
// No node is appointed. Each ranks the live instances of its zone by a hash, asks
// the first one, and after a failure the next one and finally the store. A node
// reads the store while it ranks itself first or while a peer asks it, so a node
// with an outdated list costs some calls and no correctness. The reader of a zone is
// in that zone, so a zone that is cut off from the others keeps its own.
//
// The package has no sockets, clock or goroutines.
package source

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumrail/gypsumrail"
)

const (
	// readersMax is the number of peers that are asked before the store. With two,
	// the loss of one reader does not send its whole zone to the store.
	readersMax = 2
	// askedTime is how long a node reads the store after a peer asked it. It exceeds
	// the time between two requests of a peer.
	askedTime = 3 * gypsumrail.Second
	// Bounds of the pause after a failure of a peer. It doubles with each failure.
	peerPauseMin = gypsumrail.Second
	peerPauseMax = 8 * gypsumrail.Second
	// Bounds of the pause after a failure of the store. It doubles with each failure,
	// but stays short for a node that peers rely on: while the store is away, the calls of
	// the others are wasted, as they learn of its return from the readers.
	storePauseMin       = 300 * gypsumrail.Millis(1)
	storePauseMaxReader = 300 * gypsumrail.Millis(1)
	storePauseMax       = 1200 * gypsumrail.Millis(1)
)

// Chooser chooses the source of the next read of one node. It is not safe for
// concurrent use.
type Chooser struct {
	self       string // address
	zone       string
	first      bool // this node ranks itself first
	readers    []reader
	askedUntil gypsumrail.Millis
	storeUntil gypsumrail.Millis // the store is not read before
	storePause gypsumrail.Millis // last one, 0 after a success
}

// reader is a peer that this node may ask.
type reader struct {
	address string
	until   gypsumrail.Millis // it is not asked before
	pause   gypsumrail.Millis // last one, 0 after a success
}

// New returns a Chooser for the node with an address in a zone. Until SetInstances
// names other nodes of the zone, it chooses the store.
func New(self, zone string) *Chooser { return &Chooser{self: self, zone: zone} }

// SetInstances ranks the live instances of the node's zone, or those of all zones if
// there is none in its own: a fleet that starts then needs one reader, not one a node.
func (c *Chooser) SetInstances(list []gypsumrail.Instance) {
	ranked := rank(list, func(i *gypsumrail.Instance) bool { return i.Zone == c.zone })
	if len(ranked) == 0 {
		ranked = rank(list, func(*gypsumrail.Instance) bool { return true })
	}
	c.first = len(ranked) > 0 && ranked[0] == c.self
	known := c.readers
	c.readers = nil
	for _, address := range ranked {
		if address == c.self {
			continue
		}
		next := reader{address: address}
		if i := slices.IndexFunc(known, func(r reader) bool { return r.address == address }); i >= 0 {
			next = known[i]
		}
		if c.readers = append(c.readers, next); len(c.readers) == readersMax {
			return
		}
	}
}

// rank returns the addresses of the live instances that match, best first.
func rank(list []gypsumrail.Instance, match func(*gypsumrail.Instance) bool) []string {
	hashes := make(map[string]uint64)
	for i := range list {
		if list[i].State == gypsumrail.Live && match(&list[i]) {
			hashes[list[i].Address] = xxhash.Sum64String(list[i].Address)
		}
	}
	return slices.SortedFunc(maps.Keys(hashes), func(a, b string) int {
		return cmp.Or(cmp.Compare(hashes[b], hashes[a]), cmp.Compare(a, b))
	})
}

// Next returns the address of the peer to read from, or "" for the store.
func (c *Chooser) Next(now gypsumrail.Millis) string {
	storePaused := now < c.storeUntil
	if c.ReadsStore(now) && !storePaused {
		return ""
	}
	for _, r := range c.readers {
		if now >= r.until {
			return r.address
		}
	}
	if !storePaused || len(c.readers) == 0 {
		return ""
	}
	// All have failed of late. The peer that may be asked soonest hears first of the
	// store's return.
	soonest := slices.MinFunc(c.readers, func(a, b reader) int { return cmp.Compare(a.until, b.until) })
	return soonest.address
}

// ReadsStore reports whether the node reads the store for its peers.
func (c *Chooser) ReadsStore(now gypsumrail.Millis) bool {
	return c.first || len(c.readers) == 0 || now < c.askedUntil
}

// PeerWait returns how long a read from a peer may wait. A node that reads the store for
// its peers has to turn back to it as soon as its pause is over; for others it is longest.
func (c *Chooser) PeerWait(now, longest gypsumrail.Millis) gypsumrail.Millis {
	if !c.ReadsStore(now) {
		return longest
	}
	return min(max(c.storeUntil-now, 0), longest)
}

// Asked records that a peer asks this node for its copy. It reports whether the node
// has to turn to the store for that.
func (c *Chooser) Asked(now gypsumrail.Millis) bool {
	turns := !c.ReadsStore(now)
	c.askedUntil = now + askedTime
	return turns
}

// Failed records that a read from a source failed.
func (c *Chooser) Failed(now gypsumrail.Millis, source string) {
	if source == "" {
		longest := storePauseMax
		if c.ReadsStore(now) {
			longest = storePauseMaxReader
		}
		c.storePause = min(max(2*c.storePause, storePauseMin), longest)
		c.storeUntil = now + c.storePause
		return
	}
	if r := c.reader(source); r != nil {
		r.pause = min(max(2*r.pause, peerPauseMin), peerPauseMax)
		r.until = now + r.pause
	}
}

// Succeeded records that a read from a source succeeded.
func (c *Chooser) Succeeded(source string) {
	if source == "" {
		c.storePause, c.storeUntil = 0, 0
	} else if r := c.reader(source); r != nil {
		r.pause, r.until = 0, 0
	}
}

// HasReaders reports whether there is a peer to ask.
func (c *Chooser) HasReaders() bool { return len(c.readers) > 0 }

func (c *Chooser) reader(address string) *reader {
	for i := range c.readers {
		if c.readers[i].address == address {
			return &c.readers[i]
		}
	}
	return nil
}
