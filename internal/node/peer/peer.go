// Package peer carries the control messages between nodes as a Twirp service.
//
// Its server and client speak the plain data of the root package and errors of
// their own, so that neither protobuf nor Twirp reaches the rest of the node.
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

// Limits of control messages in bytes. ContentMax is the uncompressed size of
// a platform value.
const (
	ExchangeMax = 64 << 10
	PullMax     = 2 << 20
	ResolveMax  = 4 << 10
	ContentMax  = 1 << 20
)

// Errors of control calls.
var (
	// ErrNotFound means that the peer does not have the value, or only a lower revision.
	ErrNotFound = errors.New("the peer does not have the value")
	// ErrMalformed means that a message was outside its limits or ranges.
	ErrMalformed = errors.New("malformed control message")
	// ErrBusy means that the peer holds as many control calls as it may.
	ErrBusy = errors.New("the peer is busy")
	// ErrUnavailable means that no answer came.
	ErrUnavailable = errors.New("no answer from the peer")
)

// Resolution is what the home of a key knows about an attempt. The outcome is
// empty if the question named no key.
type Resolution struct {
	Outcome gypsumrail.Outcome
	Reason  gypsumrail.Reason
	Report  *gypsumrail.Report // nil if the home sent none
}

// Handler answers control messages. Implementations are safe for concurrent use.
type Handler interface {
	// Exchange takes a peer's state and returns the own one.
	Exchange(ctx context.Context, message gypsumrail.Exchange) (gypsumrail.Exchange, error)
	// Pull returns the compressed content of a value whose revision is at least that asked for,
	// or ErrNotFound. See Compress.
	Pull(ctx context.Context, wanted gypsumrail.ValueVersion) (gypsumrail.ValueVersion, []byte, error)
	// Resolve tells whether an attempt of a key ran. With an empty key it only gives the report.
	Resolve(ctx context.Context, key string, attempt gypsumrail.HomeAttempt) (Resolution, error)
}

// Compress returns the content of a value in the form that Pull sends.
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

// expand reverses Compress. It stops at ContentMax, since a few kilobytes can
// be made to expand to gigabytes.
func expand(compressed []byte) ([]byte, error) {
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

// HashOf returns the hash by which versions of one revision are ordered.
func HashOf(content []byte) uint64 { return xxhash.Sum64(content) }

// errorFrom translates an error of a Twirp client.
func errorFrom(err error) error {
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

// errorTo translates an error of a handler for the Twirp server.
func errorTo(err error) error {
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
