package peer

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/gypsumrail/gypsumrail"
)

// readWaitMax bounds the wait that a Read request may ask for.
const readWaitMax = 30 * time.Second

// Read answers from the store of the server.
func (s *server) Read(ctx context.Context, m *ReadRequest) (*ReadAnswer, error) {
	if err := acquire(s.readSlots); err != nil {
		return nil, err
	}
	defer func() { <-s.readSlots }()
	wait := time.Duration(m.GetWait()) * time.Millisecond
	switch {
	case s.store == nil:
		return nil, toTwirpError(ErrNotFound)
	case len(m.GetPrefix()) > keyMax || len(m.GetAfter()) > keyMax || wait > readWaitMax:
		return nil, toTwirpError(fmt.Errorf("%w: prefix or key is longer than %d bytes, or the wait than %v", ErrMalformed, keyMax, readWaitMax))
	}
	var items gypsumrail.Items
	var err error
	if m.GetList() {
		items, err = s.store.List(ctx, m.GetPrefix(), m.GetAfter())
	} else {
		items, err = s.store.Changes(ctx, m.GetPrefix(), m.GetSince(), wait)
	}
	switch {
	case errors.Is(err, gypsumrail.ErrHistoryGone):
		return nil, twirp.NewError(twirp.FailedPrecondition, err.Error())
	case err != nil:
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	answer := &ReadAnswer{Revision: items.Revision, More: items.More, ConfirmedAge: uint64(max(items.ConfirmedAge, 0)), Items: make([]*ItemMessage, 0, len(items.List))}
	for i := range items.List {
		item := &items.List[i]
		answer.Items = append(answer.Items, &ItemMessage{Key: item.Key, Data: item.Data, Revision: item.Revision, Removed: item.Removed})
	}
	return answer, nil
}

// remoteStore reads the copy of the platform's store that a peer keeps.
type remoteStore struct {
	client  *Client
	address string
}

// Store returns the copy of the platform's store that the peer at an address keeps.
// Its errors are those of gypsumrail.Store.
func (c *Client) Store(address string) gypsumrail.Store { return remoteStore{c, address} }

// List implements gypsumrail.Store.
func (r remoteStore) List(ctx context.Context, prefix, after string) (gypsumrail.Items, error) {
	return r.read(ctx, &ReadRequest{Prefix: prefix, List: true, After: after})
}

// Changes implements gypsumrail.Store.
func (r remoteStore) Changes(ctx context.Context, prefix string, since uint64, wait time.Duration) (gypsumrail.Items, error) {
	return r.read(ctx, &ReadRequest{Prefix: prefix, Since: since, Wait: uint32(wait.Milliseconds())}) //nolint:gosec // at most readWaitMax
}

// Revision implements gypsumrail.Store.
func (r remoteStore) Revision(ctx context.Context, _ bool) (uint64, error) {
	items, err := r.Changes(ctx, "", math.MaxUint64, 0)
	return items.Revision, err
}

// confirmedAgeMax bounds the age that a peer states. It is longer than any time for which a copy is of
// use, and small enough to be subtracted from any time of the clock.
const confirmedAgeMax = 1 << 40

func ageOf(answer *ReadAnswer) gypsumrail.Millis {
	return gypsumrail.Millis(min(answer.GetConfirmedAge(), confirmedAgeMax))
}

func (r remoteStore) read(ctx context.Context, request *ReadRequest) (gypsumrail.Items, error) {
	answer, err := controlClient(r.client.pooled, r.address).Read(ctx, request)
	if err != nil {
		var te twirp.Error
		if errors.As(err, &te) && te.Code() == twirp.FailedPrecondition {
			return gypsumrail.Items{}, gypsumrail.ErrHistoryGone
		}
		return gypsumrail.Items{}, fmt.Errorf("%w: peer %s: %w", gypsumrail.ErrStoreUnavailable, r.address, fromTwirpError(err))
	}
	items := gypsumrail.Items{Revision: answer.GetRevision(), More: answer.GetMore(), ConfirmedAge: ageOf(answer), List: make([]gypsumrail.Item, 0, len(answer.GetItems()))}
	for _, m := range answer.GetItems() {
		items.List = append(items.List, gypsumrail.Item{Key: m.GetKey(), Data: m.GetData(), Revision: m.GetRevision(), Removed: m.GetRemoved()})
	}
	return items, nil
}
