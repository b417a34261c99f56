package events

import (
	"sync"
	"sync/atomic"

	"github.com/gypsumrail/gypsumrail"
)

const logLinesMax = 1024

// Logger writes log events. It is called from one goroutine.
type Logger interface {
	// Log takes a notice about a subject. The reason and the detail may be empty.
	Log(notice gypsumrail.Notice, subject string, reason gypsumrail.Reason, detail string)
}

// line is one log event.
type line struct {
	notice  gypsumrail.Notice
	subject string
	reason  gypsumrail.Reason
	detail  string
}

// Log writes log events on a goroutine of its own, because writing may block
// and steps must not. It is safe for concurrent use.
type Log struct {
	dropped atomic.Uint64
	queue   chan line
	stop    chan struct{}
	once    sync.Once
	ended   chan struct{}
	notice  gypsumrail.Notice
}

// NewLog returns a log. The notice tells of dropped events.
func NewLog(logger Logger, droppedNotice gypsumrail.Notice) *Log {
	l := &Log{queue: make(chan line, logLinesMax), stop: make(chan struct{}), ended: make(chan struct{}), notice: droppedNotice}
	go l.write(logger)
	return l
}

func (l *Log) write(logger Logger) {
	defer close(l.ended)
	var reported uint64
	put := func(e line) {
		logger.Log(e.notice, e.subject, e.reason, e.detail)
		if dropped := l.dropped.Load(); dropped != reported {
			reported = dropped
			logger.Log(l.notice, "", gypsumrail.ReasonNone, "")
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

// Put queues a log event, or drops it if writing is too slow.
func (l *Log) Put(notice gypsumrail.Notice, subject string, reason gypsumrail.Reason, detail string) {
	select {
	case l.queue <- line{notice, subject, reason, detail}:
	default:
		l.dropped.Add(1)
	}
}

// Close writes what is queued and ends.
func (l *Log) Close() {
	l.once.Do(func() { close(l.stop) })
	<-l.ended
}

// Dropped returns the log events that were dropped.
func (l *Log) Dropped() uint64 { return l.dropped.Load() }
