package wire

import (
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumrail/gypsumrail"
)

// The largest numbers accepted in call headers.
const (
	remainingMax   = 10 * gypsumrail.Minute
	investedMax    = 60 * gypsumrail.Minute
	allowanceMax   = 64
	hopMax         = 255 // the reducer has a lower limit and rejects deeper call chains with ReasonTooDeep
	attemptMax     = 255
	homeAttemptMax = 256*attemptMax + 255 // see gypsumrail.HomeAttempt
)

// Call is a call as parsed from its headers and request line.
type Call struct {
	Arrival   gypsumrail.Arrival
	AttemptID string              // FromPeer: ID of the attempt, echoed in the answer
	Sender    gypsumrail.Instance // FromPeer: the sending instance, from HeaderNode
	Token     string              // FromTarget: token of the call that the target is running, from HeaderCall
}

// ParseCall parses the headers of a call that arrived on the port of the given
// origin. Headers that the origin may not set are ignored. The error is a
// *FieldError that names the first missing or malformed field.
func ParseCall(origin gypsumrail.Origin, r *http.Request) (Call, error) {
	f := &headerReader{header: r.Header}
	fromTarget, fromPeer := origin == gypsumrail.FromTarget, origin == gypsumrail.FromPeer
	call := Call{Arrival: gypsumrail.Arrival{
		Origin:    origin,
		Service:   f.name(HeaderService, true),
		Class:     f.name(HeaderClass, !fromTarget),
		Account:   f.name(HeaderAccount, false),
		Request:   f.text(HeaderRequest, requestMax, !fromTarget),
		Attempt:   int(f.number(HeaderAttempt, 1, attemptMax, 1, false)),
		Remaining: gypsumrail.Millis(f.number(HeaderRemaining, 1, int64(remainingMax), 0, fromPeer)),
		Key:       f.text(HeaderKey, keyMax, false),
	}}
	if fromTarget {
		call.Token = f.text(HeaderCall, nameMax, false)
	}
	if fromPeer {
		a := &call.Arrival
		a.Importance = gypsumrail.Importance(f.number(HeaderImportance, int64(gypsumrail.ImportanceMin), int64(gypsumrail.ImportanceMax), 0, true))
		a.Allowance = int(f.number(HeaderAllowance, 0, allowanceMax, 0, true))
		a.Invested = gypsumrail.Millis(f.number(HeaderInvested, 0, int64(investedMax), 0, true))
		a.Hop = int(f.number(HeaderHop, 0, hopMax, 0, true))
		a.RateLimit = f.rateLimit()
		a.HomeAttempt = gypsumrail.HomeAttempt(f.number(HeaderHomeAttempt, 1, homeAttemptMax, 0, a.Key != ""))
		call.AttemptID = f.text(HeaderAttemptID, nameMax, true)
		if node := f.single(HeaderNode, true); f.err == nil {
			call.Sender, f.err = ParseNode(node)
			a.From = call.Sender.Name
		}
	}
	if f.err != nil {
		return Call{}, f.err
	}
	call.Arrival.Fingerprint = fingerprint(call.Arrival.Account, r.Method, r.URL.RequestURI())
	return call, nil
}

// fingerprint hashes the parts of a request that must be equal in each resend
// of it.
func fingerprint(account, method, path string) uint64 {
	d := xxhash.New()
	for _, part := range [...]string{account, "\x00", method, "\x00", path} {
		_, _ = d.WriteString(part)
	}
	return d.Sum64()
}

// SetForward sets the Gypsumrail headers of a call to another node. Numbers
// outside the ranges of ParseCall are clamped to them.
func SetForward(h http.Header, call Call) {
	a := &call.Arrival
	setOrDelete(h, HeaderService, a.Service)
	setOrDelete(h, HeaderClass, a.Class)
	setOrDelete(h, HeaderAccount, a.Account)
	setOrDelete(h, HeaderRequest, a.Request)
	setOrDelete(h, HeaderKey, a.Key)
	setOrDelete(h, HeaderAttemptID, call.AttemptID)
	setOrDelete(h, HeaderNode, FormatNode(call.Sender))
	setNumber(h, HeaderAttempt, int64(a.Attempt), 1, attemptMax)
	setNumber(h, HeaderRemaining, int64(a.Remaining), 1, int64(remainingMax))
	setNumber(h, HeaderImportance, int64(a.Importance), int64(gypsumrail.ImportanceMin), int64(gypsumrail.ImportanceMax))
	setNumber(h, HeaderAllowance, int64(a.Allowance), 0, allowanceMax)
	setNumber(h, HeaderInvested, int64(a.Invested), 0, int64(investedMax))
	setNumber(h, HeaderHop, int64(a.Hop), 0, hopMax)
	h.Del(HeaderRateLimit)
	if a.RateLimit > 0 {
		h.Set(HeaderRateLimit, FormatRateLimit(a.RateLimit))
	}
	if a.Key != "" {
		setNumber(h, HeaderHomeAttempt, int64(a.HomeAttempt), 1, homeAttemptMax)
	}
}

// SetTarget sets the Gypsumrail headers of a call to the node's own target. The
// target sends the token back in HeaderCall with each call that it makes for
// this one.
func SetTarget(h http.Header, a gypsumrail.Arrival, remaining gypsumrail.Millis, token string) {
	setOrDelete(h, HeaderService, a.Service)
	setOrDelete(h, HeaderClass, a.Class)
	setOrDelete(h, HeaderAccount, a.Account)
	setOrDelete(h, HeaderRequest, a.Request)
	setOrDelete(h, HeaderKey, a.Key)
	setOrDelete(h, HeaderCall, token)
	setNumber(h, HeaderAttempt, int64(a.Attempt), 1, attemptMax)
	setNumber(h, HeaderRemaining, int64(remaining), 1, int64(remainingMax))
}

func setOrDelete(h http.Header, name, value string) {
	h.Del(name)
	if value != "" {
		h.Set(name, value)
	}
}

func setNumber(h http.Header, name string, value, low, high int64) {
	h.Set(name, strconv.FormatInt(min(max(value, low), high), 10))
}
