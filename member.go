package gypsumrail

// State is the state of an instance in the directory.
type State string

// States of an instance, in the order in which they overrule each other within
// one version of one incarnation.
const (
	Live    State = "Live"
	Suspect State = "Suspect"
	Leaving State = "Leaving"
)

// Instance is what a node knows about one instance.
type Instance struct {
	Name        string
	Service     string
	Zone        string
	Address     string // of the node's peers port, IP and port
	Incarnation Incarnation
	Version     uint64 // raised only by the instance itself
	State       State
	Slots       int    `json:",omitempty"` // calls that its target runs at once; 0 if only the records tell
	Cold        Millis `json:",omitempty"` // that its target stays slow after its start, as of when this was read
}

// Digest is the state of a node's directory and values in short form, for
// anti-entropy: equal digests mean equal contents.
type Digest struct {
	Buckets [DigestBuckets]uint64
	Values  []ValueVersion
}

// DigestBuckets is the number of parts into which the directory is hashed by
// instance name, so that two nodes that differ in one entry exchange a
// sixteenth of the directory.
const DigestBuckets = 16

// ValueName names a value of the platform.
type ValueName string

// The two values that the platform publishes.
const (
	ValueRecords   ValueName = "Records"
	ValueInstances ValueName = "Instances"
)

// ValueVersion orders the contents of one platform value: by revision, then by
// hash, so that two contents published under one revision still converge.
type ValueVersion struct {
	Name     ValueName
	Revision Revision
	Hash     uint64
}

// Directory merges the platform's list, what peers say and what instances say
// of themselves. It is not safe for concurrent use.
type Directory interface {
	// Self returns the entry of this node's own instance.
	Self() Instance
	// Merge takes entries from a peer and reports whether anything changed.
	Merge(now Millis, entries []Instance) bool
	// MergeList takes the platform's list and reports whether anything changed.
	MergeList(now Millis, list []Instance) bool
	// Observe takes the incarnation and state that an instance told directly.
	Observe(now Millis, direct Instance) bool
	// MarkSuspect records that an instance did not answer.
	MarkSuspect(now Millis, name string) bool
	// Leave marks the own instance as leaving.
	Leave(now Millis)
	// Rumors returns at most limit entries that changed lately and counts them as sent once.
	Rumors(now Millis, limit int) []Instance
	// Buckets returns the hash of each bucket.
	Buckets() [DigestBuckets]uint64
	// Bucket returns all entries of one bucket, ordered by name.
	Bucket(i int) []Instance
	// Upstreams returns the entries of one service, ordered by name.
	Upstreams(service string) []Instance
	// Lookup returns one entry.
	Lookup(name string) (Instance, bool)
	// Partner returns a peer for the next exchange, chosen by random.
	Partner(random uint64) (Instance, bool)
	// IsReader tells whether this node reads the platform for its zone.
	IsReader() bool
	// Generation grows with each change of the directory.
	Generation() uint64
	// Contact takes whether the platform can be read.
	Contact(now Millis, ok bool)
	// Expire drops entries whose time is over. It is called with each tick.
	Expire(now Millis)
	// Len returns the number of entries.
	Len() int
}
