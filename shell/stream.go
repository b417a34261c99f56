package shell

import (
	"encoding/json"
	"sync"
	"sync/atomic"

	"github.com/gypsumrail/gypsumrail"
)

const (
	streamReadersMax = 4
	streamLinesMax   = 4096 // per reader; more are dropped
	logLinesMax      = 1024
)

// stream copies the reducer's events to operators. A slow reader loses lines
// and never delays a step. It is safe for concurrent use.
type stream struct {
	dropped atomic.Uint64
	count   atomic.Int64 // readers; steps without any pay nothing

	mu      sync.Mutex
	readers map[chan []byte]bool
	closed  bool
}

func newStream() *stream { return &stream{readers: make(map[chan []byte]bool)} }

func (s *stream) open() (chan []byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.readers) >= streamReadersMax {
		return nil, false
	}
	reader := make(chan []byte, streamLinesMax)
	s.readers[reader] = true
	s.count.Add(1)
	return reader, true
}

func (s *stream) leave(reader chan []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readers[reader] {
		delete(s.readers, reader)
		s.count.Add(-1)
	}
}

// close ends all readers.
func (s *stream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for reader := range s.readers {
		delete(s.readers, reader)
		close(reader)
	}
	s.count.Store(0)
}

func (s *stream) publish(event *gypsumrail.Event) {
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

// line is one log event.
type line struct {
	notice  gypsumrail.Notice
	subject string
	reason  gypsumrail.Reason
	detail  string
}

// lines writes log events on a goroutine of its own, because writing may block
// and steps must not. It is safe for concurrent use.
type lines struct {
	dropped atomic.Uint64
	queue   chan line
	stop    chan struct{}
	once    sync.Once
	ended   chan struct{}
}

func newLines(logger Logger) *lines {
	l := &lines{queue: make(chan line, logLinesMax), stop: make(chan struct{}), ended: make(chan struct{})}
	go l.write(logger)
	return l
}

func (l *lines) write(logger Logger) {
	defer close(l.ended)
	var reported uint64
	put := func(e line) {
		logger.Log(e.notice, e.subject, e.reason, e.detail)
		if dropped := l.dropped.Load(); dropped != reported {
			reported = dropped
			logger.Log(NoticeLinesDropped, "", gypsumrail.ReasonNone, "")
		}
	}
	for {
		select {
		case e := <-l.queue:
			put(e)
		case <-l.stop:
			for {
				select {
				case e := <-l.queue:
					put(e)
				default:
					return
				}
			}
		}
	}
}

func (l *lines) log(notice gypsumrail.Notice, subject string, reason gypsumrail.Reason, detail string) {
	select {
	case l.queue <- line{notice, subject, reason, detail}:
	default:
		l.dropped.Add(1)
	}
}

// close writes what is queued and ends.
func (l *lines) close() {
	l.once.Do(func() { close(l.stop) })
	<-l.ended
}
