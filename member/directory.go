// Package member keeps a node's directory of instances without a membership
// service.
//
// Nodes cannot write shared state and the platform's list lags, so each node
// merges three sources: what instances report about themselves, what peers
// report, and the list. Entries of one name are ordered and a merge keeps the
// higher one, so directories that receive the same entries in any order,
// repeatedly or late, become equal. Nothing here reads a clock or starts a
// goroutine: time and randomness are arguments.
package member

import (
	"cmp"
	"slices"

	"github.com/gypsumrail/gypsumrail"
)

// Settings are the limits of a directory. Zero values take the defaults.
type Settings struct {
	EntriesMax  int               // default 4,096: six times the planned size of a fleet
	RumorsMax   int               // entries in one message; default 32
	ForgetAfter gypsumrail.Millis // time without news after which an unlisted instance is removed; default 10 minutes
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

// entry is an instance and this node's own bookkeeping about it. Peers receive
// only the instance.
type entry struct {
	gypsumrail.Instance
	bucket     int
	hash       uint64
	lastSeen   gypsumrail.Millis // time of the last news of it, or when the list dropped it
	listed     bool              // the last list names it
	listedLive bool              // a list named this incarnation as live
	observed   bool              // this incarnation reported itself to this node
	sends      int               // messages that carried it since its last change
	changed    uint64            // generation of its last change
}

// Directory implements gypsumrail.Directory. It is not safe for concurrent use.
type Directory struct {
	settings   Settings
	self       *entry
	entries    map[string]*entry
	rumors     map[string]*entry // entries that are still sent to peers
	tombstones map[string]tombstone
	buckets    [gypsumrail.DigestBuckets]uint64
	generation uint64
	counts     Counts
	contested  gypsumrail.Instance // see Contested; no name if there is none

	started   bool              // start is set
	start     gypsumrail.Millis // time of the first call
	now       gypsumrail.Millis // latest time received; never decreases
	lastSweep gypsumrail.Millis // when expired entries were last removed
	lastRaise gypsumrail.Millis // when the version of self was last raised

	ordered   []*entry            // sorted by name, valid in generation orderedAt
	byService map[string][]*entry // the same entries by service
	orderedAt uint64
	reader    bool // result of IsReader, valid in generation readerAt
	readerAt  uint64
	scratch   []byte // reused by hashOf
}

var _ gypsumrail.Directory = (*Directory)(nil)

// Counts are the numbers of entries that were dropped since the start, by reason.
type Counts struct {
	Invalid     uint64 // no name, an unknown state, or a field that is too long
	Implausible uint64 // incarnation or version far ahead of any that can be real
	Full        uint64 // the directory already holds EntriesMax entries
}

// New returns the directory of the instance self. An empty state is Live. The
// incarnation must be the start time that gypsumrail.Incarnation describes,
// because entries that are far ahead of it are dropped.
func New(self gypsumrail.Instance, settings Settings) *Directory {
	d := &Directory{
		settings:   settings.withDefaults(),
		entries:    map[string]*entry{},
		rumors:     map[string]*entry{},
		tombstones: map[string]tombstone{},
	}
	if self.State == "" {
		self.State = gypsumrail.Live
	}
	d.self = d.put(self)
	d.enqueueRumor(d.self)
	return d
}

// Self returns the entry of this node's own instance.
func (d *Directory) Self() gypsumrail.Instance { return d.self.Instance }

// Counts returns the numbers of dropped entries.
func (d *Directory) Counts() Counts { return d.counts }

// Contested returns the highest entry under this instance's name that it cannot
// refute, and whether there is one. Such an entry has a higher incarnation, or has
// the same incarnation and is marked as leaving. Peers that hold it send this
// instance no calls until it restarts with a higher incarnation.
func (d *Directory) Contested() (gypsumrail.Instance, bool) {
	return d.contested, d.contested.Name != ""
}

// Leave marks this node's own instance as leaving. The mark is final for this incarnation.
func (d *Directory) Leave(now gypsumrail.Millis) {
	d.advance(now)
	if d.self.State == gypsumrail.Leaving {
		return
	}
	own := d.self.Instance
	own.State = gypsumrail.Leaving
	d.raiseVersion(own, own.Version+1)
}

// raiseVersion stores the entry of self under a new version and queues it for peers.
func (d *Directory) raiseVersion(own gypsumrail.Instance, version uint64) {
	own.Version = version
	d.lastRaise = d.now
	d.enqueueRumor(d.put(own))
}

// put adds or replaces an entry and updates the bucket hashes. The caller has
// checked that there is room and that the entry overrules the known one.
func (d *Directory) put(next gypsumrail.Instance) *entry {
	e := d.entries[next.Name]
	if e == nil {
		e = &entry{bucket: bucketOf(next.Name)}
		d.entries[next.Name] = e
	} else {
		d.buckets[e.bucket] -= e.hash
		// A change from 0 means that the incarnation became known, not that the
		// instance restarted.
		if e.Incarnation != next.Incarnation && e.Incarnation != 0 {
			e.listedLive, e.observed = false, false
		}
	}
	e.Instance = next
	e.hash = d.hashOf(&next)
	d.buckets[e.bucket] += e.hash
	e.lastSeen = d.now
	d.generation++
	e.changed = d.generation
	return e
}

// remove deletes an entry and leaves no tombstone.
func (d *Directory) remove(e *entry) {
	d.buckets[e.bucket] -= e.hash
	delete(d.entries, e.Name)
	delete(d.rumors, e.Name)
	d.generation++
}

// Lookup returns the entry of a name, and whether there is one.
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
	return instancesOf(d.byService[service])
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

// byName returns all entries sorted by name. It sorts and groups them by service
// once per generation, because after each change a node reads the lists of all
// services: one scan per service took 1 ms for 53 services and 640 entries.
func (d *Directory) byName() []*entry {
	if d.orderedAt == d.generation {
		return d.ordered
	}
	d.ordered = d.ordered[:0]
	for _, e := range d.entries {
		d.ordered = append(d.ordered, e)
	}
	slices.SortFunc(d.ordered, func(a, b *entry) int { return cmp.Compare(a.Name, b.Name) })
	d.byService = make(map[string][]*entry)
	for _, e := range d.ordered {
		d.byService[e.Service] = append(d.byService[e.Service], e)
	}
	d.orderedAt = d.generation
	return d.ordered
}

// Generation returns a number that increases with each change of the directory.
func (d *Directory) Generation() uint64 { return d.generation }

// Len returns the number of entries.
func (d *Directory) Len() int { return len(d.entries) }
