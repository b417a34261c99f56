package relay

import (
	"errors"
	"math"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/gypsumrail/gypsumrail"
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
	limit, err := strconv.ParseFloat(value, 64) // beyond the range of numbers it is infinite
	if errors.Is(err, strconv.ErrSyntax) || math.IsNaN(limit) || limit < 0 {
		stated.Unreadable = true
		r.log.Put(NoticeRateLimitUnreadable, request, gypsumrail.ReasonNone, "RateLimit="+strconv.QuoteToASCII(value))
		return stated
	}
	stated.RateLimited, stated.RateLimit = true, min(limit, math.MaxFloat64)
	return stated
}
