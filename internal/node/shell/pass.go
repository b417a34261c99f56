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
	// chunkBytes is the memory that one streamed body takes at this node, besides
	// the buffers of its connections.
	chunkBytes = 32 << 10
	// writeTime bounds the wait for a caller that does not read its answer.
	writeTime = 30 * time.Second
)

var chunks = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// errCallerLeft means that the answer could not be written.
var errCallerLeft = errors.New("the caller left")

// pass writes the answer of a call.
func (s *Shell) pass(w http.ResponseWriter, k *sink, m message, began time.Time) {
	c := k.call
	s.farewell(w, c.arrival.Origin)
	fromPeer := c.arrival.Origin == gypsumrail.FromPeer
	if fromPeer {
		wire.SetAnswer(w.Header(), c.attemptID, m.result)
	}
	switch {
	case m.problem != nil:
		m.result.Status = wire.StatusOf(m.problem.Reason)
		wire.WriteProblem(w, *m.problem)
		s.ended(c, began, m.result)
	case m.kept != nil:
		m.result.Status = m.kept.Status()
		m.kept.Write(w)
		s.ended(c, began, m.result)
	default:
		m.result.Status = m.answer.StatusCode
		s.passBody(w, k, m, began)
	}
}

// farewell closes the connection of a caller with the answer of a draining node,
// so that the caller looks for another one.
func (s *Shell) farewell(w http.ResponseWriter, origin gypsumrail.Origin) {
	if origin == gypsumrail.FromCaller && s.ready.draining.Load() {
		w.Header().Set("Connection", "close")
	}
}

// passBody streams an answer and tells the reducer how it ended. An answer that
// is not whole aborts the connection, so that it never looks whole.
func (s *Shell) passBody(w http.ResponseWriter, k *sink, m message, began time.Time) {
	c := k.call
	var keep *cache.Keeper
	if m.attempt == 0 {
		keep = cache.NewKeeper(c.run.key, c.arrival.Fingerprint, m.answer)
	}
	writeHead(w, m.answer)
	err := stream32(w, m.answer, keep)
	if errors.Is(err, errCallerLeft) {
		s.post(&gypsumrail.Event{Kind: gypsumrail.CallerGone, Call: k.id})
		if m.attempt == 0 {
			s.finishUnreadWith(c, m.answer, keep)
		}
		_ = m.answer.Body.Close()
		m.result.Outcome, m.result.Reason = gypsumrail.Unknown, gypsumrail.ReasonCallerGone
		s.ended(c, began, m.result)
		panic(http.ErrAbortHandler)
	}
	_ = m.answer.Body.Close()
	end := gypsumrail.Result{Outcome: gypsumrail.Ran, Status: m.answer.StatusCode}
	if err != nil {
		end.Outcome, end.Reason = gypsumrail.Unknown, gypsumrail.ReasonBroken
	}
	if m.attempt == 0 {
		s.endRun(c, gypsumrail.TargetDone, end, keep)
	}
	if c.arrival.Origin != gypsumrail.FromPeer {
		s.post(&gypsumrail.Event{Kind: gypsumrail.AnswerDone, Call: k.id, Result: &end})
	}
	m.result.Outcome, m.result.Reason = end.Outcome, end.Reason
	s.ended(c, began, m.result)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

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

// stream32 copies a body with one chunk of memory. The writer's flow control
// slows the reader. The error is errCallerLeft, or tells why the body is not whole.
func stream32(w http.ResponseWriter, answer *http.Response, keep *cache.Keeper) error {
	control := http.NewResponseController(w)
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	buffer, _ := chunks.Get().(*[chunkBytes]byte)
	defer chunks.Put(buffer)
	for {
		n, err := answer.Body.Read(buffer[:])
		if n > 0 {
			keep.Take(buffer[:n])
			_ = control.SetWriteDeadline(time.Now().Add(writeTime))
			if _, werr := w.Write(buffer[:n]); werr != nil {
				return fmt.Errorf("%w: %w", errCallerLeft, werr)
			}
			// An answer of unknown length may be a slow sequence that the caller
			// reads as it comes.
			if answer.ContentLength < 0 {
				if ferr := control.Flush(); ferr != nil {
					return fmt.Errorf("%w: %w", errCallerLeft, ferr)
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
