package shell

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gypsumrail/gypsumrail/wire"
)

const (
	// keptBytesMax is the largest body that is kept for a resend.
	keptBytesMax = 4 << 10
	// keptMax bounds the kept answers, about 8 MB with their headers.
	keptMax = 1024
	// keptTime is as long as a home can tell what became of a key.
	keptTime = 11 * time.Minute
)

// keptAnswer is the whole answer to a call that may not be repeated.
type keptAnswer struct {
	fingerprint uint64
	until       time.Time
	status      int
	header      http.Header
	body        []byte
}

// write sends a kept answer.
func (k *keptAnswer) write(w http.ResponseWriter) {
	h := w.Header()
	wire.CopyEndToEnd(h, k.header)
	h.Set(wire.HeaderOutcome, "Ran")
	if k.status != http.StatusNoContent && k.status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(k.body)))
	}
	w.WriteHeader(k.status)
	_, _ = w.Write(k.body)
}

// kept holds answers by idempotency key. The oldest gives way: a resend then
// gets the outcome without the answer. The shell's mutex guards it.
type kept struct {
	answers map[string]*keptAnswer
	order   []string // a ring once it is full
	next    int
}

func newKept() *kept { return &kept{answers: make(map[string]*keptAnswer, keptMax)} }

func (k *kept) put(key string, answer *keptAnswer) {
	if _, known := k.answers[key]; known {
		return
	}
	if len(k.order) < keptMax {
		k.order = append(k.order, key)
	} else {
		delete(k.answers, k.order[k.next])
		k.order[k.next] = key
		k.next = (k.next + 1) % keptMax
	}
	k.answers[key] = answer
}

// get returns the answer of a key to a resend of the same request. Another
// request under the same key must not see it.
func (k *kept) get(key string, fingerprint uint64) *keptAnswer {
	answer := k.answers[key]
	if answer == nil || answer.fingerprint != fingerprint || time.Now().After(answer.until) {
		return nil
	}
	return answer
}

// keeper collects an answer while it is passed on. A nil keeper keeps nothing.
type keeper struct {
	key    string
	answer *keptAnswer // nil once the body is too large
}

func (s *Shell) keeperFor(c *call, answer *http.Response) *keeper {
	if c.run == nil || c.run.key == "" || answer.ContentLength > keptBytesMax {
		return nil
	}
	return &keeper{key: c.run.key, answer: &keptAnswer{
		fingerprint: c.arrival.Fingerprint, until: time.Now().Add(keptTime),
		status: answer.StatusCode, header: answer.Header.Clone(),
	}}
}

func (k *keeper) take(p []byte) {
	if k == nil || k.answer == nil {
		return
	}
	if len(k.answer.body)+len(p) > keptBytesMax {
		k.answer = nil
		return
	}
	k.answer.body = append(k.answer.body, p...)
}
