package peer

import (
	"google.golang.org/protobuf/proto"

	"github.com/gypsumrail/gypsumrail"
)

// ExchangeSize returns the encoded size in bytes of an exchange, without HTTP
// headers. It is safe for concurrent use.
func ExchangeSize(e gypsumrail.Exchange) int { return proto.Size(toExchange(e)) }
