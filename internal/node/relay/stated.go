package relay

import (
	"strconv"
	"time"

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

// unreadableLoadInterval is the least time between two log events about a malformed load.
// Each answer states the load, so a target with a fault would fill the log.
const unreadableLoadInterval = time.Minute

// readLoad adds the load that a target states in the head of an answer to stated, which
// may be nil, and returns the result. A malformed load changes nothing and is logged.
func (r *Relay) readLoad(h *fasthttp.ResponseHeader, stated *gypsumrail.Stated, request string) *gypsumrail.Stated {
	if r.settings.Headers.Load == "" {
		return stated
	}
	value := h.Peek(r.settings.Headers.Load)
	if len(value) == 0 {
		return stated
	}
	load := gypsumrail.Stated{}
	if stated != nil {
		load = *stated
	}
	if !wire.ParseStatedLoad(string(value), &load) {
		r.logUnreadableLoad(string(value), request)
		return stated
	}
	return &load
}

// logUnreadableLoad logs a malformed load, at most once in unreadableLoadInterval.
func (r *Relay) logUnreadableLoad(value, request string) {
	now := time.Now().UnixNano()
	last := r.loadLoggedAt.Load()
	if last != 0 && now-last < int64(unreadableLoadInterval) || !r.loadLoggedAt.CompareAndSwap(last, now) {
		return
	}
	const valueMax = 64 // bytes of the value that are logged
	r.log.Put(NoticeLoadUnreadable, request, gypsumrail.ReasonNone, "Load="+strconv.QuoteToASCII(value[:min(len(value), valueMax)]))
}
