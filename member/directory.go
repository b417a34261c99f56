// Package member keeps a node's directory of instances without a membership
// service.
//
// Nodes cannot write shared state and the platform's list lags, so each node
// merges three sources: what instances say of themselves, what peers say, and
// the list. Entries have a total order and a merge takes the higher one, so
// directories that hear the same news in any order, repeatedly or late, end up
// equal. Nothing here reads a clock, and no goroutine runs: time and randomness
// are arguments.
package member

import (
	"cmp"
	"slices"

	"github.com/gypsumrail/gypsumrail"
)

// Settings are the limits of a directory. Zero values take the defaults.
type Settings struct {
	EntriesMax  int               // default 4,096, which is six times the target size
	RumorsMax   int               // entries in one message; default 32
	ForgetAfter gypsumrail.Millis // default 10 minutes
}

const (
	defaultEntriesMax  = 4096
	defaultRumorsMax   = 32
	defaultForgetAfter = 10 * gypsumrail.Minute
)

func (s Settings) withDefaults() Settings {
	if s.EntriesMax <= 0 {
		s.EntriesMax = defaultEntriesMax
	}
	if s.RumorsMax <= 0 {
		s.RumorsMax = defaultRumorsMax
	}
	if s.ForgetAfter <= 0 {
		s.ForgetAfter = defaultForgetAfter
	}
	return s
}

// entry is an instance and what only this node knows about it.
type entry struct {
	gypsumrail.Instance
	bucket     int
	hash       uint64
	heard      gypsumrail.Millis // last news of it, or the last list that named it
	listed     bool              // the last list names it
	listedLive bool              // a list named this incarnation live
	direct     bool              // this incarnation told of itself
	sends      int               // messages that carried it since it changed
	changed    uint64            // generation of its last change
}

// Directory implements gypsumrail.Directory. It is not safe for concurrent use.
type Directory struct {
	settings   Settings
	self       *entry
	entries    map[string]*entry
	rumors     map[string]*entry // entries that are still passed on
	buried     map[string]grave
	buckets    [gypsumrail.DigestBuckets]uint64
	generation uint64
	counts     Counts
	contested  gypsumrail.Instance

	began  bool
	start  gypsumrail.Millis // time of the first call
	now    gypsumrail.Millis // never goes back
	swept  gypsumrail.Millis
	raised gypsumrail.Millis // when the own version was raised last

	ordered   []*entry            // by name, valid in generation orderedAt
	services  map[string][]*entry // the same by service
	orderedAt uint64
	reader    bool // valid in generation readerAt
	readerAt  uint64
	scratch   []byte
}

var _ gypsumrail.Directory = (*Directory)(nil)

// Counts are the entries that were not taken, by reason. They only grow.
type Counts struct {
	Invalid uint64 // no name, an unknown state, or a field that is too long
	Absurd  uint64 // incarnation or version far ahead of what can be
	Full    uint64 // no room
}

// New returns the directory of the instance self. An empty state is Live. The
// incarnation must be the start time that gypsumrail.Incarnation describes,
// because entries far ahead of it are refused.
func New(self gypsumrail.Instance, settings Settings) *Directory {
	d := &Directory{
		settings: settings.withDefaults(),
		entries:  map[string]*entry{},
		rumors:   map[string]*entry{},
		buried:   map[string]grave{},
	}
	if self.State == "" {
		self.State = gypsumrail.Live
	}
	d.self = d.put(self)
	d.spread(d.self)
	return d
}

// Self returns the entry of this node's own instance.
func (d *Directory) Self() gypsumrail.Instance { return d.self.Instance }

// Counts returns the entries that were not taken.
func (d *Directory) Counts() Counts { return d.counts }

// Contested returns the highest entry for the own name that this instance
// cannot refute, and whether there is one: a higher incarnation, or its own
// marked as leaving. Peers that hold it send this instance no work until it
// starts again with a higher incarnation.
func (d *Directory) Contested() (gypsumrail.Instance, bool) {
	return d.contested, d.contested.Name != ""
}

// Leave marks the own instance as leaving.
func (d *Directory) Leave(now gypsumrail.Millis) {
	d.advance(now)
	if d.self.State == gypsumrail.Leaving {
		return
	}
	own := d.self.Instance
	own.State = gypsumrail.Leaving
	d.raise(own, own.Version+1)
}

// raise gives the own entry a new version and passes it on.
func (d *Directory) raise(own gypsumrail.Instance, version uint64) {
	own.Version = version
	d.raised = d.now
	d.spread(d.put(own))
}

// put stores an entry and keeps the bucket hashes up to date. The caller has
// checked that there is room and that the entry overrules the known one.
func (d *Directory) put(next gypsumrail.Instance) *entry {
	e := d.entries[next.Name]
	if e == nil {
		e = &entry{bucket: bucketOf(next.Name)}
		d.entries[next.Name] = e
	} else {
		d.buckets[e.bucket] -= e.hash
		// An incarnation that becomes known is not a new run of the instance.
		if e.Incarnation != next.Incarnation && e.Incarnation != 0 {
			e.listedLive, e.direct = false, false
		}
	}
	e.Instance = next
	e.hash = d.hashOf(&next)
	d.buckets[e.bucket] += e.hash
	e.heard = d.now
	d.generation++
	e.changed = d.generation
	return e
}

// remove deletes an entry.
func (d *Directory) remove(e *entry) {
	d.buckets[e.bucket] -= e.hash
	delete(d.entries, e.Name)
	delete(d.rumors, e.Name)
	d.generation++
}

// Lookup returns one entry.
func (d *Directory) Lookup(name string) (gypsumrail.Instance, bool) {
	e := d.entries[name]
	if e == nil {
		return gypsumrail.Instance{}, false
	}
	return e.Instance, true
}

// Upstreams returns the entries of one service, ordered by name.
func (d *Directory) Upstreams(service string) []gypsumrail.Instance {
	d.byName()
	return instancesOf(d.services[service])
}

// Bucket returns all entries of one bucket, ordered by name.
func (d *Directory) Bucket(i int) []gypsumrail.Instance {
	var list []gypsumrail.Instance
	for _, e := range d.byName() {
		if e.bucket == i {
			list = append(list, e.Instance)
		}
	}
	return list
}

func instancesOf(entries []*entry) []gypsumrail.Instance {
	list := make([]gypsumrail.Instance, 0, len(entries))
	for _, e := range entries {
		list = append(list, e.Instance)
	}
	return list
}

// byName returns all entries in order. They are sorted and grouped by service
// once per generation, because a change makes a node read the lists of all
// services: a scan for each of 53 services took a millisecond at 640 entries.
func (d *Directory) byName() []*entry {
	if d.orderedAt == d.generation {
		return d.ordered
	}
	d.ordered = d.ordered[:0]
	for _, e := range d.entries {
		d.ordered = append(d.ordered, e)
	}
	slices.SortFunc(d.ordered, func(a, b *entry) int { return cmp.Compare(a.Name, b.Name) })
	d.services = make(map[string][]*entry)
	for _, e := range d.ordered {
		d.services[e.Service] = append(d.services[e.Service], e)
	}
	d.orderedAt = d.generation
	return d.ordered
}

// Generation grows with each change of the directory.
func (d *Directory) Generation() uint64 { return d.generation }

// Len returns the number of entries.
func (d *Directory) Len() int { return len(d.entries) }
