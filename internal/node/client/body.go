package client

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

// BufferMax is the size in bytes of the largest request body that a node
// buffers for further attempts.
const BufferMax = 64 << 10

// ErrBodyConsumed means that an earlier attempt has read at least a part of a
// body that is not buffered, so that it cannot be sent again.
var ErrBodyConsumed = errors.New("the request body was read by an earlier attempt and cannot be sent again")

// BufferBudget limits the total size of all buffered request bodies. It is safe
// for concurrent use.
type BufferBudget struct {
	used atomic.Int64
	max  int64
}

// NewBufferBudget returns a budget of this many bytes.
func NewBufferBudget(limit int64) *BufferBudget { return &BufferBudget{max: limit} }

// reserve reserves n bytes, or returns false if they exceed the limit.
func (b *BufferBudget) reserve(n int64) bool {
	if b.used.Add(n) > b.max {
		b.used.Add(-n)
		return false
	}
	return true
}

// RequestBody is the body of an incoming request, from which each attempt reads.
// A small body is buffered and can be sent several times. A larger one is
// streamed and can be sent once: a further attempt is possible only while no
// attempt has read any of it. RequestBody is safe for concurrent use.
type RequestBody struct {
	budget   *BufferBudget
	length   int64  // -1 if not known
	buffered []byte // the whole body, if unread is nil
	reserved int64  // bytes reserved in budget

	mu      sync.Mutex
	unread  io.Reader   // the streamed body; nil if buffered is the whole body
	reader  *bodyReader // the only one that may read from unread, once it has begun
	tooLong bool
}

// NewRequestBody returns a request body of the given length, or of an unknown
// length if it is -1. It reads a small body at once, unless the budget is used
// up. With ahead, it also reads up to BufferMax bytes of a body of unknown
// length to find out whether it is small. The error wraps that of the body.
func NewRequestBody(body io.Reader, length int64, ahead bool, budget *BufferBudget) (*RequestBody, error) {
	r := &RequestBody{budget: budget, length: length}
	if length == 0 || body == nil {
		r.length = 0
		return r, nil
	}
	want := length
	if length < 0 {
		want = BufferMax
	}
	if length > BufferMax || length < 0 && !ahead || !budget.reserve(want) {
		r.unread = body
		return r, nil
	}
	r.reserved = want
	if length > 0 {
		r.buffered = make([]byte, length)
		if _, err := io.ReadFull(body, r.buffered); err != nil {
			r.Release()
			return nil, fmt.Errorf("read the body: %w", err)
		}
		return r, nil
	}
	var b bytes.Buffer
	n, err := io.Copy(&b, io.LimitReader(body, BufferMax))
	if err != nil {
		r.Release()
		return nil, fmt.Errorf("read the body: %w", err)
	}
	if n < BufferMax {
		r.buffered, r.length = b.Bytes(), n
		return r, nil
	}
	r.unread = io.MultiReader(&b, body)
	return r, nil
}

// Release returns the reserved bytes to the budget. The body must not be opened
// afterwards. Further calls do nothing.
func (b *RequestBody) Release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.used.Add(-b.reserved)
	b.reserved = 0
}

// Length returns the length of the body, or -1 if it is not known.
func (b *RequestBody) Length() int64 { return b.length }

// TooLong reports whether reading the streamed body failed with
// *http.MaxBytesError.
func (b *RequestBody) TooLong() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tooLong
}

// Open returns the body for one attempt, or ErrBodyConsumed. The result is
// never nil and never of a type that http.Transport can rewind. Otherwise the
// transport would by itself resend requests with an empty body that are GET or
// have an Idempotency-Key.
func (b *RequestBody) Open() (io.ReadCloser, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.unread == nil {
		return &bodyReader{from: bytes.NewReader(b.buffered)}, nil
	}
	if b.reader != nil {
		return nil, ErrBodyConsumed
	}
	return &bodyReader{from: b.unread, body: b}, nil
}

// bodyReader reads the body for one attempt.
type bodyReader struct {
	from   io.Reader
	body   *RequestBody // nil for a buffered body
	mu     sync.Mutex
	closed bool
}

func (r *bodyReader) Read(p []byte) (int, error) {
	r.mu.Lock()
	closed := r.closed
	r.mu.Unlock()
	if closed {
		return 0, http.ErrBodyReadAfterClose
	}
	if r.body == nil {
		return r.from.Read(p) //nolint:wrapcheck // io.EOF must stay bare
	}
	if err := r.body.claim(r); err != nil {
		return 0, err
	}
	n, err := r.from.Read(p)
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		r.body.mu.Lock()
		r.body.tooLong = true
		r.body.mu.Unlock()
	}
	return n, err //nolint:wrapcheck // io.EOF must stay bare
}

// claim reserves the streamed body for the first attempt that reads from it. It
// returns ErrBodyConsumed to the others.
func (b *RequestBody) claim(r *bodyReader) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return http.ErrBodyReadAfterClose
	}
	if b.reader != nil && b.reader != r {
		return ErrBodyConsumed
	}
	b.reader = r
	return nil
}

// Close makes further reads fail. It does not wait for a Read in progress.
func (r *bodyReader) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	return nil
}
