package gypsumrail

import (
	"context"
	"errors"
	"time"
)

// Errors of a Store.
var (
	// ErrStoreUnavailable means that the store gave no answer or an invalid one.
	ErrStoreUnavailable = errors.New("the platform's store gave no usable answer")
	// ErrHistoryGone means that the store has compacted the changes since the
	// requested revision, or that the revision is of an earlier era. The reader must
	// list again.
	ErrHistoryGone = errors.New("the platform's store has dropped its history")
)

// Item is one entry of the platform's store, or its removal.
type Item struct {
	Key      string
	Data     []byte
	Revision uint64 // of its last change; a Position
	Removed  bool
}

// Items is one page of a listing, or the changes that a watch returned.
type Items struct {
	List     []Item
	Revision uint64 // of the store when it answered; a Position
	More     bool   // the listing continues after the last key
	// ConfirmedAge is, in the answer of a peer, the time from the store's confirmation of its
	// copy to the arrival of the request, at least 0, plus one millisecond. Zero means that the
	// peer does not know it.
	ConfirmedAge Millis
}

// Store reads the platform's key-value store. Its revisions are Positions, which never go
// back, also if the store does. Implementations are safe for concurrent use. Errors wrap
// ErrStoreUnavailable or ErrHistoryGone.
type Store interface {
	// List returns a page of the items below a prefix, from the first key greater
	// than after. The pages together are not a snapshot: each has its own revision.
	List(ctx context.Context, prefix, after string) (Items, error)
	// Changes returns the changes below a prefix since a revision, in order. If there
	// are none, it waits for the first one, and returns none if wait is over before.
	Changes(ctx context.Context, prefix string, since uint64, wait time.Duration) (Items, error)
	// Revision returns the store's revision. If it may be stale, it may lag by seconds, but
	// the read is cheaper than others and shows whether the store can be reached.
	Revision(ctx context.Context, stale bool) (uint64, error)
}

// Catalog decodes the entries that operators and targets publish in the store.
// Implementations are safe for concurrent use.
type Catalog interface {
	// RecordsKey returns the key of the records, InstancesPrefix the common prefix
	// of the keys of the instances.
	RecordsKey() string
	InstancesPrefix() string
	// Records decodes one revision of the records.
	Records(data []byte) (*Records, error)
	// WithoutSecrets returns an item without the secrets that it holds, such as the API keys
	// of client accounts, in a form that Records and Instance decode. Nodes keep items and
	// give them to each other in this form only.
	WithoutSecrets(item Item) Item
	// Instance decodes one instance. Its Address is that of the node's peers port.
	Instance(item Item) (Instance, error)
}
