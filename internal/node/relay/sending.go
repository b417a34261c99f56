package relay

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/gypsumrail/gypsumrail/internal/node/form"
)

// sending is the writing of a request, the last part of which may go on while the answer is
// read. Its methods are not safe for concurrent use.
type sending struct {
	done chan struct{} // closed at the end of a concurrent write; nil if there is none
	err  error         // of the write; guarded by done, if that is not nil
}

// start writes the rest of a request in a goroutine of its own.
func (s *sending) start(conn net.Conn, rest body) {
	done := make(chan struct{})
	s.done = done
	go func() {
		defer close(done)
		s.err = rest.writeTo(conn)
	}()
}

// finish records the error of a write that is not concurrent.
func (s *sending) finish(err error) { s.err = err }

// isComplete reports whether the whole request has been written.
func (s *sending) isComplete() bool {
	if s.done != nil {
		select {
		case <-s.done:
		default:
			return false
		}
	}
	return s.err == nil
}

// checkEnd is called when a read has found the end of the connection. It ends the write, and
// returns an error with the fault form.Truncated if the other side did not end the connection
// in order.
//
// The kernel reports a reset once, to the call that comes first. If that is the write, the read
// finds an end as after a close in order, so only the write knows. A write that still waits at
// the end of the connection was told of no reset: the other side has closed its direction only,
// as one may that answers before it has read the whole request. A reset that follows such a
// close is reported as EPIPE, and the answer before it is whole.
func (s *sending) checkEnd(conn net.Conn) error {
	if s.done != nil {
		_ = conn.SetWriteDeadline(time.Unix(1, 0))
		<-s.done
	}
	if s.err == nil || errors.Is(s.err, os.ErrDeadlineExceeded) || errors.Is(s.err, syscall.EPIPE) {
		return nil
	}
	return form.New(form.Truncated, fmt.Errorf("reset amid a body without a length: %w", s.err))
}
