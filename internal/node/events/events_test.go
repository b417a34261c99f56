package events

import (
	"testing"

	"github.com/gypsumrail/gypsumrail"
)

// Guards against a slow reader that blocks Publish, and with it the node, and against
// more readers than readersMax.
func TestStreamDrops(t *testing.T) {
	s := NewStream()
	for range readersMax {
		if _, ok := s.Open(); !ok {
			t.Fatal("a reader was refused below the bound")
		}
	}
	if _, ok := s.Open(); ok {
		t.Error("a reader over the bound was accepted")
	}
	for range readerLinesMax + 1 {
		s.Publish(&gypsumrail.Event{Kind: gypsumrail.Tick})
	}
	if s.Dropped() != readersMax {
		t.Errorf("%d lines were dropped", s.Dropped())
	}
}

// blocked is a Logger whose first call blocks until release is closed.
type blocked struct {
	entered chan struct{}
	release chan struct{}
	written []gypsumrail.Notice
}

func (b *blocked) Log(notice gypsumrail.Notice, _ string, _ gypsumrail.Reason, _ string) {
	if len(b.written) == 0 {
		close(b.entered)
		<-b.release
	}
	b.written = append(b.written, notice)
}

// Guards against a log that blocks its callers while writing is slow, drops events
// without a notice, or loses queued events on Close.
func TestLogDrops(t *testing.T) {
	b := &blocked{entered: make(chan struct{}), release: make(chan struct{})}
	l := NewLog(b, 2003)
	l.Put(1, "", "", "")
	<-b.entered
	for range logLinesMax + 5 {
		l.Put(2, "", "", "")
	}
	if l.Dropped() != 5 {
		t.Errorf("%d events were dropped", l.Dropped())
	}
	close(b.release)
	l.Close()
	if len(b.written) != logLinesMax+2 || b.written[1] != 2003 {
		t.Errorf("%d lines were written, the second is %v", len(b.written), b.written[1])
	}
}
