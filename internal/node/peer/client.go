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
	pooled *http.Client
	fresh  *http.Client
}

// NewClient returns a client. Resolve uses fresh, which must open a new
// connection for each request, because it follows the loss of an old one.
func NewClient(pooled, fresh http.RoundTripper) *Client {
	return &Client{
		pooled: &http.Client{Transport: limited{pooled}},
		fresh:  &http.Client{Transport: limited{fresh}},
	}
}

// limited cuts answers at the largest size of any control message.
type limited struct{ next http.RoundTripper }

func (l limited) RoundTrip(r *http.Request) (*http.Response, error) {
	limit := int64(PullMax)
	if requestMax(r.URL.Path) == ExchangeMax {
		limit = ExchangeMax
	}
	answer, err := l.next.RoundTrip(r)
	if err != nil {
		return nil, fmt.Errorf("control call: %w", err)
	}
	answer.Body = &limitedBody{body: answer.Body, left: limit}
	return answer, nil
}

type limitedBody struct {
	body io.ReadCloser
	left int64
}

func (b *limitedBody) Read(p []byte) (int, error) {
	if b.left <= 0 {
		var one [1]byte
		if n, err := b.body.Read(one[:]); n == 0 {
			return 0, err
		}
		return 0, fmt.Errorf("%w: answer is too long", ErrMalformed)
	}
	n, err := b.body.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, err
}

func (b *limitedBody) Close() error { return b.body.Close() }

func control(c *http.Client, address string) Control {
	return NewControlProtobufClient("http://"+address, c)
}

// Exchange sends a message to the peer at an address and returns its answer.
func (c *Client) Exchange(ctx context.Context, address string, message gypsumrail.Exchange) (gypsumrail.Exchange, error) {
	answer, err := control(c.pooled, address).Exchange(ctx, toExchange(message))
	if err != nil {
		return gypsumrail.Exchange{}, errorFrom(err)
	}
	return fromExchange(answer)
}

// Pull fetches a value of at least the wanted revision. The content has the
// returned version: its hash was computed from the content, and a peer that
// states another hash is malformed.
func (c *Client) Pull(ctx context.Context, address string, wanted gypsumrail.ValueVersion) (gypsumrail.ValueVersion, []byte, error) {
	answer, err := control(c.pooled, address).Pull(ctx, &PullRequest{Value: toValue(wanted)})
	if err != nil {
		return gypsumrail.ValueVersion{}, nil, errorFrom(err)
	}
	version, err := fromValue(answer.GetValue())
	if err != nil {
		return gypsumrail.ValueVersion{}, nil, err
	}
	content, err := expand(answer.GetContent())
	if err != nil {
		return gypsumrail.ValueVersion{}, nil, err
	}
	if version.Name != wanted.Name || version.Revision < wanted.Revision || version.Hash != HashOf(content) {
		return gypsumrail.ValueVersion{}, nil, fmt.Errorf("%w: asked for %s %d, got %s %d with hash %x", ErrMalformed,
			wanted.Name, wanted.Revision, version.Name, version.Revision, version.Hash)
	}
	return version, content, nil
}

// Resolve asks the home of a key about an attempt, or with an empty key only for
// its report, over a new connection.
func (c *Client) Resolve(ctx context.Context, address, key string, attempt gypsumrail.HomeAttempt) (Resolution, error) {
	answer, err := control(c.fresh, address).Resolve(ctx, &ResolveRequest{Key: key, HomeAttempt: uint32(attempt)})
	if err != nil {
		return Resolution{}, errorFrom(err)
	}
	r := Resolution{Outcome: gypsumrail.Outcome(answer.GetOutcome()), Reason: gypsumrail.Reason(answer.GetReason())}
	if !wire.ValidOutcome(r.Outcome) && (key != "" || r.Outcome != "") {
		return Resolution{}, fmt.Errorf("%w: outcome %.16q", ErrMalformed, r.Outcome)
	}
	if r.Report, err = fromReport(answer.GetReport()); err != nil {
		return Resolution{}, err
	}
	return r, nil
}
