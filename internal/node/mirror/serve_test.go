package mirror

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/source"
)

// serving returns a follower that has read the steps.
func serving(t *testing.T, steps ...step) *Follower {
	s := &script{steps: steps, ended: make(chan struct{})}
	f := New(Settings{Store: s, Clock: clock{time.Now()}, Wait: time.Second, Contact: func(error) {}}, Part{Receive: func([]gypsumrail.Item, uint64) {}})
	go f.Run(t.Context())
	<-s.ended
	return f
}

// A listing may read a later change before all earlier ones. Guards against a peer that
// gets the later one, continues behind it and never gets the earlier ones. Also guards
// against removals that a peer does not hear of, and against an answer without changes
// where the peer's revision is older than the known removals.
func TestChangesForPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := serving(t,
			step{items: gypsumrail.Items{List: []gypsumrail.Item{item("a", 1)}, Revision: 3, More: true}},
			step{items: items(5, item("b", 5), item("c", 2))},
		)
		for _, test := range []struct {
			since uint64
			want  gypsumrail.Items
			err   error
		}{
			{3, gypsumrail.Items{Revision: 3}, nil},
			{2, gypsumrail.Items{}, gypsumrail.ErrHistoryGone},
		} {
			got, err := f.Changes(t.Context(), "", test.since, 10*time.Millisecond)
			if diff := cmp.Diff(test.want, got); !errors.Is(err, test.err) || diff != "" {
				t.Errorf("since %d: %v (-want +got):\n%s", test.since, err, diff)
			}
		}
	})
	synctest.Test(t, func(t *testing.T) {
		f := serving(t, step{items: items(3, item("a", 1), item("c", 2))}, step{items: items(6, item("b", 4), removed("a", 6))})
		got, err := f.Changes(t.Context(), "", 4, time.Second)
		if diff := cmp.Diff(items(6, removed("a", 6)), got); err != nil || diff != "" {
			t.Errorf("%v (-want +got):\n%s", err, diff)
		}
		page, err := f.List(t.Context(), "", "b")
		if diff := cmp.Diff(items(6, item("c", 2)), page); err != nil || diff != "" {
			t.Errorf("%v (-want +got):\n%s", err, diff)
		}
	})
}

// Guards against a copy that the store has not confirmed for a while and that is still
// served, and against a peer that waits although the copy can't be confirmed.
func TestUnconfirmedCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := serving(t, step{items: items(3, item("a", 1))})
		if _, err := f.Changes(t.Context(), "", 3, 0); err != nil {
			t.Errorf("a confirmed copy: %v", err)
		}
		time.Sleep(2 * time.Second) // the store answers nothing
		start := time.Now()
		_, err := f.Changes(t.Context(), "", 3, time.Minute)
		if waited := time.Since(start); !errors.Is(err, gypsumrail.ErrStoreUnavailable) || waited > confirmWait {
			t.Errorf("an unconfirmed copy: %v after %v", err, waited)
		}
	})
}

// A peer whose copy is older must not bring back what was removed. Guards against its
// listing after the own history was lost.
func TestListingBehind(t *testing.T) {
	const address = "10.0.0.2:1"
	behind := &script{ended: make(chan struct{}), steps: []step{{err: gypsumrail.ErrHistoryGone}, {items: items(5, item("a", 1), item("b", 2))}}}
	own := &script{ended: make(chan struct{}), steps: []step{{items: items(9, item("a", 1))}}}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		own.ended, behind.ended = make(chan struct{}), make(chan struct{})
		var f *Follower
		deliveries := 0
		f = New(Settings{
			Store: own, Sources: source.New("10.0.0.1:1", "z"), Clock: clock{time.Now()}, Wait: time.Second, Contact: func(error) {},
			Peers: func(string) gypsumrail.Store { return behind },
		}, Part{Receive: func(list []gypsumrail.Item, _ uint64) {
			deliveries++
			if diff := cmp.Diff([]gypsumrail.Item{item("a", 1)}, list); diff != "" {
				t.Errorf("delivered (-want +got):\n%s", diff)
			}
			f.SetInstances([]gypsumrail.Instance{{Address: address, Zone: "z", State: gypsumrail.Live}})
		}})
		go f.Run(ctx)
		<-own.ended // it turned to the store again
		if deliveries != 1 || len(behind.calls) < 2 {
			t.Errorf("%d deliveries, calls to the peer: %v", deliveries, behind.calls)
		}
	})
}

// busyElsewhere is a store in which only items of other prefixes change.
type busyElsewhere struct{ *platform }

func (b busyElsewhere) Revision(ctx context.Context, stale bool) (uint64, error) {
	revision, err := b.platform.Revision(ctx, stale)
	return revision + 100, err
}

// Pattern: others change the store all the time, below other prefixes. Guards against a
// reader that takes each such change for a lost watch again and again.
func TestChangesElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		p := newPlatform()
		p.change("r/1", false)
		settings := Settings{Store: busyElsewhere{p}, Clock: clock{time.Now()}, Wait: 15 * time.Second, Contact: func(error) {}}
		go New(settings, Part{Prefix: "r/", Receive: func([]gypsumrail.Item, uint64) {}}).Run(ctx)
		time.Sleep(30 * time.Second)
		if calls := p.callCount(); calls > 10 {
			t.Errorf("30 s without a change of the part cost %d calls", calls)
		}
	})
}
