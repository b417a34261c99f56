package peer

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/gypsumrail/gypsumrail"
)

// stubHandler is a Handler with fixed answers. If entered is set, Exchange
// blocks until release is closed.
type stubHandler struct {
	got      gypsumrail.Exchange
	content  []byte
	version  gypsumrail.ValueVersion
	resolved Resolution
	err      error
	entered  chan struct{}
	release  chan struct{}
}

func (s *stubHandler) Exchange(_ context.Context, m gypsumrail.Exchange) (gypsumrail.Exchange, error) {
	if s.entered != nil {
		s.entered <- struct{}{}
		<-s.release
	}
	s.got = m
	m.Answer = true
	return m, s.err
}

func (s *stubHandler) Pull(context.Context, gypsumrail.ValueVersion) (gypsumrail.ValueVersion, []byte, error) {
	return s.version, s.content, s.err
}

func (s *stubHandler) Resolve(context.Context, string, gypsumrail.HomeAttempt) (Resolution, error) {
	return s.resolved, s.err
}

func serve(t *testing.T, handler Handler, limit int) (*Client, string) {
	t.Helper()
	s := httptest.NewServer(NewServer(handler, nil, limit))
	t.Cleanup(s.Close)
	return NewClient(http.DefaultTransport, &http.Transport{DisableKeepAlives: true}), strings.TrimPrefix(s.URL, "http://")
}

func message() gypsumrail.Exchange {
	self := gypsumrail.Instance{Name: "a-1", Service: "a", Zone: "z", Address: "127.0.0.1:1", Incarnation: 1 << 62, Version: 3, State: gypsumrail.Live}
	e := gypsumrail.Exchange{From: self, Entries: []gypsumrail.Instance{self}}
	e.Digest.Buckets[3] = 1 << 63
	e.Digest.Values = []gypsumrail.ValueVersion{{Name: gypsumrail.ValueRecords, Revision: 9, Hash: 1 << 60}}
	return e
}

// All fields of an exchange must reach the peer, and those of its answer must
// return.
func TestExchangeRoundTrip(t *testing.T) {
	handler := &stubHandler{}
	client, address := serve(t, handler, 1)
	want := message()
	answer, err := client.Exchange(t.Context(), address, want)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, handler.got); diff != "" {
		t.Errorf("received message differs (-want +got):\n%s", diff)
	}
	want.Answer = true
	if diff := cmp.Diff(want, answer); diff != "" {
		t.Errorf("answer differs (-want +got):\n%s", diff)
	}
}

// A sender must cut a message with too many entries to the limits: otherwise
// the peer rejects it and none of the entries ever arrives. The server must
// reject messages over the size limit.
func TestExchangeLimits(t *testing.T) {
	handler := &stubHandler{}
	client, address := serve(t, handler, 1)
	m := message()
	for range 3000 {
		m.Entries = append(m.Entries, m.From)
	}
	if _, err := client.Exchange(t.Context(), address, m); err != nil {
		t.Errorf("a full message was not delivered: %v", err)
	}
	if n := len(handler.got.Entries); n == 0 || n > entriesMax {
		t.Errorf("%d entries were delivered", n)
	}
	long := toExchange(message())
	long.From.Name = strings.Repeat("x", ExchangeMax)
	if _, err := controlClient(client.pooled, address).Exchange(t.Context(), long); err == nil {
		t.Error("a message over the size limit was accepted")
	}
	m.From.Address = "example:1"
	if _, err := client.Exchange(t.Context(), address, m); !errors.Is(err, ErrMalformed) {
		t.Errorf("a host name as address gives %v", err)
	}
}

// Pull must reject content that does not match its version, and compressed
// content that expands beyond ContentMax.
func TestPull(t *testing.T) {
	content := []byte(`{"Classes":[]}`)
	version := gypsumrail.ValueVersion{Name: gypsumrail.ValueRecords, Revision: 5, Hash: HashOf(content)}
	large := bytes.Repeat([]byte{'x'}, ContentMax+1)
	tests := []struct {
		name    string
		content []byte
		version gypsumrail.ValueVersion
		err     error
		want    error
	}{
		{"whole", content, version, nil, nil},
		{"other hash", content, gypsumrail.ValueVersion{Name: gypsumrail.ValueRecords, Revision: 5, Hash: 1}, nil, ErrMalformed},
		{"lower revision", content, gypsumrail.ValueVersion{Name: gypsumrail.ValueRecords, Revision: 3, Hash: HashOf(content)}, nil, ErrMalformed},
		{"too large", large, gypsumrail.ValueVersion{Name: gypsumrail.ValueRecords, Revision: 5, Hash: HashOf(large)}, nil, ErrMalformed},
		{"not found", nil, version, ErrNotFound, ErrNotFound},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			compressed, err := Compress(test.content)
			if err != nil {
				t.Fatal(err)
			}
			client, address := serve(t, &stubHandler{content: compressed, version: test.version, err: test.err}, 1)
			got, body, err := client.Pull(t.Context(), address, gypsumrail.ValueVersion{Name: gypsumrail.ValueRecords, Revision: 4})
			if !errors.Is(err, test.want) {
				t.Fatalf("error %v, want %v", err, test.want)
			}
			if err == nil && (got != test.version || !bytes.Equal(body, test.content)) {
				t.Errorf("got %v %q", got, body)
			}
		})
	}
}

// Resolve must reject an outcome that no node can state: the caller would treat
// it as "did not run".
func TestResolve(t *testing.T) {
	report := &gypsumrail.Report{Instance: "a", Incarnation: 1 << 63, Sequence: 9, Limit: 8, InFlight: 7, Queued: 6,
		Threshold: 500, Epoch: 4, Leaving: true}
	handler := &stubHandler{resolved: Resolution{Outcome: gypsumrail.NotRun, Reason: gypsumrail.ReasonKeyRefused, Report: report}}
	client, address := serve(t, handler, 1)
	got, err := client.Resolve(t.Context(), address, "k", 257)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(handler.resolved, got); diff != "" {
		t.Errorf("resolution differs (-want +got):\n%s", diff)
	}
	handler.resolved.Outcome = ""
	if _, err := client.Resolve(t.Context(), address, "", 0); err != nil {
		t.Errorf("a request for the report alone gives %v", err)
	}
	if _, err := client.Resolve(t.Context(), address, "k", 257); !errors.Is(err, ErrMalformed) {
		t.Errorf("no outcome for a key gives %v", err)
	}
	handler.resolved.Outcome = "Perhaps"
	if _, err := client.Resolve(t.Context(), address, "k", 257); !errors.Is(err, ErrMalformed) {
		t.Errorf("an unknown outcome gives %v", err)
	}
	if _, err := client.Resolve(t.Context(), "127.0.0.1:1", "k", 257); !errors.Is(err, ErrUnavailable) {
		t.Errorf("a closed port gives %v", err)
	}
}

// The server must limit the number of concurrent control calls.
func TestBusy(t *testing.T) {
	handler := &stubHandler{entered: make(chan struct{}), release: make(chan struct{})}
	client, address := serve(t, handler, 1)
	done := make(chan error, 1)
	go func() {
		_, err := client.Exchange(context.Background(), address, message())
		done <- err
	}()
	<-handler.entered
	if _, err := client.Exchange(t.Context(), address, message()); !errors.Is(err, ErrBusy) {
		t.Errorf("a call over the limit gives %v", err)
	}
	close(handler.release)
	if err := <-done; err != nil {
		t.Error(err)
	}
}
