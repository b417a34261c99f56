package link

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

// BufferMax is the largest request body that is kept for a second attempt.
const BufferMax = 64 << 10

// ErrSpent means that a body was partly sent and cannot be sent again.
var ErrSpent = errors.New("the body was sent already")

// Buffers bounds the memory of kept request bodies. It is safe for concurrent use.
type Buffers struct {
	used atomic.Int64
	max  int64
}

// NewBuffers returns a bound of this many bytes.
func NewBuffers(limit int64) *Buffers { return &Buffers{max: limit} }

func (b *Buffers) take(n int64) bool {
	if b.used.Add(n) > b.max {
		b.used.Add(-n)
		return false
	}
	return true
}

// Source is the body of a request that came in. A small one is read at once and
// can be sent several times. A larger one is passed on as it arrives and can be
// sent once; it can be offered again only as long as none of it was read. Source
// is safe for concurrent use.
type Source struct {
	buffers *Buffers
	length  int64 // -1 if not known
	small   []byte
	held    int64

	mu      sync.Mutex
	rest    io.Reader // nil if small is the whole body
	reader  *once     // the one that has read from rest
	tooLong bool
}

// NewSource takes the body of a request whose length is given, or -1. With
// ahead, a body of unknown length is read up to BufferMax to learn whether it
// is small.
func NewSource(body io.Reader, length int64, ahead bool, buffers *Buffers) (*Source, error) {
	s := &Source{buffers: buffers, length: length}
	if length == 0 || body == nil {
		s.length = 0
		return s, nil
	}
	want := length
	if length < 0 {
		want = BufferMax
	}
	if length > BufferMax || length < 0 && !ahead || !buffers.take(want) {
		s.rest = body
		return s, nil
	}
	s.held = want
	if length > 0 {
		s.small = make([]byte, length)
		if _, err := io.ReadFull(body, s.small); err != nil {
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
		s.small, s.length = b.Bytes(), n
		return s, nil
	}
	s.rest = io.MultiReader(&b, body)
	return s, nil
}

// Release gives the buffer back. The source must not be opened afterwards.
func (s *Source) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buffers.used.Add(-s.held)
	s.held = 0
}

// Length returns the length of the body, or -1 if it is not known.
func (s *Source) Length() int64 { return s.length }

// TooLong tells whether the body turned out to be longer than accepted.
func (s *Source) TooLong() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tooLong
}

// Open returns the body for one attempt, or ErrSpent. The result is never nil
// and never a type that http.Transport can rewind, so that the transport does
// not resend a request by itself: it would otherwise repeat requests with an
// empty body that are GET or carry an Idempotency-Key.
func (s *Source) Open() (io.ReadCloser, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rest == nil {
		return &once{from: bytes.NewReader(s.small)}, nil
	}
	if s.reader != nil {
		return nil, ErrSpent
	}
	return &once{from: s.rest, source: s}, nil
}

// once is a body that can be read once.
type once struct {
	from   io.Reader
	source *Source // nil for a kept body
	mu     sync.Mutex
	closed bool
}

func (o *once) Read(p []byte) (int, error) {
	o.mu.Lock()
	closed := o.closed
	o.mu.Unlock()
	if closed {
		return 0, http.ErrBodyReadAfterClose
	}
	if o.source == nil {
		return o.from.Read(p) //nolint:wrapcheck // io.EOF must stay bare
	}
	if err := o.source.begin(o); err != nil {
		return 0, err
	}
	n, err := o.from.Read(p)
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		o.source.mu.Lock()
		o.source.tooLong = true
		o.source.mu.Unlock()
	}
	return n, err //nolint:wrapcheck // io.EOF must stay bare
}

// begin lets only the first reader have the body.
func (s *Source) begin(o *once) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return http.ErrBodyReadAfterClose
	}
	if s.reader != nil && s.reader != o {
		return ErrSpent
	}
	s.reader = o
	return nil
}

// Close ends this use of the body. It does not wait for a Read.
func (o *once) Close() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	return nil
}
