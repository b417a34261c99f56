package wire

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/gypsumrail/gypsumrail"
)

// Reasons for which a node rejects a message before it reaches the reducer.
const (
	ReasonMalformed      gypsumrail.Reason = "Malformed"      // a field is missing or malformed
	ReasonHeadersTooLong gypsumrail.Reason = "HeadersTooLong" // more than HeaderBytesMax of headers
	ReasonBodyTooLong    gypsumrail.Reason = "BodyTooLong"    // more than BodyBytesMax of body
	ReasonBusy           gypsumrail.Reason = "Busy"           // the node has reached its limit of concurrent calls
)

// problemKind is the HTTP status and the title of the problems of one reason.
type problemKind struct {
	status int
	title  string
}

// reasons is the only place that maps a reason to a status. 503 and 429 mean
// that the client may retry later, 409 and 428 that it has to change the
// request first, and 502 and 504 that something behind the node failed.
var reasons = map[gypsumrail.Reason]problemKind{
	ReasonMalformed:               {http.StatusBadRequest, "A field is missing or malformed"},
	ReasonHeadersTooLong:          {http.StatusRequestHeaderFieldsTooLarge, "The headers are too long"},
	ReasonBodyTooLong:             {http.StatusRequestEntityTooLarge, "The body is too long"},
	ReasonBusy:                    {http.StatusServiceUnavailable, "The node holds as many calls as it may"},
	gypsumrail.ReasonOverload:     {http.StatusServiceUnavailable, "The service is overloaded"},
	gypsumrail.ReasonShed:         {http.StatusTooManyRequests, "Requests of this priority are not accepted now"},
	gypsumrail.ReasonDeadline:     {http.StatusGatewayTimeout, "The request cannot finish in its remaining time"},
	gypsumrail.ReasonDraining:     {http.StatusServiceUnavailable, "The instance is leaving"},
	gypsumrail.ReasonNoUpstream:   {http.StatusServiceUnavailable, "No instance can serve the request"},
	gypsumrail.ReasonNoAllowance:  {http.StatusServiceUnavailable, "The retry budget is used up"},
	gypsumrail.ReasonUnknownName:  {http.StatusBadRequest, "The service or class is unknown"},
	gypsumrail.ReasonKeyRequired:  {http.StatusPreconditionRequired, "The request needs an idempotency key issued by a node"},
	gypsumrail.ReasonKeyExpired:   {http.StatusConflict, "The idempotency key has expired"},
	gypsumrail.ReasonKeyRefused:   {http.StatusConflict, "This attempt of the idempotency key was refused before"},
	gypsumrail.ReasonKeyInUse:     {http.StatusConflict, "The request of this idempotency key is still running"},
	gypsumrail.ReasonKeyDone:      {http.StatusConflict, "The request of this idempotency key ran"},
	gypsumrail.ReasonHomeGone:     {http.StatusBadGateway, "The instance of the idempotency key cannot be reached"},
	gypsumrail.ReasonTargetFailed: {http.StatusBadGateway, "The target failed"},
	gypsumrail.ReasonSilent:       {http.StatusGatewayTimeout, "The connection stopped carrying data"},
	gypsumrail.ReasonBroken:       {http.StatusBadGateway, "The connection broke before a whole answer"},
	gypsumrail.ReasonCrashed:      {http.StatusBadGateway, "The target ended while it ran the request"},
	gypsumrail.ReasonQuarantined:  {http.StatusServiceUnavailable, "Requests with the same content crashed several targets"},
	gypsumrail.ReasonSuspected:    {http.StatusServiceUnavailable, "A target crashed while it ran such a request, and other such requests are tried first"},
	gypsumrail.ReasonConnect:      {http.StatusBadGateway, "No connection could be opened"},
	gypsumrail.ReasonCallerGone:   {http.StatusServiceUnavailable, "The caller left"},
	gypsumrail.ReasonSuperseded:   {http.StatusConflict, "A resend of the same request took over"},
	gypsumrail.ReasonTooDeep:      {http.StatusBadRequest, "The call chain is too deep"},
	gypsumrail.ReasonTargetBusy:   {http.StatusServiceUnavailable, "The target refused the request without running it"},
	gypsumrail.ReasonMisdirected:  {http.StatusServiceUnavailable, "Another instance has the address"},
	gypsumrail.ReasonTimeout:      {http.StatusGatewayTimeout, "The longest wait of the class is over"},
	gypsumrail.ReasonOverLimit:    {http.StatusTooManyRequests, "The client account has used up its rate limit"},
	gypsumrail.ReasonNoGrant:      {http.StatusServiceUnavailable, "The node cannot tell whether the client account is within its rate limit"},
	gypsumrail.ReasonInvalidClass: {http.StatusServiceUnavailable, "The definition of the class is not usable"},
}

// StatusOf returns the HTTP status for a reason. For an unknown reason, which a
// newer node may send, it returns 503.
func StatusOf(reason gypsumrail.Reason) int {
	if kind, ok := reasons[reason]; ok {
		return kind.status
	}
	return http.StatusServiceUnavailable
}

// ProblemType is the media type of problem bodies (RFC 9457).
const ProblemType = "application/problem+json"

// Problem describes a rejected or failed request. WriteProblem sends it as a
// problem document.
type Problem struct {
	Outcome    gypsumrail.Outcome
	Reason     gypsumrail.Reason
	Detail     string
	Request    string   // ID of the user request; empty if unknown
	Keys       []string // idempotency keys issued with the problem, if any
	RetryAfter gypsumrail.Millis
}

type problemBody struct {
	Type     string             `json:"type"`
	Title    string             `json:"title"`
	Status   int                `json:"status"`
	Detail   string             `json:"detail,omitempty"`
	Instance string             `json:"instance,omitempty"`
	Outcome  gypsumrail.Outcome `json:"Outcome"`
	Reason   gypsumrail.Reason  `json:"Reason"`
	Keys     []string           `json:"Keys,omitempty"`
}

// ProblemOf returns the problem for a message that is rejected with the given
// error before it reaches the reducer.
func ProblemOf(err error) Problem {
	problem := Problem{Outcome: gypsumrail.NotRun, Reason: ReasonMalformed, Detail: "The message is malformed."}
	var field *FieldError
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &field):
		problem.Detail = field.Error()
	case errors.As(err, &tooLong):
		problem.Reason = ReasonBodyTooLong
		problem.Detail = "The body is longer than " + strconv.FormatInt(tooLong.Limit, 10) + " bytes."
	}
	return problem
}

// WriteProblem writes a problem document with its status and headers. Headers
// that were already set on w are sent too.
func WriteProblem(w http.ResponseWriter, problem Problem) {
	status := StatusOf(problem.Reason)
	title := reasons[problem.Reason].title
	body, err := json.Marshal(problemBody{
		Type: "urn:gypsumrail:reason:" + string(problem.Reason), Title: title, Status: status,
		Detail: problem.Detail, Instance: requestURN(problem.Request),
		Outcome: problem.Outcome, Reason: problem.Reason, Keys: problem.Keys,
	})
	if err != nil {
		body = nil // strings always marshal; without a body, the status is still a usable answer
	}
	h := w.Header()
	h.Set("Content-Type", ProblemType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderOutcome, string(problem.Outcome))
	h.Set(HeaderReason, string(problem.Reason))
	if problem.RetryAfter > 0 {
		// Retry-After is in whole seconds. Rounded down, it would let clients
		// retry too early.
		h.Set("Retry-After", strconv.FormatInt(int64((problem.RetryAfter+gypsumrail.Second-1)/gypsumrail.Second), 10))
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func requestURN(request string) string {
	if request == "" {
		return ""
	}
	return "urn:gypsumrail:request:" + request
}
