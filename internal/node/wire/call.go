package wire

import (
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumrail/gypsumrail"
)

// Ranges of the numbers in call headers.
const (
	remainingMax   = 10 * gypsumrail.Minute
	investedMax    = 60 * gypsumrail.Minute
	allowanceMax   = 64
	hopMax         = 255 // the reducer refuses chains that are too deep with a reason of its own
	attemptMax     = 255
	homeAttemptMax = 256*attemptMax + 255
)

// Call is a parsed call.
type Call struct {
	Arrival   gypsumrail.Arrival
	AttemptID string              // FromPeer: identity of the attempt, echoed by the answer
	Sender    gypsumrail.Instance // FromPeer: the sending instance as it describes itself
	Token     string              // FromTarget: links to the call that the target is running
}

// ParseCall reads the headers of a call that arrived on the port of the given
// origin. Headers that the origin may not set are ignored. The error is a
// *FieldError that names the first missing or malformed field.
func ParseCall(origin gypsumrail.Origin, r *http.Request) (Call, error) {
	f := &fields{header: r.Header}
	fromTarget, fromPeer := origin == gypsumrail.FromTarget, origin == gypsumrail.FromPeer
	call := Call{Arrival: gypsumrail.Arrival{
		Origin:    origin,
		Service:   f.name(HeaderService, true),
		Class:     f.name(HeaderClass, !fromTarget),
		Tenant:    f.name(HeaderTenant, false),
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
		a.HomeAttempt = gypsumrail.HomeAttempt(f.number(HeaderHomeAttempt, 1, homeAttemptMax, 0, a.Key != ""))
		call.AttemptID = f.text(HeaderAttemptID, nameMax, true)
		if node := f.one(HeaderNode, true); f.err == nil {
			call.Sender, f.err = ParseNode(node)
			a.From = call.Sender.Name
		}
	}
	if f.err != nil {
		return Call{}, f.err
	}
	call.Arrival.Fingerprint = fingerprint(call.Arrival.Tenant, r.Method, r.URL.RequestURI())
	return call, nil
}

// fingerprint hashes what must be equal in a resend of one request.
func fingerprint(tenant, method, path string) uint64 {
	d := xxhash.New()
	for _, part := range [...]string{tenant, "\x00", method, "\x00", path} {
		_, _ = d.WriteString(part)
	}
	return d.Sum64()
}

// SetForward sets the headers of a call to another node. Values above the
// ranges of ParseCall are lowered to them.
func SetForward(h http.Header, call Call) {
	a := &call.Arrival
	set(h, HeaderService, a.Service)
	set(h, HeaderClass, a.Class)
	set(h, HeaderTenant, a.Tenant)
	set(h, HeaderRequest, a.Request)
	set(h, HeaderKey, a.Key)
	set(h, HeaderAttemptID, call.AttemptID)
	set(h, HeaderNode, FormatNode(call.Sender))
	setNumber(h, HeaderAttempt, int64(a.Attempt), 1, attemptMax)
	setNumber(h, HeaderRemaining, int64(a.Remaining), 1, int64(remainingMax))
	setNumber(h, HeaderImportance, int64(a.Importance), int64(gypsumrail.ImportanceMin), int64(gypsumrail.ImportanceMax))
	setNumber(h, HeaderAllowance, int64(a.Allowance), 0, allowanceMax)
	setNumber(h, HeaderInvested, int64(a.Invested), 0, int64(investedMax))
	setNumber(h, HeaderHop, int64(a.Hop), 0, hopMax)
	if a.Key != "" {
		setNumber(h, HeaderHomeAttempt, int64(a.HomeAttempt), 1, homeAttemptMax)
	}
}

// SetTarget sets the headers of a call to the node's own target.
func SetTarget(h http.Header, a gypsumrail.Arrival, remaining gypsumrail.Millis, token string) {
	set(h, HeaderService, a.Service)
	set(h, HeaderClass, a.Class)
	set(h, HeaderTenant, a.Tenant)
	set(h, HeaderRequest, a.Request)
	set(h, HeaderKey, a.Key)
	set(h, HeaderCall, token)
	setNumber(h, HeaderAttempt, int64(a.Attempt), 1, attemptMax)
	setNumber(h, HeaderRemaining, int64(remaining), 1, int64(remainingMax))
}

func set(h http.Header, name, value string) {
	h.Del(name)
	if value != "" {
		h.Set(name, value)
	}
}

func setNumber(h http.Header, name string, value, low, high int64) {
	h.Set(name, strconv.FormatInt(min(max(value, low), high), 10))
}
