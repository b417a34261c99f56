package wire

import (
	"math"
	"net/http"
	"strconv"

	"github.com/gypsumrail/gypsumrail"
)

// rateLimitMax bounds the rate limits that are accepted, in calls a second. No target
// reaches it, so a higher one has the same effect.
const rateLimitMax = 1e9

// ParseRateLimit parses a rate limit in calls a second: a decimal number of at least 0.
// It returns false if it is malformed or negative.
func ParseRateLimit(value string) (float64, bool) {
	limit, err := strconv.ParseFloat(value, 64)
	if err != nil && !math.IsInf(limit, 1) || math.IsNaN(limit) || limit < 0 {
		return 0, false
	}
	return min(limit, rateLimitMax), true
}

// ReadStated returns what a target states about itself in the headers of an answer.
func ReadStated(h http.Header) *gypsumrail.Stated {
	stated := &gypsumrail.Stated{}
	if value := h.Get(HeaderRateLimit); value != "" {
		stated.RateLimit, stated.RateLimited = ParseRateLimit(value)
		stated.Unreadable = !stated.RateLimited
	}
	return stated
}

// FormatRateLimit returns the text of a rate limit for ParseRateLimit to read.
func FormatRateLimit(limit float64) string { return strconv.FormatFloat(limit, 'g', -1, 64) }
