// Package wire converts calls, answers and instance lists between their form in
// HTTP messages and the types of the root package.
//
// It checks the sizes and ranges of all values that reach a node in HTTP
// headers or in an instance list, so that the reducer never gets a value
// outside them.
package wire

import (
	"net/http"
	"strings"
)

// Headers that callers and targets may set.
const (
	HeaderService   = "Gypsumrail-Service"
	HeaderClass     = "Gypsumrail-Class"
	HeaderAccount   = "Gypsumrail-Tenant"
	HeaderRemaining = "Gypsumrail-Remaining" // time until the deadline in milliseconds
	HeaderAttempt   = "Gypsumrail-Attempt"
	HeaderRequest   = "X-Request-Id"
	HeaderKey       = "Idempotency-Key"
	// HeaderRateLimit is set by a target in its answers, and by nodes: the calls a second
	// that the target takes from all callers together, a decimal number of at least 0.
	HeaderRateLimit = "Gypsumrail-Rate-Limit"
	HeaderCall      = "Gypsumrail-Call" // token that links a target's outgoing call to the call that it is running
)

// Headers that only nodes set. A node ignores them in messages of callers and
// targets.
const (
	HeaderImportance    = "Gypsumrail-Importance"
	HeaderAllowance     = "Gypsumrail-Allowance" // retries granted for this call and all below it
	HeaderInvested      = "Gypsumrail-Invested"  // time spent on the user request so far, in milliseconds
	HeaderAttemptID     = "Gypsumrail-Attempt-Id"
	HeaderHomeAttempt   = "Gypsumrail-Home-Attempt"
	HeaderHop           = "Gypsumrail-Hop"  // number of calls above this one in the chain
	HeaderNode          = "Gypsumrail-Node" // the sending instance, see FormatNode
	HeaderOutcome       = "Gypsumrail-Outcome"
	HeaderReason        = "Gypsumrail-Reason"
	HeaderAllowanceLeft = "Gypsumrail-Allowance-Left"
	HeaderReport        = "Gypsumrail-Report" // load report of the answering node, a list of Name=value
	HeaderHints         = "Gypsumrail-Hints"  // thresholds of services further down the chain, a list of service:threshold:age with the age in milliseconds
)

// HeaderLoad is the load report in a target's answer: the number of busy slots
// and of all slots, such as "12/40".
const HeaderLoad = "Gypsumrail-Load"

// Limits of messages between callers, nodes and targets.
const (
	HeaderBytesMax = 16 << 10 // bytes of all headers
	BodyBytesMax   = 8 << 20  // bytes of the body
	HintsMax       = 32       // hints in one answer
	TicketsMax     = 64       // tickets (idempotency keys) in one request for them
)

const headerPrefix = "Gypsumrail-"

// hopHeaders apply to one connection only and are not forwarded (RFC 9110,
// section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// CopyEndToEnd copies the end-to-end headers of a request or answer from src to
// dst. It leaves out hop-by-hop headers and all Gypsumrail headers, so that
// neither a caller nor a target can set a header that nodes trust.
func CopyEndToEnd(dst, src http.Header) {
	skip := make(map[string]bool)
	for _, line := range src["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			skip[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for _, name := range hopHeaders {
		skip[name] = true
	}
	for name, values := range src {
		canonical := http.CanonicalHeaderKey(name)
		if skip[canonical] || strings.HasPrefix(canonical, headerPrefix) {
			continue
		}
		dst[canonical] = append(dst[canonical][:0:0], values...)
	}
}
