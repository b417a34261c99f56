// Package events passes the events and log events of a node to operators. Writing must
// never block a step of the reducer, so the queues of the stream and of the log are
// bounded. What does not fit is dropped and counted.
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
	readersMax     = 4    // of one node
	readerLinesMax = 4096 // queued per reader; further ones are dropped
)

// Stream copies the reducer's events to operators as JSON lines. A slow reader loses
// lines and never delays a step. It is safe for concurrent use.
type Stream struct {
	dropped atomic.Uint64
	count   atomic.Int64 // readers; lets Publish return without the lock if there are none

	mu      sync.Mutex
	readers map[chan []byte]bool
	closed  bool // by Close; Open then returns false
}

// NewStream returns a stream without readers.
func NewStream() *Stream { return &Stream{readers: make(map[chan []byte]bool)} }

// Open adds a reader and returns its queue of lines. It returns false after Close, or
// if there are readersMax readers already.
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

// Remove removes a reader, which then gets no more lines.
func (s *Stream) Remove(reader chan []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readers[reader] {
		delete(s.readers, reader)
		s.count.Add(-1)
	}
}

// Close closes the queues of all readers, which ends their requests.
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

// Publish queues an event for all readers. It never blocks. The driver calls it in
// each step, so it does not encode the event if there are no readers.
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

// Dropped returns the number of lines that were not delivered: one for each reader
// whose queue was full, and one for each event that could not be encoded.
func (s *Stream) Dropped() uint64 { return s.dropped.Load() }

// Serve writes events as JSON lines until the client disconnects or the stream is
// closed. It writes the events of first before all others: they give a replay the
// values that were already in force.
func (s *Stream) Serve(c *gin.Context, first func() []gypsumrail.Event) {
	reader, ok := s.Open()
	if !ok {
		c.String(http.StatusServiceUnavailable, "too many readers\n")
		return
	}
	defer s.Remove(reader)
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
