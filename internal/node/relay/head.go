package relay

import (
	"errors"
	"fmt"
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
	Request   string // identity of the request, echoed by its answer
	Remaining string // milliseconds that the client waits
	Expect    string // identity of the target that is to run the request
	NotRun    string // on an answer: the target did not run the request
	Origin    string // service of the machine where the request began
	Proof     string // on an answer: made by a target; a success without it is not whole
}

// Headers between nodes, one for each direction.
const (
	headerCall   = "Gypsumrail-Call"
	headerAnswer = "Gypsumrail-Answer"
	headerUses   = "Gypsumrail-Uses" // services that the class was seen to use, separated by commas
)

// errHeader means that a header between nodes is missing or malformed.
var errHeader = errors.New("malformed header")

// hopHeaders belong to one connection.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", headerCall, headerAnswer,
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

// requestHead returns the head of a request without the headers of its
// connection, those that the relay sets itself, and the empty line.
func requestHead(h *fasthttp.RequestHeader, own *Headers, bodyLength int) []byte {
	dropListed(string(h.Peek("Connection")), h.Del)
	for _, name := range hopHeaders {
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

// answerHead does the same for an answer.
func answerHead(h *fasthttp.ResponseHeader, bodyLength int, isHead bool) []byte {
	dropListed(string(h.Peek("Connection")), h.Del)
	for _, name := range hopHeaders {
		h.Del(name)
	}
	h.SetNoDefaultContentType(true)
	if !isHead {
		h.SetContentLength(bodyLength)
	}
	return withoutEmptyLine(h.AppendBytes(make([]byte, 0, 512)))
}

// dropListed removes the headers that a Connection header names.
func dropListed(connection string, del func(string)) {
	if connection == "" || strings.EqualFold(connection, "keep-alive") || strings.EqualFold(connection, "close") {
		return
	}
	for name := range strings.SplitSeq(connection, ",") {
		del(strings.TrimSpace(name))
	}
}

func withoutEmptyLine(head []byte) []byte { return head[:len(head)-len("\r\n")] }

// appendCall writes what the receiving node must know of a call. The fields are
// separated by spaces and stand in this order: class, service, instance, origin,
// identity of the user request, remaining time, importance, allowance, invested time, hop, whether it is kept, revisions in force.
func appendCall(dst []byte, c *call, e *gypsumrail.Effect, remaining gypsumrail.Millis, ours stamp) []byte {
	dst = append(dst, headerCall+": "...)
	for _, name := range [...]string{c.arrival.Class, c.arrival.Service, e.To.Name, c.origin, c.arrival.Request} {
		dst = append(dst, url.QueryEscape(name)...)
		dst = append(dst, ' ')
	}
	for _, n := range [...]int64{
		int64(remaining), int64(e.Importance), int64(e.Allowance), int64(e.Invested), int64(c.arrival.Hop), flag(e.Kept), int64(ours.records), int64(ours.instances),
	} {
		dst = strconv.AppendInt(dst, n, 10)
		dst = append(dst, ' ')
	}
	dst[len(dst)-1] = '\r'
	return append(dst, '\n')
}

const (
	callFields   = 13
	answerFields = 15
)

// parseCall reads what appendCall wrote.
func parseCall(value string, c *call) (stamp, error) {
	var parts [callFields]string
	if err := cut(value, parts[:]); err != nil {
		return stamp{}, err
	}
	for i, to := range [...]*string{&c.arrival.Class, &c.arrival.Service, &c.expect, &c.origin, &c.arrival.Request} {
		name, err := url.QueryUnescape(parts[i])
		if err != nil {
			return stamp{}, fmt.Errorf("%w: %w", errHeader, err)
		}
		*to = name
	}
	var n [callFields - 5]int64
	if err := numbers(parts[5:], n[:]); err != nil {
		return stamp{}, err
	}
	a := &c.arrival
	a.Remaining, a.Importance, a.Allowance = gypsumrail.Millis(n[0]), gypsumrail.Importance(n[1]), int(n[2])
	a.Invested, a.Hop, a.Kept = gypsumrail.Millis(n[3]), int(n[4]), n[5] == 1
	return stamp{gypsumrail.Revision(n[6]), gypsumrail.Revision(n[7])}, nil
}

// appendAnswer writes what the sending node must know of an answer: outcome,
// reason, time to come back, allowance left, revisions in force, then the report.
// Hints follow in a header of their own.
func appendAnswer(dst []byte, result *gypsumrail.Result, ours stamp) []byte {
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
		int64(report.Threshold), int64(report.Epoch), flag(report.Leaving),
	} {
		dst = strconv.AppendInt(dst, n, 10)
		dst = append(dst, ' ')
	}
	dst[len(dst)-1] = '\r'
	dst = append(dst, '\n')
	if len(result.Hints) > 0 {
		dst = appendHeader(dst, wire.HeaderHints, wire.FormatHints(result.Hints))
	}
	if len(result.Uses) > 0 {
		dst = appendHeader(dst, headerUses, strings.Join(result.Uses, ","))
	}
	return dst
}

// parseAnswer reads what appendAnswer wrote.
func parseAnswer(h *fasthttp.ResponseHeader) (gypsumrail.Result, stamp, error) {
	var parts [answerFields]string
	if err := cut(string(h.Peek(headerAnswer)), parts[:]); err != nil {
		return gypsumrail.Result{}, stamp{}, err
	}
	result := gypsumrail.Result{Outcome: gypsumrail.Outcome(parts[0]), Status: h.StatusCode()}
	if !wire.ValidOutcome(result.Outcome) {
		return gypsumrail.Result{}, stamp{}, errHeader
	}
	if parts[1] != "-" {
		result.Reason = gypsumrail.Reason(parts[1])
	}
	name, err := url.QueryUnescape(parts[2])
	if err != nil {
		return gypsumrail.Result{}, stamp{}, fmt.Errorf("%w: %w", errHeader, err)
	}
	var n [answerFields - 3]int64
	if err := numbers(parts[3:], n[:]); err != nil {
		return gypsumrail.Result{}, stamp{}, err
	}
	result.RetryAfter, result.AllowanceLeft = gypsumrail.Millis(n[0]), int(n[1])
	if name != "" {
		result.Report = &gypsumrail.Report{
			Instance: name, Incarnation: gypsumrail.Incarnation(n[4]), Sequence: uint64(n[5]), Limit: int(n[6]),
			InFlight: int(n[7]), Queued: int(n[8]), Threshold: gypsumrail.Level(n[9]), Epoch: uint32(n[10]), Leaving: n[11] == 1,
		}
	}
	if hints := h.Peek(wire.HeaderHints); len(hints) > 0 {
		if result.Hints, err = wire.ParseHints(string(hints)); err != nil {
			return gypsumrail.Result{}, stamp{}, fmt.Errorf("%w: %w", errHeader, err)
		}
		h.Del(wire.HeaderHints)
	}
	if uses := h.Peek(headerUses); len(uses) > 0 {
		result.Uses = strings.Split(string(uses), ",")
		h.Del(headerUses)
	}
	return result, stamp{gypsumrail.Revision(n[2]), gypsumrail.Revision(n[3])}, nil
}

func flag(on bool) int64 {
	if on {
		return 1
	}
	return 0
}

// cut splits a header into exactly as many fields as there is room for.
func cut(value string, into []string) error {
	for i := range into {
		field, rest, more := strings.Cut(value, " ")
		if more == (i == len(into)-1) {
			return errHeader
		}
		into[i], value = field, rest
	}
	return nil
}

// numbers reads whole numbers that are not negative.
func numbers(fields []string, into []int64) error {
	for i, field := range fields {
		n, err := strconv.ParseInt(field, 10, 64)
		if err != nil || n < 0 {
			return errHeader
		}
		into[i] = n
	}
	return nil
}
