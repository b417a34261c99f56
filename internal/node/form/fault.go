// Package form decides what counts as an HTTP response: one rule for the answers of targets,
// for those of other nodes, for control messages and for the platform's store.
//
// A target in trouble may send a first line such as "HTTP/1.1 000". HTTP libraries accept many
// of these, and some read the status 0 as 200. What is no response is treated as a broken
// connection: the request may have run.
package form

import "errors"

// Fault is the reason for which an answer is refused for its form. Log lines and metrics name it.
type Fault string

// The faults of answers.
const (
	StatusLine Fault = "StatusLine" // the first line is no status line of a response
	Interims   Fault = "Interims"   // there are too many interim responses
	FieldName  Fault = "FieldName"  // the name of a field is no token
	Reason     Fault = "Reason"     // the reason phrase has control bytes
	Head       Fault = "Head"       // the head is malformed in another way, or too long
	Body       Fault = "Body"       // the framing of the body is malformed
	Truncated  Fault = "Truncated"  // the body ended early
	Unframed   Fault = "Unframed"   // the body has neither a length nor chunks, where it must
	Identity   Fault = "Identity"   // the answer belongs to another request
	Proof      Fault = "Proof"      // a success lacks the proof that a target made it
	NodeHeader Fault = "NodeHeader" // a header between nodes is missing or malformed
)

// texts describe the faults.
var texts = map[Fault]string{
	StatusLine: "the first line is no status line of a response",
	Interims:   "too many interim responses",
	FieldName:  "the name of a field is no token",
	Reason:     "the reason phrase has control bytes",
	Head:       "the head of the response is malformed or too long",
	Body:       "the framing of the body is malformed",
	Truncated:  "the body ended early",
	Unframed:   "the response has neither a Content-Length nor chunked encoding",
	Identity:   "the response belongs to another request",
	Proof:      "the success lacks the proof that a target made it",
	NodeHeader: "a header between nodes is missing or malformed",
}

// Error is the error of an answer that is refused for its form.
type Error struct {
	Fault Fault
	Cause error // nil if the fault says all
}

// New returns an error for a fault. The cause may be nil.
func New(fault Fault, cause error) *Error { return &Error{fault, cause} }

func (e *Error) Error() string {
	if e.Cause == nil {
		return texts[e.Fault]
	}
	return texts[e.Fault] + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// FaultOf returns the fault of an error that is or wraps an *Error. It returns false if an answer
// failed for another reason, such as a connection that ended before its head.
func FaultOf(err error) (Fault, bool) {
	var refused *Error
	if !errors.As(err, &refused) {
		return "", false
	}
	return refused.Fault, true
}
