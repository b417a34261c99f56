package cache

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
)

func keeper(key string, pieces ...string) *Keeper {
	k := NewKeeper(key, 1, &http.Response{StatusCode: http.StatusCreated, ContentLength: -1, Header: http.Header{"X-Order": {"7"}}})
	for _, piece := range pieces {
		k.Take([]byte(piece))
	}
	return k
}

// Guards against an answer that comes back changed, is given to another request
// under the same key, or is replaced by a later one.
func TestReplay(t *testing.T) {
	a := New()
	a.Put(keeper("k", "the ", "answer"))
	a.Put(keeper("k", "another"))
	if a.Get("k", 2) != nil || a.Get("other", 1) != nil {
		t.Error("another request got the answer")
	}
	answer := a.Get("k", 1)
	if answer == nil {
		t.Fatal("the answer is not kept")
	}
	w := httptest.NewRecorder()
	answer.Write(w)
	if w.Code != http.StatusCreated || w.Body.String() != "the answer" || w.Header().Get("X-Order") != "7" || w.Header().Get("Content-Length") != "10" {
		t.Errorf("status %d, headers %v, body %q", w.Code, w.Header(), w.Body)
	}
}

// Guards against answers that use memory without bound.
func TestBounds(t *testing.T) {
	a := New()
	for i := range AnswersMax + 10 {
		a.Put(keeper(fmt.Sprint(i)))
	}
	if a.Len() != AnswersMax || len(a.order) != AnswersMax || a.Get("9", 1) != nil || a.Get("10", 1) == nil {
		t.Errorf("%d answers are kept", a.Len())
	}
	a.Put(keeper("large", string(make([]byte, BytesMax)), "x"))
	if a.Get("large", 1) != nil {
		t.Error("a large answer is kept")
	}
	if NewKeeper("k", 1, &http.Response{ContentLength: BytesMax + 1}) != nil {
		t.Error("a large answer is collected")
	}
	a.Put(nil)
}
