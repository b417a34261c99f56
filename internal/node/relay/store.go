package relay

import (
	"context"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/shell"
)

// reportingStore is the platform's store. It reports the answers that are refused for their form.
type reportingStore struct {
	gypsumrail.Store
	faults shell.Faults
}

// List implements gypsumrail.Store.
func (s reportingStore) List(ctx context.Context, prefix, after string) (gypsumrail.Items, error) {
	items, err := s.Store.List(ctx, prefix, after)
	return items, s.report(err)
}

// Changes implements gypsumrail.Store.
func (s reportingStore) Changes(ctx context.Context, prefix string, since uint64, wait time.Duration) (gypsumrail.Items, error) {
	items, err := s.Store.Changes(ctx, prefix, since, wait)
	return items, s.report(err)
}

// Revision implements gypsumrail.Store.
func (s reportingStore) Revision(ctx context.Context, stale bool) (uint64, error) {
	revision, err := s.Store.Revision(ctx, stale)
	return revision, s.report(err)
}

func (s reportingStore) report(err error) error {
	if err != nil {
		s.faults.Report(shell.HopStore, "store", "store", err)
	}
	return err
}
