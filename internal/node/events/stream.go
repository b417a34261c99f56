// Package events passes lines from a node's steps to operators: the stream of
// events and the log. Neither may hold a step up, so both drop what their readers
// do not take in time, and count it.
package events

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/gin-gonic/gin"

	"github.com/gypsumrail/gypsumrail"
)

const (
	readersMax     = 4
	readerLinesMax = 4096 // per reader; more are dropped
)

// Stream copies the reducer's events to operators. A slow reader loses lines
// and never delays a step. It is safe for concurrent use.
type Stream struct {
	dropped atomic.Uint64
	count   atomic.Int64 // readers; steps without any pay nothing

	mu      sync.Mutex
	readers map[chan []byte]bool
	closed  bool
}

// NewStream returns a stream without readers.
func NewStream() *Stream { return &Stream{readers: make(map[chan []byte]bool)} }

// Open adds a reader. It reports false if there are too many.
func (s *Stream) Open() (chan []byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.readers) >= readersMax {
		return nil, false
	}
	reader := make(chan []byte, readerLinesMax)
	s.readers[reader] = true
	s.count.Add(1)
	return reader, true
}

// Leave removes a reader.
func (s *Stream) Leave(reader chan []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readers[reader] {
		delete(s.readers, reader)
		s.count.Add(-1)
	}
}

// Close ends all readers.
func (s *Stream) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for reader := range s.readers {
		delete(s.readers, reader)
		close(reader)
	}
	s.count.Store(0)
}

// Publish gives an event to the readers. Without any it costs nothing.
func (s *Stream) Publish(event *gypsumrail.Event) {
	if s.count.Load() == 0 {
		return
	}
	line, err := json.Marshal(event)
	if err != nil {
		s.dropped.Add(1)
		return
	}
	line = append(line, '\n')
	s.mu.Lock()
	defer s.mu.Unlock()
	for reader := range s.readers {
		select {
		case reader <- line:
		default:
			s.dropped.Add(1)
		}
	}
}

// Dropped returns the lines that readers missed.
func (s *Stream) Dropped() uint64 { return s.dropped.Load() }

// Serve writes the events as JSON lines until the client leaves. The first ones
// are those by which a reader learns what the node knew before.
func (s *Stream) Serve(c *gin.Context, first func() []gypsumrail.Event) {
	reader, ok := s.Open()
	if !ok {
		c.String(http.StatusServiceUnavailable, "too many readers\n")
		return
	}
	defer s.Leave(reader)
	c.Header("Content-Type", "application/jsonl")
	c.Status(http.StatusOK)
	for _, event := range first() {
		line, err := json.Marshal(&event)
		if err != nil {
			s.dropped.Add(1)
			continue
		}
		if _, err := c.Writer.Write(append(line, '\n')); err != nil {
			return
		}
	}
	c.Writer.Flush()
	for {
		select {
		case line, open := <-reader:
			if !open {
				return
			}
			if _, err := c.Writer.Write(line); err != nil {
				return
			}
			if len(reader) == 0 {
				c.Writer.Flush()
			}
		case <-c.Request.Context().Done():
			return
		}
	}
}
