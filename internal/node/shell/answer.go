package shell

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/cache"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

const (
	// chunkBytes is the size of the copy buffer of one streamed body. Besides it
	// and the buffers of its connections, a body takes memory at this node only if
	// its answer is stored.
	chunkBytes = 32 << 10
	// writeTimeout bounds one write to a caller that does not read its answer.
	writeTimeout = 30 * time.Second
)

var chunks = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// errAnswerNotWritten tells failed writes to the caller from failed reads of the
// answer.
var errAnswerNotWritten = errors.New("the caller closed its connection or stopped reading")

// writeAnswer writes a delivery to the caller and reports the end of the call to
// the meter.
func (s *Shell) writeAnswer(w http.ResponseWriter, rsp *responder, m delivery, began time.Time) {
	c := rsp.call
	s.closeIfDraining(w, c.arrival.Origin)
	fromPeer := c.arrival.Origin == gypsumrail.FromPeer
	if fromPeer {
		wire.SetAnswer(w.Header(), c.attemptID, m.result)
	}
	switch {
	case m.problem != nil:
		m.result.Status = wire.StatusOf(m.problem.Reason)
		wire.WriteProblem(w, *m.problem)
		s.reportEnd(c, began, m.result)
	case m.stored != nil:
		m.result.Status = m.stored.Status()
		m.stored.Write(w)
		s.reportEnd(c, began, m.result)
	default:
		m.result.Status = m.answer.StatusCode
		s.streamAnswer(w, rsp, m, began)
	}
}

// closeIfDraining lets the answer of a draining node close the connection of its
// caller, so that the caller connects to another node. It does nothing for calls
// of peers and of the target.
func (s *Shell) closeIfDraining(w http.ResponseWriter, origin gypsumrail.Origin) {
	if origin == gypsumrail.FromCaller && s.ready.draining.Load() {
		w.Header().Set("Connection", "close")
	}
}

// streamAnswer streams an answer to the caller and reports its end to the
// reducer. If the answer is cut short, it aborts the caller's connection, so that
// the caller cannot take it for a complete answer.
func (s *Shell) streamAnswer(w http.ResponseWriter, rsp *responder, m delivery, began time.Time) {
	c := rsp.call
	var collector *cache.Collector
	if m.attempt == 0 {
		collector = cache.NewCollector(c.run.key, c.arrival.Fingerprint, m.answer)
	}
	writeHead(w, m.answer)
	err := copyBody(w, m.answer, collector)
	if errors.Is(err, errAnswerNotWritten) {
		s.post(&gypsumrail.Event{Kind: gypsumrail.CallerGone, Call: rsp.id})
		if m.attempt == 0 {
			s.readAbandonedRest(c, m.answer, collector)
		}
		_ = m.answer.Body.Close()
		m.result.Outcome, m.result.Reason = gypsumrail.Unknown, gypsumrail.ReasonCallerGone
		s.reportEnd(c, began, m.result)
		panic(http.ErrAbortHandler)
	}
	_ = m.answer.Body.Close()
	end := gypsumrail.Result{Outcome: gypsumrail.Ran, Status: m.answer.StatusCode}
	if err != nil {
		end.Outcome, end.Reason = gypsumrail.Unknown, gypsumrail.ReasonBroken
	}
	if m.attempt == 0 {
		s.endRun(c, gypsumrail.TargetDone, end, collector)
	}
	if c.arrival.Origin != gypsumrail.FromPeer {
		s.post(&gypsumrail.Event{Kind: gypsumrail.AnswerDone, Call: rsp.id, Result: &end})
	}
	m.result.Outcome, m.result.Reason = end.Outcome, end.Reason
	s.reportEnd(c, began, m.result)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// writeHead writes the status and the end-to-end headers of an answer.
func writeHead(w http.ResponseWriter, answer *http.Response) {
	h := w.Header()
	wire.CopyEndToEnd(h, answer.Header)
	h.Set(wire.HeaderOutcome, string(gypsumrail.Ran))
	h.Del("Content-Length")
	if answer.ContentLength >= 0 && answer.StatusCode != http.StatusNoContent && answer.StatusCode != http.StatusNotModified {
		h.Set("Content-Length", strconv.FormatInt(answer.ContentLength, 10))
	}
	w.WriteHeader(answer.StatusCode)
}

// copyBody copies the body of an answer through one buffer of chunkBytes, so that
// a slow caller slows the reading. The error wraps errAnswerNotWritten if a write
// failed; any other error is that of the read that cut the body short.
func copyBody(w http.ResponseWriter, answer *http.Response, collector *cache.Collector) error {
	rc := http.NewResponseController(w)
	defer func() { _ = rc.SetWriteDeadline(time.Time{}) }()
	buffer, _ := chunks.Get().(*[chunkBytes]byte)
	defer chunks.Put(buffer)
	for {
		n, err := answer.Body.Read(buffer[:])
		if n > 0 {
			collector.Append(buffer[:n])
			_ = rc.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, werr := w.Write(buffer[:n]); werr != nil {
				return fmt.Errorf("%w: %w", errAnswerNotWritten, werr)
			}
			// An answer of unknown length may be a slow stream of messages, each of
			// which the caller needs at once.
			if answer.ContentLength < 0 {
				if ferr := rc.Flush(); ferr != nil {
					return fmt.Errorf("%w: %w", errAnswerNotWritten, ferr)
				}
			}
		}
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("body of the answer: %w", err)
		}
	}
}
