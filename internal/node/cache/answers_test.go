package cache

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
)

// collect returns a collector to which the pieces of a body were appended.
func collect(key string, pieces ...string) *Collector {
	c := NewCollector(key, 1, &http.Response{StatusCode: http.StatusCreated, ContentLength: -1, Header: http.Header{"X-Order": {"7"}}})
	for _, piece := range pieces {
		c.Append([]byte(piece))
	}
	return c
}

// Guards against a stored answer that is changed, returned to a different request
// under the same key, or replaced by a later answer.
func TestReplay(t *testing.T) {
	a := New()
	a.Put(collect("k", "the ", "answer"))
	a.Put(collect("k", "another"))
	if a.Get("k", 2) != nil || a.Get("other", 1) != nil {
		t.Error("another request got the answer")
	}
	answer := a.Get("k", 1)
	if answer == nil {
		t.Fatal("the answer is not stored")
	}
	w := httptest.NewRecorder()
	answer.Write(w)
	if w.Code != http.StatusCreated || w.Body.String() != "the answer" || w.Header().Get("X-Order") != "7" || w.Header().Get("Content-Length") != "10" {
		t.Errorf("status %d, headers %v, body %q", w.Code, w.Header(), w.Body)
	}
}

// Guards against a cache that grows without bound, in the number of answers or in the
// size of one body.
func TestBounds(t *testing.T) {
	a := New()
	for i := range AnswersMax + 10 {
		a.Put(collect(fmt.Sprint(i)))
	}
	if a.Len() != AnswersMax || len(a.order) != AnswersMax || a.Get("9", 1) != nil || a.Get("10", 1) == nil {
		t.Errorf("%d answers are stored", a.Len())
	}
	a.Put(collect("large", string(make([]byte, BodyBytesMax)), "x"))
	if a.Get("large", 1) != nil {
		t.Error("an answer that is too large is stored")
	}
	if NewCollector("k", 1, &http.Response{ContentLength: BodyBytesMax + 1}) != nil {
		t.Error("an answer that is too large is collected")
	}
	a.Put(nil)
}
