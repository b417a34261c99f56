package peer

import (
	"google.golang.org/protobuf/proto"

	"github.com/gypsumrail/gypsumrail"
)

// ExchangeSize returns the bytes of an exchange on the wire, without the
// headers of HTTP. It is safe for concurrent use.
func ExchangeSize(e gypsumrail.Exchange) int { return proto.Size(toExchange(e)) }
