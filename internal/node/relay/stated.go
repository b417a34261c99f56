package relay

import (
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

// readStated returns what a target states about itself in the head of an answer. An
// answer that broke off may have no head, so it counts only if it states something, and
// readStated returns nil otherwise.
func (r *Relay) readStated(h *fasthttp.ResponseHeader, broken bool) *gypsumrail.Stated {
	own := &r.settings.Headers
	stated := &gypsumrail.Stated{Leaving: string(h.Peek(own.Leaving)) == "1"}
	value := string(h.Peek(own.RateLimit))
	switch {
	case value != "":
		stated.RateLimit, stated.RateLimited = wire.ParseRateLimit(value)
		stated.Unreadable = !stated.RateLimited
	case broken && !stated.Leaving:
		return nil
	}
	return stated
}

// logUnreadable logs the malformed rate limit in an answer to a request.
func (r *Relay) logUnreadable(h *fasthttp.ResponseHeader, request string) {
	value := string(h.Peek(r.settings.Headers.RateLimit))
	r.log.Put(NoticeRateLimitUnreadable, request, gypsumrail.ReasonNone, "RateLimit="+strconv.QuoteToASCII(value))
}
