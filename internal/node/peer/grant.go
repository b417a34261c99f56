package peer

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

// Limits of a GrantAsk and its reply.
const (
	grantsMax = 256     // accounts
	tokensMax = 1 << 16 // of one account
	partsMax  = 1 << 20
	// demandBytes is the most that tags, lengths and numbers of a demand or grant take.
	demandBytes = 16
)

// Grant passes a message to the handler.
func (s *server) Grant(ctx context.Context, m *GrantAsk) (*GrantReply, error) {
	if err := s.acquireSlot(); err != nil {
		return nil, err
	}
	defer s.releaseSlot()
	ask, err := fromGrantAsk(m)
	if err != nil {
		return nil, toTwirpError(err)
	}
	reply, err := s.handler.Grant(ctx, ask)
	if err != nil {
		return nil, toTwirpError(err)
	}
	return toGrantReply(reply), nil
}

// Grant asks the broker at an address for tokens.
func (c *Client) Grant(ctx context.Context, address string, ask gypsumrail.GrantAsk) (gypsumrail.GrantReply, error) {
	reply, err := controlClient(c.pooled, address).Grant(ctx, toGrantAsk(ask))
	if err != nil {
		return gypsumrail.GrantReply{}, fromTwirpError(err)
	}
	return fromGrantReply(reply)
}

// GrantAskSize and GrantReplySize return the encoded sizes in bytes, without HTTP headers.
func GrantAskSize(ask gypsumrail.GrantAsk) int { return proto.Size(toGrantAsk(ask)) }

// GrantReplySize is described at GrantAskSize.
func GrantReplySize(reply gypsumrail.GrantReply) int { return proto.Size(toGrantReply(reply)) }

func toGrantAsk(ask gypsumrail.GrantAsk) *GrantAsk {
	m := &GrantAsk{
		From: ask.From, Incarnation: uint64(ask.Incarnation), Sequence: ask.Sequence,
		Parts: uint32(min(max(ask.Parts, 0), partsMax)), Broker: uint64(ask.Broker), Echo: ask.Echo,
	}
	bytesLeft := ExchangeMax / 2 // names of 256 bytes would exceed the limit of the server
	for _, d := range ask.Demands[:min(len(ask.Demands), grantsMax)] {
		if bytesLeft -= len(d.Account) + demandBytes; bytesLeft < 0 {
			break
		}
		m.Demands = append(m.Demands, &DemandMessage{Account: d.Account, Wanted: uint32(min(max(d.Wanted, 0), tokensMax))})
	}
	return m
}

func fromGrantAsk(m *GrantAsk) (gypsumrail.GrantAsk, error) {
	ask := gypsumrail.GrantAsk{
		From: m.GetFrom(), Incarnation: gypsumrail.Incarnation(m.GetIncarnation()), Sequence: m.GetSequence(),
		Parts: int(m.GetParts()), Broker: gypsumrail.Incarnation(m.GetBroker()), Echo: m.GetEcho(),
	}
	if !wire.ValidName(ask.From) || m.GetParts() > partsMax || len(m.GetDemands()) > grantsMax {
		return gypsumrail.GrantAsk{}, fmt.Errorf("%w: demand of %.64q with %d parts and %d accounts", ErrMalformed, ask.From, m.GetParts(), len(m.GetDemands()))
	}
	for _, d := range m.GetDemands() {
		if len(d.GetAccount()) > keyMax || d.GetWanted() > tokensMax {
			return gypsumrail.GrantAsk{}, fmt.Errorf("%w: %d tokens for account %.64q", ErrMalformed, d.GetWanted(), d.GetAccount())
		}
		ask.Demands = append(ask.Demands, gypsumrail.GrantDemand{Account: d.GetAccount(), Wanted: int(d.GetWanted())})
	}
	return ask, nil
}

func toGrantReply(reply gypsumrail.GrantReply) *GrantReply {
	m := &GrantReply{Incarnation: uint64(reply.Incarnation), Clock: reply.Clock, Sequence: reply.Sequence}
	for _, g := range reply.Grants[:min(len(reply.Grants), grantsMax)] {
		m.Grants = append(m.Grants, &GrantMessage{
			Account: g.Account, Tokens: uint32(min(max(g.Tokens, 0), tokensMax)), Wait: uint32(min(max(g.Wait, 0), gypsumrail.Minute)),
		})
	}
	return m
}

func fromGrantReply(m *GrantReply) (gypsumrail.GrantReply, error) {
	reply := gypsumrail.GrantReply{Incarnation: gypsumrail.Incarnation(m.GetIncarnation()), Clock: m.GetClock(), Sequence: m.GetSequence()}
	if reply.Incarnation == 0 || len(m.GetGrants()) > grantsMax {
		return gypsumrail.GrantReply{}, fmt.Errorf("%w: grants of incarnation %d for %d accounts", ErrMalformed, reply.Incarnation, len(m.GetGrants()))
	}
	for _, g := range m.GetGrants() {
		if len(g.GetAccount()) > keyMax || g.GetTokens() > tokensMax || gypsumrail.Millis(g.GetWait()) > gypsumrail.Minute {
			return gypsumrail.GrantReply{}, fmt.Errorf("%w: grant of %d tokens for account %.64q", ErrMalformed, g.GetTokens(), g.GetAccount())
		}
		reply.Grants = append(reply.Grants, gypsumrail.Grant{Account: g.GetAccount(), Tokens: int(g.GetTokens()), Wait: gypsumrail.Millis(g.GetWait())})
	}
	return reply, nil
}
