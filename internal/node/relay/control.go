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

// Timeouts of control messages.
const (
	exchangeTimeout = 500 * time.Millisecond
	pullTimeout     = time.Second
	reducerTimeout  = time.Second // for the reducer's answer to a peer's Exchange
)

// controlHandler answers the control messages of peers.
type controlHandler struct{ r *Relay }

var _ peer.Handler = controlHandler{}

// Exchange gives a peer's message to the reducer and returns the reducer's answer.
// The error wraps peer.ErrUnavailable if there is none within reducerTimeout.
func (h controlHandler) Exchange(ctx context.Context, message gypsumrail.Exchange) (gypsumrail.Exchange, error) {
	r := h.r
	ctx, cancel := context.WithTimeout(ctx, reducerTimeout)
	defer cancel()
	waiter := make(chan gypsumrail.Exchange, 1)
	r.mu.Lock()
	id := r.nextCall()
	r.waiters[id] = waiter
	r.step(&gypsumrail.Event{Kind: gypsumrail.Exchanged, Call: id, Peer: message.From, Exchange: &message})
	out := r.takeDeliveries()
	r.mu.Unlock()
	writeReplies(out, nil)
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

// Pull returns the value in force under the wanted name, or peer.ErrNotFound if there
// is none or its revision is below the wanted one.
func (h controlHandler) Pull(_ context.Context, wanted gypsumrail.ValueVersion) (gypsumrail.ValueVersion, []byte, error) {
	value, ok := h.r.values.Current(wanted.Name)
	if !ok || value.Version.Revision < wanted.Revision {
		return gypsumrail.ValueVersion{}, nil, peer.ErrNotFound
	}
	value, err := value.Encoded()
	if err != nil {
		return gypsumrail.ValueVersion{}, nil, fmt.Errorf("%w: %w", peer.ErrUnavailable, err)
	}
	return value.Version, value.Content, nil
}

// errNoKeys is the cause of every failed Resolve. Its text goes to the peer.
var errNoKeys = errors.New("calls of this node have no keys")

// Resolve always fails with peer.ErrNotFound: plain calls have no idempotency keys.
func (h controlHandler) Resolve(context.Context, string, gypsumrail.HomeAttempt) (peer.Resolution, error) {
	return peer.Resolution{}, fmt.Errorf("%w: %w", peer.ErrNotFound, errNoKeys)
}

// sendExchange performs the SendExchange effect: it sends a control message, or, if
// the effect names a call, returns it to the peer whose Exchange waits for it.
// It drops the message if outgoingControlMax messages are being sent.
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
	// With Answer set it would be the third message of an exchange. That carries instance
	// entries only, and nodes for plain requests exchange none.
	if !message.Answer && r.acquireControlSlot() {
		go r.runExchange(e.To, message)
	}
}

// acquireControlSlot reserves one of outgoingControlMax slots for sending. It returns
// false if all are in use. releaseControlSlot frees the slot.
func (r *Relay) acquireControlSlot() bool {
	select {
	case r.controlSlots <- struct{}{}:
		return true
	default:
		return false
	}
}

func (r *Relay) releaseControlSlot() { <-r.controlSlots }

// runExchange sends a control message and gives the reducer the answer or a PeerFailed
// event. The caller has acquired a control slot.
func (r *Relay) runExchange(to gypsumrail.Instance, message gypsumrail.Exchange) {
	defer r.releaseControlSlot()
	ctx, cancel := context.WithTimeout(r.base, exchangeTimeout)
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
