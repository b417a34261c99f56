// Package fetch reads and watches the values that the platform publishes.
//
// Nodes can't write to the platform. The whole fleet shares it, and it may be
// unreachable or stale for a long time. This package limits the load on it: one
// pending read per value, and exponential backoff with jitter after an error. It
// also stores the raw content of the versions in force, which peers pull.
package fetch

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

// WatchWait is the time for which the platform holds one watch open.
const WatchWait = 30 * time.Second

// responseTimeout bounds the time of a read beyond its waiting time.
const responseTimeout = 5 * time.Second

// Errors of a read.
var (
	// ErrUnavailable means that the platform could not be reached, or that its
	// response was an error or malformed.
	ErrUnavailable = errors.New("the platform gave no usable response")
	// ErrTooLong means that the content of a value is longer than peer.ContentMax.
	ErrTooLong = errors.New("the value is longer than 1 MB")
)

// Value is one version of a platform value with its content. If Encode is set, there
// is no content until a peer asks for it.
type Value struct {
	Version gypsumrail.ValueVersion
	Content []byte
	Encode  func() ([]byte, error)
}

// Encoded returns the value with its content in the form of peer.Compress, and with
// the hash of the content in its version.
func (v Value) Encoded() (Value, error) {
	if v.Encode == nil {
		return v, nil
	}
	content, err := v.Encode()
	if err != nil {
		return Value{}, fmt.Errorf("encode %s: %w", v.Version.Name, err)
	}
	v.Version.Hash = peer.HashOf(content)
	v.Encode = nil
	v.Content, err = peer.Compress(content)
	return v, err //nolint:wrapcheck // the error of Compress says what failed
}

// Client reads values over HTTP. It is safe for concurrent use.
type Client struct {
	address string
	client  *http.Client
}

// NewClient returns a client of the platform at address, an IP address and port.
func NewClient(address string, transport http.RoundTripper) *Client {
	return &Client{address: address, client: &http.Client{Transport: transport}}
}

// Read returns the value if its revision is higher than after. The platform waits
// for such a revision for up to wait. Read returns false if there was none; if the
// platform then sent a revision that is not higher, the returned Value holds it.
// Errors wrap ErrUnavailable or ErrTooLong.
func (c *Client) Read(ctx context.Context, name gypsumrail.ValueName, after gypsumrail.Revision, wait time.Duration) (Value, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+responseTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/values/%s?After=%d&Wait=%d", c.address, name, after, wait.Milliseconds())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return Value{}, false, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	response, err := c.client.Do(r)
	if err != nil {
		return Value{}, false, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusNoContent:
		return Value{}, false, nil
	case http.StatusOK:
	default:
		return Value{}, false, fmt.Errorf("%w: HTTP status %d", ErrUnavailable, response.StatusCode)
	}
	revision, err := strconv.ParseUint(response.Header.Get("Revision"), 10, 64)
	if err != nil || revision == 0 {
		return Value{}, false, fmt.Errorf("%w: header Revision is missing or malformed", ErrUnavailable)
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, peer.ContentMax+1))
	if err != nil {
		return Value{}, false, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if len(content) > peer.ContentMax {
		return Value{}, false, fmt.Errorf("%w: %s at revision %d", ErrTooLong, name, revision)
	}
	version := gypsumrail.ValueVersion{Name: name, Revision: gypsumrail.Revision(revision), Hash: peer.HashOf(content)}
	return Value{Version: version, Content: content}, gypsumrail.Revision(revision) > after, nil
}
