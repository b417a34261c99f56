package relay

import (
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

// readStated returns what a target states about itself in the head of an answer. An
// answer that broke off may have no head, so it counts only if it states something, and
// readStated returns nil otherwise. A malformed or negative rate limit is logged.
func (r *Relay) readStated(h *fasthttp.ResponseHeader, request string, broken bool) *gypsumrail.Stated {
	own := &r.settings.Headers
	stated := &gypsumrail.Stated{Leaving: string(h.Peek(own.Leaving)) == "1"}
	value := string(h.Peek(own.RateLimit))
	if value == "" {
		if broken && !stated.Leaving {
			return nil
		}
		return stated
	}
	stated.RateLimit, stated.RateLimited = wire.ParseRateLimit(value)
	if !stated.RateLimited {
		stated.Unreadable = true
		r.log.Put(NoticeRateLimitUnreadable, request, gypsumrail.ReasonNone, "RateLimit="+strconv.QuoteToASCII(value))
	}
	return stated
}
