package member

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumrail/gypsumrail"
)

// enqueueRumor makes Rumors return an entry to the next sendsMax partners.
func (d *Directory) enqueueRumor(e *entry) {
	e.sends = 0
	d.rumors[e.Name] = e
}

// sendsMax returns how often a rumor is sent: three times the binary digits of the
// number n of entries, about 3·log2(n). By then nearly all of n nodes have received
// it; the exchange of digests finds the rest.
func (d *Directory) sendsMax() int { return 3 * bits.Len(uint(len(d.entries))) }

// Rumors returns at most limit entries that changed lately and counts each as
// sent once. Those sent least come first and, among them, the latest changes, so
// that many old changes do not delay new ones.
func (d *Directory) Rumors(now gypsumrail.Millis, limit int) []gypsumrail.Instance {
	d.advance(now)
	limit = min(limit, d.settings.RumorsMax, len(d.rumors))
	if limit <= 0 {
		return nil
	}
	pending := make([]*entry, 0, len(d.rumors))
	for _, e := range d.rumors {
		pending = append(pending, e)
	}
	slices.SortFunc(pending, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.sends, b.sends), cmp.Compare(b.changed, a.changed), cmp.Compare(a.Name, b.Name))
	})
	list := make([]gypsumrail.Instance, limit)
	for i, e := range pending[:limit] {
		list[i] = e.Instance
		e.sends++
		if e.sends >= d.sendsMax() {
			delete(d.rumors, e.Name)
		}
	}
	return list
}

// Buckets returns the hash of each bucket. It is the sum of the hashes of the
// bucket's entries, so it does not depend on their order and is updated for each
// change without a pass over the bucket.
func (d *Directory) Buckets() [gypsumrail.DigestBuckets]uint64 { return d.buckets }

func bucketOf(name string) int {
	return int(xxhash.Sum64String(name) % gypsumrail.DigestBuckets)
}

// hashOf hashes the fields of an entry that compare orders. Texts are preceded by
// their length, so that different contents never give the same bytes. It is the
// same on all nodes, as Buckets are compared between them.
func (d *Directory) hashOf(i *gypsumrail.Instance) uint64 {
	b := d.scratch[:0]
	for _, text := range [...]string{i.Name, i.Service, i.Zone, i.Address, string(i.State)} {
		b = binary.AppendUvarint(b, uint64(len(text)))
		b = append(b, text...)
	}
	b = binary.LittleEndian.AppendUint64(b, uint64(i.Incarnation))
	b = binary.LittleEndian.AppendUint64(b, i.Version)
	d.scratch = b
	return xxhash.Sum64(b)
}

// One in suspectEvery exchanges goes to a suspect instance. After a partition the
// two sides suspect each other. They would stay separated if all exchanges went
// to live instances.
const suspectEvery = 8

// Partner returns a peer for the next exchange, chosen by a random number. Peers
// are other instances that have an address and are not leaving; it returns false
// if none is known.
func (d *Directory) Partner(random uint64) (gypsumrail.Instance, bool) {
	var live, suspects []*entry
	for _, e := range d.byName() {
		switch {
		case e == d.self || e.Address == "" || e.State == gypsumrail.Leaving:
		case e.State == gypsumrail.Suspect:
			suspects = append(suspects, e)
		default:
			live = append(live, e)
		}
	}
	candidates := live
	if len(live) == 0 || len(suspects) > 0 && random%suspectEvery == 0 {
		candidates = suspects
	}
	if len(candidates) == 0 {
		return gypsumrail.Instance{}, false
	}
	return candidates[random/suspectEvery%uint64(len(candidates))].Instance, true
}

// readersPerZone is the number of nodes in a zone that watch the platform. Three
// tolerate two failures. A fixed number keeps the watches that are pending at the
// platform independent of the size of the fleet.
const readersPerZone = 3

// IsReader reports whether this node watches the platform for its zone. It does if
// its rendezvous hash is among the three highest of the zone's live instances.
func (d *Directory) IsReader() bool {
	if d.readerAt == d.generation {
		return d.reader
	}
	d.readerAt = d.generation
	higher := 0
	own := rendezvous(d.self)
	for _, e := range d.entries {
		if e == d.self || e.Zone != d.self.Zone || e.State != gypsumrail.Live {
			continue
		}
		if hash := rendezvous(e); hash > own || hash == own && e.Name > d.self.Name {
			higher++
		}
	}
	d.reader = d.self.State == gypsumrail.Live && higher < readersPerZone
	return d.reader
}

// rendezvous returns the rendezvous hash of an instance within its zone. It is
// the same on all nodes, which choose the readers without exchanging messages.
func rendezvous(e *entry) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(e.Zone)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(e.Name)
	return d.Sum64()
}
