// Package cache stores the answers to calls that may not be executed twice. If the
// caller missed the answer and resends the call, it gets the stored answer and not
// only the outcome.
package cache

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

const (
	// BodyBytesMax is the size of the largest body that is stored.
	BodyBytesMax = 4 << 10
	// AnswersMax bounds the number of stored answers: about 8 MB with their headers.
	AnswersMax = 1024
	// lifetime is how long an answer is stored: as long as the home of a key can report
	// its outcome.
	lifetime = 11 * time.Minute
)

// Answer is the complete answer to a call that may not be executed twice.
type Answer struct {
	fingerprint uint64 // of the request
	expires     time.Time
	status      int
	header      http.Header
	body        []byte
}

// Write sends the answer to a caller, with the outcome Ran.
func (a *Answer) Write(w http.ResponseWriter) {
	h := w.Header()
	wire.CopyEndToEnd(h, a.header)
	h.Set(wire.HeaderOutcome, "Ran")
	if a.status != http.StatusNoContent && a.status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
}

// Status returns the HTTP status code.
func (a *Answer) Status() int { return a.status }

// Answers stores answers by idempotency key. When it is full, Put evicts the oldest
// answer; a resend of that call gets only the outcome. It is not safe for concurrent
// use.
type Answers struct {
	answers map[string]*Answer
	order   []string // keys in the order of Put; a ring buffer once it is full
	next    int      // index in order of the oldest key, once it is full
}

// New returns an empty store of answers.
func New() *Answers { return &Answers{answers: make(map[string]*Answer, AnswersMax)} }

// Put stores the answer that was collected. It does nothing if the key already has an
// answer, the body was too large or the collector is nil.
func (a *Answers) Put(collected *Collector) {
	if collected == nil || collected.answer == nil {
		return
	}
	key, answer := collected.key, collected.answer
	if _, known := a.answers[key]; known {
		return
	}
	if len(a.order) < AnswersMax {
		a.order = append(a.order, key)
	} else {
		delete(a.answers, a.order[a.next])
		a.order[a.next] = key
		a.next = (a.next + 1) % AnswersMax
	}
	a.answers[key] = answer
}

// Get returns the answer of a key, or nil if there is none, it has expired, or the
// fingerprint is that of another request: a different request under the same key
// must not get the answer.
func (a *Answers) Get(key string, fingerprint uint64) *Answer {
	answer := a.answers[key]
	if answer == nil || answer.fingerprint != fingerprint || time.Now().After(answer.expires) {
		return nil
	}
	return answer
}

// Len returns the number of stored answers, including expired ones.
func (a *Answers) Len() int { return len(a.answers) }

// Collector copies an answer while it is streamed to the caller. A nil Collector is
// valid and copies nothing.
type Collector struct {
	key    string
	answer *Answer // nil once the body is too large
}

// NewCollector returns a collector for an answer whose headers have been read, or nil
// if the call has no idempotency key or the declared length of the body is too large.
// The fingerprint is that of the request.
func NewCollector(key string, fingerprint uint64, answer *http.Response) *Collector {
	if key == "" || answer.ContentLength > BodyBytesMax {
		return nil
	}
	return &Collector{key: key, answer: &Answer{
		fingerprint: fingerprint, expires: time.Now().Add(lifetime),
		status: answer.StatusCode, header: answer.Header.Clone(),
	}}
}

// Append adds a chunk of the body. A body that grows beyond BodyBytesMax is dropped.
func (c *Collector) Append(chunk []byte) {
	if c == nil || c.answer == nil {
		return
	}
	if len(c.answer.body)+len(chunk) > BodyBytesMax {
		c.answer = nil
		return
	}
	c.answer.body = append(c.answer.body, chunk...)
}
