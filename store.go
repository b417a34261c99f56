package gypsumrail

import (
	"context"
	"errors"
	"time"
)

// Errors of a Store.
var (
	// ErrStoreUnavailable means that the store gave no usable answer.
	ErrStoreUnavailable = errors.New("the platform's store gave no usable answer")
	// ErrHistoryGone means that the store no longer has the changes since a revision.
	ErrHistoryGone = errors.New("the platform's store has dropped its history")
)

// Item is one entry of the platform's store, or the news that it was removed.
type Item struct {
	Key      string
	Data     []byte
	Revision uint64 // of its last change
	Removed  bool
}

// Items is an answer of the store.
type Items struct {
	List     []Item
	Revision uint64 // of the store when it answered
	More     bool   // the listing goes on after the last key
}

// Store reads the platform's key-value store. Implementations are safe for
// concurrent use. Errors wrap ErrStoreUnavailable or ErrHistoryGone.
type Store interface {
	// List returns the items below a prefix, from the first key behind after.
	// Pages are no snapshot: each has a revision of its own.
	List(ctx context.Context, prefix, after string) (Items, error)
	// Changes returns the changes below a prefix since a revision, in order. It
	// waits for the first one up to the given time and then returns none.
	Changes(ctx context.Context, prefix string, since uint64, wait time.Duration) (Items, error)
}

// Catalog decodes what operators and targets publish in the store. Implementations
// are safe for concurrent use.
type Catalog interface {
	// RecordsKey returns the key of the records, InstancesPrefix that of the instances.
	RecordsKey() string
	InstancesPrefix() string
	// Records decodes one revision of the records.
	Records(data []byte) (*Records, error)
	// Instance decodes one instance. Address is that of its node's peers port.
	Instance(item Item) (Instance, error)
}
