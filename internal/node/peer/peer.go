// Package peer implements the control protocol between nodes as a Twirp service.
//
// Its server and client use the types of the root package and the errors of this
// package, so that the rest of the node depends on neither protobuf nor Twirp.
package peer

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/twitchtv/twirp"

	"github.com/gypsumrail/gypsumrail"
)

// Limits of control messages in bytes: an Exchange or Grant message, the answer to a
// Pull, a Resolve request, and the uncompressed content of a platform value.
const (
	ExchangeMax = 64 << 10
	PullMax     = 2 << 20
	ResolveMax  = 4 << 10
	ContentMax  = 1 << 20
)

// Errors of control calls.
var (
	// ErrNotFound means that the peer does not have the value, or only an older
	// revision.
	ErrNotFound = errors.New("the peer does not have the value")
	// ErrMalformed means that a message is too long, or has a malformed field.
	ErrMalformed = errors.New("malformed control message")
	// ErrBusy means that the peer has reached its limit of concurrent control
	// calls.
	ErrBusy = errors.New("the peer is busy")
	// ErrUnavailable means that no answer arrived, or that the peer answered
	// with an error other than those above.
	ErrUnavailable = errors.New("no answer from the peer")
)

// Resolution is the answer to Resolve: what the home of a key knows about an
// attempt. Outcome is empty if Resolve was called without a key.
type Resolution struct {
	Outcome gypsumrail.Outcome
	Reason  gypsumrail.Reason
	Report  *gypsumrail.Report // load report of the home; nil if it sent none
}

// Handler answers control messages. Implementations must be safe for concurrent
// use.
type Handler interface {
	// Exchange applies a peer's state and returns the state of this node.
	Exchange(ctx context.Context, message gypsumrail.Exchange) (gypsumrail.Exchange, error)
	// Pull returns the version of a value and its content in the form of
	// Compress. The revision is that asked for or a later one; without such a
	// value, the error is ErrNotFound.
	Pull(ctx context.Context, wanted gypsumrail.ValueVersion) (gypsumrail.ValueVersion, []byte, error)
	// Resolve reports whether an attempt of a key ran, and refuses the attempt
	// for good if it has not started. With an empty key it returns only the load
	// report.
	Resolve(ctx context.Context, key string, attempt gypsumrail.HomeAttempt) (Resolution, error)
	// Grant applies the delegation of a node and grants it tokens.
	Grant(ctx context.Context, ask gypsumrail.GrantAsk) (gypsumrail.GrantReply, error)
}

// Compress returns the content of a value compressed with gzip, as Pull sends it.
func Compress(content []byte) ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(content); err != nil {
		return nil, fmt.Errorf("compress a value: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress a value: %w", err)
	}
	return b.Bytes(), nil
}

// decompress reverses Compress. It rejects content longer than ContentMax,
// since a few kilobytes can be made to expand to gigabytes.
func decompress(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, fmt.Errorf("%w: content: %w", ErrMalformed, err)
	}
	content, err := io.ReadAll(io.LimitReader(r, ContentMax+1))
	if err != nil {
		return nil, fmt.Errorf("%w: content: %w", ErrMalformed, err)
	}
	if len(content) > ContentMax {
		return nil, fmt.Errorf("%w: content is longer than %d bytes", ErrMalformed, ContentMax)
	}
	return content, nil
}

// HashOf returns the hash that orders versions of a value with the same revision.
func HashOf(content []byte) uint64 { return xxhash.Sum64(content) }

// fromTwirpError converts an error of a Twirp client to one that wraps an error
// of this package.
func fromTwirpError(err error) error {
	if err == nil {
		return nil
	}
	var te twirp.Error
	if !errors.As(err, &te) {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	kind := ErrUnavailable
	switch te.Code() {
	case twirp.NotFound:
		kind = ErrNotFound
	case twirp.InvalidArgument, twirp.Malformed, twirp.BadRoute, twirp.OutOfRange:
		kind = ErrMalformed
	case twirp.ResourceExhausted:
		kind = ErrBusy
	}
	return fmt.Errorf("%w: %s", kind, te.Msg())
}

// toTwirpError converts an error of a Handler to a Twirp error.
func toTwirpError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ErrNotFound):
		return twirp.NewError(twirp.NotFound, err.Error())
	case errors.Is(err, ErrMalformed):
		return twirp.NewError(twirp.InvalidArgument, err.Error())
	case errors.Is(err, ErrBusy):
		return twirp.NewError(twirp.ResourceExhausted, err.Error())
	}
	return twirp.NewError(twirp.Unavailable, err.Error())
}
