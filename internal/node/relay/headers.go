package relay

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

// Headers are the names of the headers that clients and targets of a deployment use.
type Headers struct {
	Request   string // identity of the request; the answer echoes it
	Remaining string // milliseconds until the client's deadline
	Expect    string // name of the instance that must run the request
	NotRun    string // on an answer: the target did not run the request
	Origin    string // service of the machine where the user request began
	Proof     string // on an answer: a target made it; a success without it is rejected as incomplete
	RateLimit string // on an answer: calls a second that the target takes from all callers together, a decimal number
	Leaving   string // on an answer: "1" if the target is about to end
	Account   string // on a request to a target: the client account that it belongs to; removed from requests of clients
	Load      string // on an answer: load of the target, see wire.ParseStatedLoad
}

// Headers between nodes, besides wire.HeaderRateLimit and wire.HeaderHints.
const (
	headerCall   = "Gypsumrail-Call"   // on a request; see appendCall
	headerAnswer = "Gypsumrail-Answer" // on an answer; see appendAnswer
	headerUses   = "Gypsumrail-Uses"   // on an answer: services that the class was seen to call, separated by commas
	// On a request: crashes of targets that ran it; see wire.FormatCrashes.
	headerCrashes = "Gypsumrail-Crashes"
	headerFault   = "Gypsumrail-Fault"   // on an answer: faults of the target; see appendFault
	headerZone    = "Gypsumrail-Zone"    // on a request to another availability zone: the zone of the sender
	headerAccount = "Gypsumrail-Account" // on a request: client account and level of the user request; see appendAccount
	// On an answer: slowdown of the target's machine, if it is not as usual. It is no number of
	// headerAnswer, because nodes of the version before reject one with more numbers, and with it
	// the answer.
	headerSlowdown = "Gypsumrail-Slowdown"
)

// errHeader means that a header between nodes is missing or malformed.
var errHeader = errors.New("a header between nodes is missing or malformed")

// hopByHopHeaders are valid for one connection only and are not passed on.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", headerCall, headerAnswer, headerCrashes, headerAccount, headerFault, headerZone, headerSlowdown, headerUses, wire.HeaderHints, wire.HeaderRateLimit,
}

func appendHeader(dst []byte, name, value string) []byte {
	dst = append(dst, name...)
	dst = append(dst, ": "...)
	dst = append(dst, value...)
	return append(dst, '\r', '\n')
}

func appendNumber(dst []byte, name string, value int64) []byte {
	dst = append(dst, name...)
	dst = append(dst, ": "...)
	dst = strconv.AppendInt(dst, value, 10)
	return append(dst, '\r', '\n')
}

func appendStatusLine(dst []byte, status int) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(dst, ' ')
	dst = append(dst, http.StatusText(status)...)
	return append(dst, '\r', '\n')
}

// requestHead returns the request line and headers without the empty line. It
// removes hop-by-hop headers and those that the relay sets itself, so that a client
// cannot forge them.
func requestHead(h *fasthttp.RequestHeader, own *Headers, bodyLength int) []byte {
	dropConnectionHeaders(string(h.Peek("Connection")), h.Del)
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	h.Del(own.Remaining)
	h.Del(own.Expect)
	h.Del(own.Origin)
	h.SetNoDefaultContentType(true)
	if bodyLength > 0 || len(h.Peek("Content-Length")) > 0 {
		h.SetContentLength(bodyLength)
	}
	return withoutEmptyLine(h.AppendBytes(make([]byte, 0, 512)))
}

// answerHead returns the status line and headers of an answer without hop-by-hop
// headers and without the empty line.
func answerHead(h *fasthttp.ResponseHeader, bodyLength int, isHead bool) []byte {
	dropConnectionHeaders(string(h.Peek("Connection")), h.Del)
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	h.SetNoDefaultContentType(true)
	if !isHead {
		h.SetContentLength(bodyLength)
	}
	return withoutEmptyLine(h.AppendBytes(make([]byte, 0, 512)))
}

// dropConnectionHeaders deletes the headers that a Connection header lists.
func dropConnectionHeaders(connection string, del func(string)) {
	if connection == "" || strings.EqualFold(connection, "keep-alive") || strings.EqualFold(connection, "close") {
		return
	}
	for name := range strings.SplitSeq(connection, ",") {
		del(strings.TrimSpace(name))
	}
}

func withoutEmptyLine(head []byte) []byte { return head[:len(head)-len("\r\n")] }

// appendCall appends the Gypsumrail-Call header of an attempt. Its fields are
// separated by spaces, in this order: class, service, instance, origin, identity of
// the user request, remaining milliseconds, importance, retry allowance, invested
// milliseconds, hop, whether the call is exempt from the receiver's threshold,
// revisions of records and instances in force at the sender.
func appendCall(dst []byte, c *call, e *gypsumrail.Effect, remaining gypsumrail.Millis, ours revisions) []byte {
	dst = append(dst, headerCall+": "...)
	for _, name := range [...]string{c.arrival.Class, c.arrival.Service, e.To.Name, c.origin, c.arrival.Request} {
		dst = append(dst, url.QueryEscape(name)...)
		dst = append(dst, ' ')
	}
	for _, n := range [...]int64{
		int64(remaining), int64(e.Importance), int64(e.Allowance), int64(e.Invested), int64(c.arrival.Hop), boolNumber(e.Kept), int64(ours.records), int64(ours.instances),
	} {
		dst = strconv.AppendInt(dst, n, 10)
		dst = append(dst, ' ')
	}
	dst[len(dst)-1] = '\r'
	dst = append(dst, '\n')
	if len(e.Crashes) > 0 {
		dst = appendHeader(dst, headerCrashes, wire.FormatCrashes(e.Crashes))
	}
	return appendRateLimit(appendAccount(dst, c.arrival.Account, e.Level), e.RateLimit)
}

// appendAccount appends the header with the client account, escaped, and the level of a
// user request. It is left out if there is no account and the level follows from the
// importance and the request, which the level 0 stands for.
func appendAccount(dst []byte, account string, level gypsumrail.Level) []byte {
	if account == "" && level == 0 {
		return dst
	}
	return appendHeader(dst, headerAccount, url.QueryEscape(account)+" "+strconv.Itoa(int(level)))
}

// parseAccount reads the header of appendAccount. Errors wrap errHeader.
func parseAccount(value []byte) (string, gypsumrail.Level, error) {
	if len(value) == 0 {
		return "", 0, nil
	}
	var parts [2]string
	if err := splitFields(string(value), parts[:]); err != nil {
		return "", 0, err
	}
	account, err := url.QueryUnescape(parts[0])
	if err != nil {
		return "", 0, fmt.Errorf("%w: %w", errHeader, err)
	}
	level, err := strconv.Atoi(parts[1])
	if err != nil || level < 0 || gypsumrail.Level(level) >= gypsumrail.LevelMax {
		return "", 0, fmt.Errorf("%w: level %q", errHeader, parts[1])
	}
	return account, gypsumrail.Level(level), nil
}

// appendRateLimit appends the header with the rate limit of a target, if it has one.
func appendRateLimit(dst []byte, limit float64) []byte {
	if limit == 0 {
		return dst
	}
	return appendHeader(dst, wire.HeaderRateLimit, wire.FormatRateLimit(limit))
}

// parseRateLimit reads the header of appendRateLimit.
func parseRateLimit(value []byte) (float64, error) {
	if len(value) == 0 {
		return 0, nil
	}
	limit, ok := wire.ParseRateLimit(string(value))
	if !ok {
		return 0, errHeader
	}
	return limit, nil
}

// Fields of the two headers. The first 5 of a call are names, and the first 3 of an
// answer are texts; numbers follow.
const (
	callFields   = 13
	answerFields = 15
)

// parseCall reads the header of appendCall into c and returns the sender's
// revisions. Errors wrap errHeader; c may then be filled in part.
func parseCall(value string, c *call) (revisions, error) {
	var parts [callFields]string
	if err := splitFields(value, parts[:]); err != nil {
		return revisions{}, err
	}
	for i, to := range [...]*string{&c.arrival.Class, &c.arrival.Service, &c.expectedTarget, &c.origin, &c.arrival.Request} {
		name, err := url.QueryUnescape(parts[i])
		if err != nil {
			return revisions{}, fmt.Errorf("%w: %w", errHeader, err)
		}
		*to = name
	}
	var n [callFields - 5]int64
	if err := parseNumbers(parts[5:], n[:]); err != nil {
		return revisions{}, err
	}
	a := &c.arrival
	a.Remaining, a.Importance, a.Allowance = gypsumrail.Millis(n[0]), gypsumrail.Importance(n[1]), int(n[2])
	a.Invested, a.Hop, a.Kept = gypsumrail.Millis(n[3]), int(n[4]), n[5] == 1
	return revisions{gypsumrail.Revision(n[6]), gypsumrail.Revision(n[7])}, nil
}

// appendAnswer appends the Gypsumrail-Answer header. Its fields are separated by
// spaces, in this order: outcome, reason or "-", instance of the report, retry-after
// milliseconds, retry allowance left, revisions of records and instances in force,
// then the numbers of the report. Hints and used services, if any, follow in headers
// of their own.
func appendAnswer(dst []byte, result *gypsumrail.Result, ours revisions) []byte {
	dst = append(dst, headerAnswer+": "...)
	dst = append(dst, result.Outcome...)
	dst = append(dst, ' ')
	if result.Reason == gypsumrail.ReasonNone {
		dst = append(dst, '-')
	}
	dst = append(dst, result.Reason...)
	dst = append(dst, ' ')
	report := result.Report
	if report == nil {
		report = &gypsumrail.Report{}
	}
	dst = append(dst, url.QueryEscape(report.Instance)...)
	dst = append(dst, ' ')
	for _, n := range [...]int64{
		int64(result.RetryAfter), int64(result.AllowanceLeft), int64(ours.records), int64(ours.instances),
		int64(report.Incarnation), int64(report.Sequence), int64(report.Limit), int64(report.InFlight), int64(report.Queued),
		int64(report.Threshold), int64(report.Epoch), boolNumber(report.Leaving),
	} {
		dst = strconv.AppendInt(dst, n, 10)
		dst = append(dst, ' ')
	}
	dst[len(dst)-1] = '\r'
	dst = append(dst, '\n')
	dst = appendRateLimit(dst, report.RateLimit)
	dst = appendFault(dst, result.TargetFault, report.FaultShare)
	if report.Slowdown > 0 {
		dst = appendHeader(dst, headerSlowdown, wire.FormatSlowdown(report.Slowdown))
	}
	if len(result.Hints) > 0 {
		dst = appendHeader(dst, wire.HeaderHints, wire.FormatHints(result.Hints))
	}
	if len(result.Uses) > 0 {
		dst = appendHeader(dst, headerUses, strings.Join(result.Uses, ","))
	}
	return dst
}

// parseAnswer reads the headers of appendAnswer and deletes those for hints and used
// services. It returns the revisions of the node that answered. Errors wrap
// errHeader.
func parseAnswer(h *fasthttp.ResponseHeader) (gypsumrail.Result, revisions, error) {
	var parts [answerFields]string
	if err := splitFields(string(h.Peek(headerAnswer)), parts[:]); err != nil {
		return gypsumrail.Result{}, revisions{}, err
	}
	result := gypsumrail.Result{Outcome: gypsumrail.Outcome(parts[0]), Status: h.StatusCode()}
	if !wire.ValidOutcome(result.Outcome) {
		return gypsumrail.Result{}, revisions{}, errHeader
	}
	if parts[1] != "-" {
		result.Reason = gypsumrail.Reason(parts[1])
	}
	name, err := url.QueryUnescape(parts[2])
	if err != nil {
		return gypsumrail.Result{}, revisions{}, fmt.Errorf("%w: %w", errHeader, err)
	}
	var n [answerFields - 3]int64
	if err := parseNumbers(parts[3:], n[:]); err != nil {
		return gypsumrail.Result{}, revisions{}, err
	}
	result.RetryAfter, result.AllowanceLeft = gypsumrail.Millis(n[0]), int(n[1])
	limit, err := parseRateLimit(h.Peek(wire.HeaderRateLimit))
	if err != nil {
		return gypsumrail.Result{}, revisions{}, err
	}
	fault, share, err := parseFault(h.Peek(headerFault))
	if err != nil {
		return gypsumrail.Result{}, revisions{}, err
	}
	result.TargetFault = fault
	if name != "" {
		result.Report = &gypsumrail.Report{
			Instance: name, Incarnation: gypsumrail.Incarnation(n[4]), Sequence: uint64(n[5]), Limit: int(n[6]),
			InFlight: int(n[7]), Queued: int(n[8]), Threshold: gypsumrail.Level(n[9]), Epoch: uint32(n[10]), Leaving: n[11] == 1, RateLimit: limit, FaultShare: share,
		}
		// A malformed one does not invalidate the answer; the machine then counts as usual.
		result.Report.Slowdown, _ = wire.ParseSlowdown(string(h.Peek(headerSlowdown)))
	}
	if hints := h.Peek(wire.HeaderHints); len(hints) > 0 {
		if result.Hints, err = wire.ParseHints(string(hints)); err != nil {
			return gypsumrail.Result{}, revisions{}, fmt.Errorf("%w: %w", errHeader, err)
		}
		h.Del(wire.HeaderHints)
	}
	if uses := h.Peek(headerUses); len(uses) > 0 {
		result.Uses = strings.Split(string(uses), ",")
		h.Del(headerUses)
	}
	return result, revisions{gypsumrail.Revision(n[2]), gypsumrail.Revision(n[3])}, nil
}

// appendFault appends the header with the faults of a target: 1 if the answer is one, else
// 0, and the share of its runs that are, in a thousand. It is left out if there are none.
func appendFault(dst []byte, fault bool, share float64) []byte {
	permille := int64(math.Round(share * 1000))
	if !fault && permille == 0 {
		return dst
	}
	return appendHeader(dst, headerFault, strconv.FormatInt(boolNumber(fault), 10)+" "+strconv.FormatInt(permille, 10))
}

// parseFault reads the header of appendFault. Errors wrap errHeader.
func parseFault(value []byte) (fault bool, share float64, err error) {
	if len(value) == 0 {
		return false, 0, nil
	}
	var parts [2]string
	var n [2]int64
	if err := splitFields(string(value), parts[:]); err != nil {
		return false, 0, err
	}
	if err := parseNumbers(parts[:], n[:]); err != nil || n[0] > 1 || n[1] > 1000 {
		return false, 0, errHeader
	}
	return n[0] == 1, float64(n[1]) / 1000, nil
}

// boolNumber returns 1 for true and 0 for false.
func boolNumber(on bool) int64 {
	if on {
		return 1
	}
	return 0
}

// splitFields splits a header value at spaces into exactly len(into) fields.
func splitFields(value string, into []string) error {
	for i := range into {
		field, rest, more := strings.Cut(value, " ")
		if more == (i == len(into)-1) {
			return errHeader
		}
		into[i], value = field, rest
	}
	return nil
}

// parseNumbers reads non-negative decimal integers.
func parseNumbers(fields []string, into []int64) error {
	for i, field := range fields {
		n, err := strconv.ParseInt(field, 10, 64)
		if err != nil || n < 0 {
			return errHeader
		}
		into[i] = n
	}
	return nil
}
