package events

import (
	"sync"
	"sync/atomic"

	"github.com/gypsumrail/gypsumrail"
)

// logLinesMax is the maximum number of queued log events; further ones are dropped.
const logLinesMax = 1024

// Logger writes log events. All calls come from one goroutine.
type Logger interface {
	// Log writes the log event of a notice about a subject. The subject, the reason and
	// the detail may be empty.
	Log(notice gypsumrail.Notice, subject string, reason gypsumrail.Reason, detail string)
}

// line is one queued log event.
type line struct {
	notice  gypsumrail.Notice
	subject string
	reason  gypsumrail.Reason
	detail  string
}

// Log queues log events and writes them on its own goroutine, because writing may
// block and the steps of the reducer must not. It is safe for concurrent use.
type Log struct {
	dropped       atomic.Uint64
	queue         chan line
	stop          chan struct{}
	once          sync.Once
	ended         chan struct{}     // closed after the last write
	droppedNotice gypsumrail.Notice // logged after drops
}

// NewLog returns a log and starts its goroutine, which Close ends. It logs
// droppedNotice after log events were dropped.
func NewLog(logger Logger, droppedNotice gypsumrail.Notice) *Log {
	l := &Log{queue: make(chan line, logLinesMax), stop: make(chan struct{}), ended: make(chan struct{}), droppedNotice: droppedNotice}
	go l.write(logger)
	return l
}

// write passes queued events to the logger until Close, and then those still queued.
func (l *Log) write(logger Logger) {
	defer close(l.ended)
	var reported uint64
	put := func(e line) {
		logger.Log(e.notice, e.subject, e.reason, e.detail)
		if dropped := l.dropped.Load(); dropped != reported {
			reported = dropped
			logger.Log(l.droppedNotice, "", gypsumrail.ReasonNone, "")
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

// Put queues a log event, or drops and counts it if the queue is full. It never blocks.
func (l *Log) Put(notice gypsumrail.Notice, subject string, reason gypsumrail.Reason, detail string) {
	select {
	case l.queue <- line{notice, subject, reason, detail}:
	default:
		l.dropped.Add(1)
	}
}

// Close stops the goroutine after it has written the queued events. It may be called
// more than once.
func (l *Log) Close() {
	l.once.Do(func() { close(l.stop) })
	<-l.ended
}

// Dropped returns the number of log events that were dropped.
func (l *Log) Dropped() uint64 { return l.dropped.Load() }
