package fetch

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/lab/stubs"
	"github.com/gypsumrail/gypsumrail/internal/node/peer"
)

func platform(t *testing.T) (*stubs.Platform, *Client) {
	t.Helper()
	p, err := stubs.NewPlatform("")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p, NewClient(p.Address(), http.DefaultTransport)
}

// Guards against a watch that misses a publication, ends after an error of the
// platform, or delivers an older revision from a stale platform.
func TestWatch(t *testing.T) {
	p, client := platform(t)
	ctx, cancel := context.WithCancel(t.Context())
	store := NewStore()
	got, faults, ended := make(chan string, 16), make(chan error, 16), make(chan struct{})
	go func() {
		defer close(ended)
		after := func() gypsumrail.Revision { return store.Revision(gypsumrail.ValueRecords) }
		client.Watch(ctx, gypsumrail.ValueRecords, after, func(v Value, err error) {
			if err != nil {
				faults <- err
				return
			}
			_ = store.Offer(v)
			store.Adopt(v.Version)
			got <- string(v.Content)
		})
	}()
	p.Publish(gypsumrail.ValueRecords, []byte("one"))
	if v := <-got; v != "one" {
		t.Errorf("got %q", v)
	}
	p.SetDown(true)
	if err := <-faults; !errors.Is(err, ErrUnavailable) {
		t.Errorf("got %v", err)
	}
	p.SetDown(false)
	p.SetStale(1)
	p.Publish(gypsumrail.ValueRecords, []byte("two"))
	p.SetStale(0)
	if v := <-got; v != "two" {
		t.Errorf("got %q", v)
	}
	cancel()
	<-ended
	if _, peak := p.Calls(); peak > 1 {
		t.Errorf("%d calls were pending at once", peak)
	}
}

// Guards against a first read that ends before the platform has a value. Also
// guards against one that continues after a peer has supplied the value.
func TestFirst(t *testing.T) {
	p, client := platform(t)
	got := make(chan string, 1)
	go client.ReadFirst(t.Context(), gypsumrail.ValueRecords, func() bool { return false }, func(v Value, _ error) { got <- string(v.Content) })
	for total := 0; total == 0; total, _ = p.Calls() {
		time.Sleep(time.Millisecond)
	}
	p.Publish(gypsumrail.ValueRecords, []byte("late"))
	if v := <-got; v != "late" {
		t.Errorf("got %q", v)
	}
	client.ReadFirst(t.Context(), gypsumrail.ValueRecords, func() bool { return true }, func(Value, error) { t.Error("read again") })
}

// Guards against malformed responses that are accepted as a value.
func TestReadFaults(t *testing.T) {
	tests := []struct {
		name     string
		revision string
		body     string
		status   int
		want     error
	}{
		{"no revision", "", "x", http.StatusOK, ErrUnavailable},
		{"negative revision", "-1", "x", http.StatusOK, ErrUnavailable},
		{"too long", "1", strings.Repeat("x", peer.ContentMax+1), http.StatusOK, ErrTooLong},
		{"error", "1", "x", http.StatusInternalServerError, ErrUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Revision", test.revision)
				w.WriteHeader(test.status)
				_, _ = w.Write([]byte(test.body))
			}))
			defer s.Close()
			client := NewClient(s.Listener.Addr().String(), http.DefaultTransport)
			if _, _, err := client.Read(t.Context(), gypsumrail.ValueRecords, 0, 0); !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}

// Guards against an offer that is adopted under another version, or that replaces
// the version in force before it is adopted.
func TestStore(t *testing.T) {
	store := NewStore()
	first := Value{Version: gypsumrail.ValueVersion{Name: gypsumrail.ValueRecords, Revision: 1, Hash: 1}, Content: []byte("one")}
	second := Value{Version: gypsumrail.ValueVersion{Name: gypsumrail.ValueRecords, Revision: 2, Hash: 2}, Content: []byte("two")}
	_ = store.Offer(first)
	if store.Adopt(second.Version) {
		t.Error("a version that was not offered was adopted")
	}
	if !store.Adopt(first.Version) || store.Revision(gypsumrail.ValueRecords) != 1 {
		t.Error("the offered version was not adopted")
	}
	_ = store.Offer(second)
	if current, _ := store.Current(gypsumrail.ValueRecords); current.Version != first.Version {
		t.Error("an offer replaced the content in force")
	}
}
