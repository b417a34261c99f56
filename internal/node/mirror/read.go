package mirror

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/gypsumrail/gypsumrail"
)

// timeout returns how long a source may take to answer beyond the time that it waits.
func (f *Follower) timeout(from string) time.Duration {
	if from != "" {
		return responseTimeoutMin
	}
	return f.responseTimeout
}

// waitOf returns the waiting time of the next watch at a source.
func (f *Follower) waitOf(from string) time.Duration {
	if f.unreachable || from == "" && !f.isConfirmed() || from != "" && f.peerFailed {
		// A watch that waits would delay the report that the platform is back, the answer
		// to a peer that asked, or the turn to the next source if this one fails too.
		return 0
	}
	if from == "" {
		return f.settings.Wait/2 + jitter(f.settings.Wait/2)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	longest := gypsumrail.MillisOf(jitter(min(f.settings.Wait, peerWaitMax)))
	return f.sources.PeerWait(f.clock.Now(), longest).Duration()
}

// watch reads the changes since the last read and reports whether there were any.
func (f *Follower) watch(ctx context.Context, store gypsumrail.Store, from string) (bool, error) {
	wait := f.waitOf(from)
	ctx, cancel := context.WithTimeout(ctx, wait+f.timeout(from))
	defer cancel()
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	if from == "" && wait > probeInterval {
		go f.probe(ctx, stop)
	}
	sent := f.clock.Now()
	changes, err := store.Changes(ctx, f.prefix, f.revision, wait)
	switch {
	case errors.Is(context.Cause(ctx), errWatchLost):
		// Another watch could miss the change as well: the store may notify nobody.
		f.mu.Lock()
		f.relist = true
		f.mu.Unlock()
		return false, nil
	case err != nil:
		return false, err //nolint:wrapcheck // the store's errors are this package's own
	}
	// Report the contact before the copy is delivered: the receiver treats items that
	// were removed during an outage differently.
	f.report(nil)
	f.mu.Lock()
	changed := make([]bool, len(f.parts))
	for i := range changes.List {
		change := &changes.List[i]
		for j, part := range f.parts {
			if strings.HasPrefix(change.Key, part.Prefix) {
				changed[j] = part.apply(change) || changed[j]
			}
		}
	}
	// A response without changes does not advance the revision, because the watch may
	// have missed a change that came before the response's revision. A later watch from
	// the old revision reads that change from the history. If the history is gone, a
	// new listing follows.
	if len(changes.List) > 0 {
		f.revision = max(f.revision, changes.Revision)
		f.signal()
	}
	f.mu.Unlock()
	for j, part := range f.parts {
		if changed[j] {
			part.deliver()
		}
	}
	f.delivered()
	if from != "" && changes.ConfirmedAge > 0 {
		f.prove(sent - changes.ConfirmedAge)
	}
	return len(changes.List) > 0, nil
}

// errBehind means that a peer's copy is older than the own one.
var errBehind = errors.New("the peer's copy is older than this node's")

// list lists all parts. The watch continues from the revision of the first page, so
// it also reads the changes that happen during the listing. A listing of a peer that is
// behind the own copy fails, as it would bring back what was removed.
func (f *Follower) list(ctx context.Context, store gypsumrail.Store, from string) error {
	items, revision, proved, err := f.listAll(ctx, store, from)
	if err != nil {
		return err
	}
	if from != "" && revision < f.revision {
		return fmt.Errorf("%w: %w", gypsumrail.ErrStoreUnavailable, errBehind)
	}
	f.report(nil)
	f.mu.Lock()
	f.revision, f.listed, f.relist = revision, true, false
	if from != "" {
		f.probed = 0 // the peer's copy may lack what the probe saw
	}
	for i, part := range f.parts {
		part.replace(items[i], revision)
	}
	f.signal()
	f.mu.Unlock()
	for _, part := range f.parts {
		part.deliver()
	}
	f.delivered()
	if proved != nil {
		f.prove(*proved)
	}
	if from == "" {
		f.readFresh(*proved)
	}
	return nil
}

// listAll reads all pages below the common prefix. It returns the items of each part
// and the revision of the first page. A change that the store acknowledged before the time
// in the third result is in them; that is nil if a peer did not state an age.
func (f *Follower) listAll(ctx context.Context, store gypsumrail.Store, from string) ([]map[string]gypsumrail.Item, uint64, *gypsumrail.Millis, error) {
	items := make([]map[string]gypsumrail.Item, len(f.parts))
	for i := range items {
		items[i] = make(map[string]gypsumrail.Item)
	}
	revision, after := uint64(0), ""
	proved, aged := f.clock.Now(), true
	for {
		sent := f.clock.Now()
		page, err := f.page(ctx, store, from, after)
		if err != nil {
			return nil, 0, nil, err
		}
		if from != "" {
			proved, aged = min(proved, sent-page.ConfirmedAge), aged && page.ConfirmedAge > 0
		}
		if revision == 0 {
			revision = page.Revision
		}
		for _, item := range page.List {
			for i, part := range f.parts {
				if strings.HasPrefix(item.Key, part.Prefix) && len(items[i]) < itemsMax {
					items[i][item.Key] = part.prepared(item)
				}
			}
		}
		if !page.More || len(page.List) == 0 {
			if !aged {
				return items, revision, nil, nil
			}
			return items, revision, &proved, nil
		}
		after = page.List[len(page.List)-1].Key
	}
}

func (f *Follower) page(ctx context.Context, store gypsumrail.Store, from, after string) (gypsumrail.Items, error) {
	ctx, cancel := context.WithTimeout(ctx, f.timeout(from))
	defer cancel()
	return store.List(ctx, f.prefix, after) //nolint:wrapcheck // as in watch
}
