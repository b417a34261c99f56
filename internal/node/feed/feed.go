// Package feed reads the values of the platform.
//
// The platform can only be read and watched, is shared by the whole fleet and
// may be away or stale for long. This package keeps the load on it small (one
// pending call per value, and pauses that grow and differ between nodes after a
// fault) and keeps the raw content in force, which is what peers pull.
package feed

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/peer"
)

// WatchTime is how long one watch waits at the platform.
const WatchTime = 30 * time.Second

// answerTime bounds what a call takes beyond its waiting time.
const answerTime = 5 * time.Second

// Errors of a read.
var (
	// ErrUnavailable means that the platform gave no usable answer.
	ErrUnavailable = errors.New("the platform gave no answer")
	// ErrTooLong means that a value is longer than 1 MB.
	ErrTooLong = errors.New("the value is too long")
)

// Value is one content of a platform value.
type Value struct {
	Version gypsumrail.ValueVersion
	Content []byte
}

// Client reads values. It is safe for concurrent use.
type Client struct {
	address string
	client  *http.Client
}

// NewClient returns a client for the platform at an IP address and port.
func NewClient(address string, transport http.RoundTripper) *Client {
	return &Client{address: address, client: &http.Client{Transport: transport}}
}

// Read returns a value that is newer than a revision. It waits for one up to
// the given time and reports false if there was none.
func (c *Client) Read(ctx context.Context, name gypsumrail.ValueName, after gypsumrail.Revision, wait time.Duration) (Value, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+answerTime)
	defer cancel()
	url := fmt.Sprintf("http://%s/values/%s?After=%d&Wait=%d", c.address, name, after, wait.Milliseconds())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return Value{}, false, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	answer, err := c.client.Do(r)
	if err != nil {
		return Value{}, false, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer func() { _ = answer.Body.Close() }()
	switch answer.StatusCode {
	case http.StatusNoContent:
		return Value{}, false, nil
	case http.StatusOK:
	default:
		return Value{}, false, fmt.Errorf("%w: status %d", ErrUnavailable, answer.StatusCode)
	}
	revision, err := strconv.ParseUint(answer.Header.Get("Revision"), 10, 64)
	if err != nil || revision == 0 {
		return Value{}, false, fmt.Errorf("%w: header Revision is missing or malformed", ErrUnavailable)
	}
	content, err := io.ReadAll(io.LimitReader(answer.Body, peer.ContentMax+1))
	if err != nil {
		return Value{}, false, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if len(content) > peer.ContentMax {
		return Value{}, false, fmt.Errorf("%w: %s %d", ErrTooLong, name, revision)
	}
	version := gypsumrail.ValueVersion{Name: name, Revision: gypsumrail.Revision(revision), Hash: peer.HashOf(content)}
	return Value{version, content}, gypsumrail.Revision(revision) > after, nil
}
