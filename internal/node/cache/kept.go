// Package cache holds the answers of calls that may not be repeated, so that a
// resend gets the answer that its caller missed instead of only its outcome.
package cache

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

const (
	// BytesMax is the largest body that is kept for a resend.
	BytesMax = 4 << 10
	// AnswersMax bounds the kept answers, about 8 MB with their headers.
	AnswersMax = 1024
	// life is as long as a home can tell what became of a key.
	life = 11 * time.Minute
)

// Answer is the whole answer to a call that may not be repeated.
type Answer struct {
	fingerprint uint64
	until       time.Time
	status      int
	header      http.Header
	body        []byte
}

// Write sends a kept answer.
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

// Status returns the HTTP status.
func (a *Answer) Status() int { return a.status }

// Answers holds answers by idempotency key. The oldest gives way: a resend then
// gets the outcome without the answer. It is not safe for concurrent use.
type Answers struct {
	answers map[string]*Answer
	order   []string // a ring once it is full
	next    int
}

// New returns an empty store.
func New() *Answers { return &Answers{answers: make(map[string]*Answer, AnswersMax)} }

// Put keeps what a keeper collected, if it is small enough and the first of its key.
func (k *Answers) Put(collected *Keeper) {
	if collected == nil || collected.answer == nil {
		return
	}
	key, answer := collected.key, collected.answer
	if _, known := k.answers[key]; known {
		return
	}
	if len(k.order) < AnswersMax {
		k.order = append(k.order, key)
	} else {
		delete(k.answers, k.order[k.next])
		k.order[k.next] = key
		k.next = (k.next + 1) % AnswersMax
	}
	k.answers[key] = answer
}

// Get returns the answer of a key to a resend of the same request. Another
// request under the same key must not see it.
func (k *Answers) Get(key string, fingerprint uint64) *Answer {
	answer := k.answers[key]
	if answer == nil || answer.fingerprint != fingerprint || time.Now().After(answer.until) {
		return nil
	}
	return answer
}

// Len returns the number of answers.
func (k *Answers) Len() int { return len(k.answers) }

// Keeper collects an answer while it is passed on. A nil keeper keeps nothing.
type Keeper struct {
	key    string
	answer *Answer // nil once the body is too large
}

// NewKeeper returns the keeper for an answer whose head arrived, or nil if the
// answer is not to be kept. The fingerprint is that of the request.
func NewKeeper(key string, fingerprint uint64, answer *http.Response) *Keeper {
	if key == "" || answer.ContentLength > BytesMax {
		return nil
	}
	return &Keeper{key: key, answer: &Answer{
		fingerprint: fingerprint, until: time.Now().Add(life),
		status: answer.StatusCode, header: answer.Header.Clone(),
	}}
}

// Take adds a piece of the body.
func (k *Keeper) Take(p []byte) {
	if k == nil || k.answer == nil {
		return
	}
	if len(k.answer.body)+len(p) > BytesMax {
		k.answer = nil
		return
	}
	k.answer.body = append(k.answer.body, p...)
}
