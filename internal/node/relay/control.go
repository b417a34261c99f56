package relay

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/peer"
)

// Bounds of control messages.
const (
	exchangeTime = 500 * time.Millisecond
	pullTime     = time.Second
	replyTime    = time.Second // for a question to the own reducer
)

// controlHandler answers the control messages of peers.
type controlHandler struct{ r *Relay }

var _ peer.Handler = controlHandler{}

// Exchange lets the reducer answer a peer's message.
func (h controlHandler) Exchange(ctx context.Context, message gypsumrail.Exchange) (gypsumrail.Exchange, error) {
	r := h.r
	ctx, cancel := context.WithTimeout(ctx, replyTime)
	defer cancel()
	waiter := make(chan gypsumrail.Exchange, 1)
	r.mu.Lock()
	id := r.nextCall()
	r.waiters[id] = waiter
	r.step(&gypsumrail.Event{Kind: gypsumrail.Exchanged, Call: id, Peer: message.From, Exchange: &message})
	out := r.take()
	r.mu.Unlock()
	write(out, nil)
	select {
	case answer := <-waiter:
		return answer, nil
	case <-ctx.Done():
		r.mu.Lock()
		delete(r.waiters, id)
		r.mu.Unlock()
		return gypsumrail.Exchange{}, fmt.Errorf("%w: %w", peer.ErrUnavailable, ctx.Err())
	}
}

// Pull hands out a value in force.
func (h controlHandler) Pull(_ context.Context, wanted gypsumrail.ValueVersion) (gypsumrail.ValueVersion, []byte, error) {
	value, ok := h.r.values.Current(wanted.Name)
	if !ok || value.Version.Revision < wanted.Revision {
		return gypsumrail.ValueVersion{}, nil, peer.ErrNotFound
	}
	return value.Version, value.Content, nil
}

// errNoKeys means that plain calls have no idempotency keys to resolve.
var errNoKeys = errors.New("calls of this node have no keys")

// Resolve refuses: plain calls have no keys.
func (h controlHandler) Resolve(context.Context, string, gypsumrail.HomeAttempt) (peer.Resolution, error) {
	return peer.Resolution{}, fmt.Errorf("%w: %w", peer.ErrNotFound, errNoKeys)
}

// sendExchange sends a control message, or hands it to the peer that asked.
func (r *Relay) sendExchange(e *gypsumrail.Effect) {
	if e.Exchange == nil {
		return
	}
	message := *e.Exchange
	message.Entries = slices.Clone(message.Entries)
	message.Digest.Values = slices.Clone(message.Digest.Values)
	if e.Call != 0 {
		if waiter, ok := r.waiters[e.Call]; ok {
			delete(r.waiters, e.Call)
			waiter <- message
		}
		return
	}
	// The third message of an exchange would carry entries, of which there are none.
	if !message.Answer && r.enter() {
		go r.exchange(e.To, message)
	}
}

// enter takes one of the bounded control messages under way.
func (r *Relay) enter() bool {
	select {
	case r.limit <- struct{}{}:
		return true
	default:
		return false
	}
}

func (r *Relay) exit() { <-r.limit }

func (r *Relay) exchange(to gypsumrail.Instance, message gypsumrail.Exchange) {
	defer r.exit()
	ctx, cancel := context.WithTimeout(r.base, exchangeTime)
	defer cancel()
	answer, err := r.control.Exchange(ctx, controlAddress(to.Address), message)
	if r.base.Err() != nil {
		return
	}
	if err != nil {
		r.post(&gypsumrail.Event{Kind: gypsumrail.PeerFailed, Peer: to})
		return
	}
	r.post(&gypsumrail.Event{Kind: gypsumrail.Exchanged, Peer: to, Exchange: &answer})
}
