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

// ErrBodyConsumed means that an earlier attempt has read a body that is not
// buffered, at least in part, so that it cannot be sent again.
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
	s := &RequestBody{budget: budget, length: length}
	if length == 0 || body == nil {
		s.length = 0
		return s, nil
	}
	want := length
	if length < 0 {
		want = BufferMax
	}
	if length > BufferMax || length < 0 && !ahead || !budget.reserve(want) {
		s.unread = body
		return s, nil
	}
	s.reserved = want
	if length > 0 {
		s.buffered = make([]byte, length)
		if _, err := io.ReadFull(body, s.buffered); err != nil {
			s.Release()
			return nil, fmt.Errorf("read the body: %w", err)
		}
		return s, nil
	}
	var b bytes.Buffer
	n, err := io.Copy(&b, io.LimitReader(body, BufferMax))
	if err != nil {
		s.Release()
		return nil, fmt.Errorf("read the body: %w", err)
	}
	if n < BufferMax {
		s.buffered, s.length = b.Bytes(), n
		return s, nil
	}
	s.unread = io.MultiReader(&b, body)
	return s, nil
}

// Release returns the reserved bytes to the budget. The body must not be opened
// afterwards. Further calls do nothing.
func (s *RequestBody) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.used.Add(-s.reserved)
	s.reserved = 0
}

// Length returns the length of the body, or -1 if it is not known.
func (s *RequestBody) Length() int64 { return s.length }

// TooLong reports whether reading the streamed body failed with
// *http.MaxBytesError.
func (s *RequestBody) TooLong() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tooLong
}

// Open returns the body for one attempt, or ErrBodyConsumed. The result is
// never nil and never of a type that http.Transport can rewind. Otherwise the
// transport would by itself resend requests with an empty body that are GET or
// have an Idempotency-Key.
func (s *RequestBody) Open() (io.ReadCloser, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unread == nil {
		return &bodyReader{from: bytes.NewReader(s.buffered)}, nil
	}
	if s.reader != nil {
		return nil, ErrBodyConsumed
	}
	return &bodyReader{from: s.unread, body: s}, nil
}

// bodyReader reads the body for one attempt.
type bodyReader struct {
	from   io.Reader
	body   *RequestBody // nil for a buffered body
	mu     sync.Mutex
	closed bool
}

func (o *bodyReader) Read(p []byte) (int, error) {
	o.mu.Lock()
	closed := o.closed
	o.mu.Unlock()
	if closed {
		return 0, http.ErrBodyReadAfterClose
	}
	if o.body == nil {
		return o.from.Read(p) //nolint:wrapcheck // io.EOF must stay bare
	}
	if err := o.body.claim(o); err != nil {
		return 0, err
	}
	n, err := o.from.Read(p)
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		o.body.mu.Lock()
		o.body.tooLong = true
		o.body.mu.Unlock()
	}
	return n, err //nolint:wrapcheck // io.EOF must stay bare
}

// claim reserves the streamed body for the first attempt that reads from it. It
// returns ErrBodyConsumed to the others.
func (s *RequestBody) claim(o *bodyReader) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return http.ErrBodyReadAfterClose
	}
	if s.reader != nil && s.reader != o {
		return ErrBodyConsumed
	}
	s.reader = o
	return nil
}

// Close makes further reads fail. It does not wait for a Read in progress.
func (o *bodyReader) Close() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	return nil
}
