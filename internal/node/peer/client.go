package peer

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

// Client sends control messages. It is safe for concurrent use.
type Client struct {
	pooled   *http.Client
	unpooled *http.Client
}

// NewClient returns a client. Exchange, Pull and Grant use pooled. Resolve uses fresh,
// which must open a new connection for each request, because Resolve is called
// after an existing connection has failed.
func NewClient(pooled, unpooled http.RoundTripper) *Client {
	return &Client{
		pooled:   &http.Client{Transport: limitedTransport{pooled}},
		unpooled: &http.Client{Transport: limitedTransport{unpooled}},
	}
}

// limitedTransport limits the body of an answer to ExchangeMax for Exchange and Grant and
// to PullMax for the other methods.
type limitedTransport struct{ next http.RoundTripper }

func (l limitedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	limit := int64(PullMax)
	if requestMax(r.URL.Path) == ExchangeMax {
		limit = ExchangeMax
	}
	answer, err := l.next.RoundTrip(r)
	if err != nil {
		return nil, fmt.Errorf("control call: %w", err)
	}
	answer.Body = &limitedBody{body: answer.Body, remaining: limit}
	return answer, nil
}

// limitedBody fails with ErrMalformed if the body is longer than its limit.
type limitedBody struct {
	body      io.ReadCloser
	remaining int64
}

func (b *limitedBody) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		var one [1]byte
		if n, err := b.body.Read(one[:]); n == 0 {
			return 0, err
		}
		return 0, fmt.Errorf("%w: the answer is longer than its size limit", ErrMalformed)
	}
	n, err := b.body.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	return n, err
}

func (b *limitedBody) Close() error { return b.body.Close() }

// controlClient returns a Twirp client for the node at an address.
func controlClient(c *http.Client, address string) Control {
	return NewControlProtobufClient("http://"+address, c)
}

// Exchange sends the state of this node to the peer at an address, and returns
// the peer's.
func (c *Client) Exchange(ctx context.Context, address string, message gypsumrail.Exchange) (gypsumrail.Exchange, error) {
	answer, err := controlClient(c.pooled, address).Exchange(ctx, toExchange(message))
	if err != nil {
		return gypsumrail.Exchange{}, fromTwirpError(err)
	}
	return fromExchange(answer)
}

// Pull fetches the content of a platform value at the wanted revision or a
// later one, and returns it with its version. Pull computes the hash of the
// content. If the peer states another hash, or an older revision, the error is
// ErrMalformed.
func (c *Client) Pull(ctx context.Context, address string, wanted gypsumrail.ValueVersion) (gypsumrail.ValueVersion, []byte, error) {
	answer, err := controlClient(c.pooled, address).Pull(ctx, &PullRequest{Value: toValue(wanted)})
	if err != nil {
		return gypsumrail.ValueVersion{}, nil, fromTwirpError(err)
	}
	version, err := fromValue(answer.GetValue())
	if err != nil {
		return gypsumrail.ValueVersion{}, nil, err
	}
	content, err := decompress(answer.GetContent())
	if err != nil {
		return gypsumrail.ValueVersion{}, nil, err
	}
	if version.Name != wanted.Name || version.Revision < wanted.Revision || version.Hash != HashOf(content) {
		return gypsumrail.ValueVersion{}, nil, fmt.Errorf("%w: want value %s at revision %d or later and the hash of its content, got %s at revision %d and hash %x", ErrMalformed,
			wanted.Name, wanted.Revision, version.Name, version.Revision, version.Hash)
	}
	return version, content, nil
}

// Resolve asks the home of a key whether an attempt ran. With an empty key it
// asks only for the home's load report. It always opens a new connection.
func (c *Client) Resolve(ctx context.Context, address, key string, attempt gypsumrail.HomeAttempt) (Resolution, error) {
	answer, err := controlClient(c.unpooled, address).Resolve(ctx, &ResolveRequest{Key: key, HomeAttempt: uint32(attempt)})
	if err != nil {
		return Resolution{}, fromTwirpError(err)
	}
	r := Resolution{Outcome: gypsumrail.Outcome(answer.GetOutcome()), Reason: gypsumrail.Reason(answer.GetReason())}
	if !wire.ValidOutcome(r.Outcome) && (key != "" || r.Outcome != "") {
		return Resolution{}, fmt.Errorf("%w: the answer to Resolve has the invalid outcome %.16q", ErrMalformed, r.Outcome)
	}
	if r.Report, err = fromReport(answer.GetReport()); err != nil {
		return Resolution{}, err
	}
	return r, nil
}
