package gypsumrail

// State is the state of an instance in the directory.
type State string

// States of an instance. Within one incarnation, Leaving overrides both other
// states, whatever the versions; within one version, Suspect overrides Live.
const (
	Live    State = "Live"
	Suspect State = "Suspect"
	Leaving State = "Leaving"
)

// Instance is a directory entry.
type Instance struct {
	Name        string
	Service     string
	Zone        string
	Address     string // IP and port of the node's peers port
	Incarnation Incarnation
	Version     uint64 // raised only by the instance itself
	State       State
	Slots       int    `json:",omitempty"` // calls that its target runs at once; 0 if only the records state it
	Cold        Millis `json:",omitempty"` // what was left of its target's slow start when this was read
}

// Digest summarizes a node's directory and values for anti-entropy. Equal digests
// mean equal contents.
type Digest struct {
	Buckets [DigestBuckets]uint64
	Values  []ValueVersion

	Evidence uint64 `json:",omitempty"` // Quarantine.Digest
}

// DigestBuckets is the number of buckets into which the directory is hashed by
// instance name. Two nodes that differ in one entry exchange only that bucket, a
// sixteenth of the directory.
const DigestBuckets = 16

// ValueName names a value that the platform publishes.
type ValueName string

// Names of the published values: the operator's records and the instance list.
const (
	ValueRecords   ValueName = "Records"
	ValueInstances ValueName = "Instances"
)

// ValueVersion identifies one content of a published value. Versions are ordered
// by revision, then by hash, so that nodes converge on one content even if two
// were published under the same revision.
type ValueVersion struct {
	Name     ValueName
	Revision Revision
	Hash     uint64
}

// Directory holds the known instances. It merges the platform's instance list,
// the entries of peers and what instances report about themselves. It is not safe
// for concurrent use.
type Directory interface {
	// Self returns the entry of this node's own instance.
	Self() Instance
	// Merge merges the entries of a peer and reports whether anything changed.
	Merge(now Millis, entries []Instance) bool
	// MergeList merges the platform's instance list and reports whether anything changed.
	MergeList(now Millis, list []Instance) bool
	// RecordState records the incarnation and state that an instance reported about
	// itself, and reports whether anything changed.
	RecordState(now Millis, observed Instance) bool
	// MarkLeaving records that the target of an instance stated that it is leaving, which is
	// final for this incarnation, and reports whether that is new.
	MarkLeaving(now Millis, name string, incarnation Incarnation) bool
	// MarkSuspect records that an instance did not answer, and reports whether its
	// entry changed.
	MarkSuspect(now Millis, name string) bool
	// Leave marks this node's own instance as leaving.
	Leave(now Millis)
	// Rumors returns at most limit recently changed entries for gossip and counts
	// each as sent once more.
	Rumors(now Millis, limit int) []Instance
	// Buckets returns the hash of each bucket.
	Buckets() [DigestBuckets]uint64
	// Bucket returns all entries of one bucket, ordered by name.
	Bucket(i int) []Instance
	// Upstreams returns the entries of one service, ordered by name.
	Upstreams(service string) []Instance
	// Lookup returns one entry.
	Lookup(name string) (Instance, bool)
	// Partner returns a peer for the next exchange, chosen by a random number.
	Partner(random uint64) (Instance, bool)
	// IsReader reports whether this node watches the platform for its zone.
	IsReader() bool
	// Generation returns a number that increases with each change of the directory.
	Generation() uint64
	// PlatformRestored records that the platform came back from an older copy: what it
	// publishes may be older than what it published before.
	PlatformRestored(now Millis)
	// SetPlatformReachable records whether the platform can be read.
	SetPlatformReachable(now Millis, ok bool)
	// Expire drops expired entries. It is called at each tick.
	Expire(now Millis)
	// Len returns the number of entries.
	Len() int
}
