// Package wire translates calls and answers between HTTP headers and the plain
// data of the root package.
//
// Everything that reaches a node from outside passes through it, so sizes and
// ranges are checked here once and the reducer never sees a value outside them.
package wire

import (
	"net/http"
	"strings"
)

// Headers that callers and targets may set.
const (
	HeaderService   = "Gypsumrail-Service"
	HeaderClass     = "Gypsumrail-Class"
	HeaderTenant    = "Gypsumrail-Tenant"
	HeaderRemaining = "Gypsumrail-Remaining" // milliseconds
	HeaderAttempt   = "Gypsumrail-Attempt"
	HeaderRequest   = "X-Request-Id"
	HeaderKey       = "Idempotency-Key"
	HeaderCall      = "Gypsumrail-Call" // links a target's outgoing call to the call that it is running
)

// Headers that only nodes set. They are dropped on every other port.
const (
	HeaderImportance    = "Gypsumrail-Importance"
	HeaderAllowance     = "Gypsumrail-Allowance"
	HeaderInvested      = "Gypsumrail-Invested"
	HeaderAttemptID     = "Gypsumrail-Attempt-Id"
	HeaderHomeAttempt   = "Gypsumrail-Home-Attempt"
	HeaderHop           = "Gypsumrail-Hop"
	HeaderNode          = "Gypsumrail-Node"
	HeaderOutcome       = "Gypsumrail-Outcome"
	HeaderReason        = "Gypsumrail-Reason"
	HeaderAllowanceLeft = "Gypsumrail-Allowance-Left"
	HeaderReport        = "Gypsumrail-Report"
	HeaderHints         = "Gypsumrail-Hints"
)

// HeaderLoad is the load report on a target's answer: busy and total slots, as in "12/40".
const HeaderLoad = "Gypsumrail-Load"

// Limits of messages between callers, nodes and targets.
const (
	HeaderBytesMax = 16 << 10
	BodyBytesMax   = 8 << 20
	HintsMax       = 32
	TicketsMax     = 64
)

const headerPrefix = "Gypsumrail-"

// hopHeaders belong to one connection (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// CopyEndToEnd copies the headers that belong to the request or answer itself
// from src to dst. Headers of this connection and all of gypsumrail's are left
// out, so neither a caller nor a target can set a header that nodes trust.
func CopyEndToEnd(dst, src http.Header) {
	listed := make(map[string]bool)
	for _, line := range src["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			listed[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for _, name := range hopHeaders {
		listed[name] = true
	}
	for name, values := range src {
		canonical := http.CanonicalHeaderKey(name)
		if listed[canonical] || strings.HasPrefix(canonical, headerPrefix) {
			continue
		}
		dst[canonical] = append(dst[canonical][:0:0], values...)
	}
}
