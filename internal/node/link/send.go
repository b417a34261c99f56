package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"
)

// Silence bounds the time without a receipt of the other node. Zero values
// expect no receipts.
type Silence struct {
	First time.Duration // from the request's headers to the first receipt
	Next  time.Duration // from one receipt to the next, or to the answer
}

// NodeSilence is the bound between nodes, which send a receipt at once and then
// every second.
var NodeSilence = Silence{First: 250 * time.Millisecond, Next: 3 * time.Second}

// stallMax ends an answer whose body brings no data for this long while it is
// being read. A target may pause within an answer, but not forever, because
// the call holds a connection at each hop.
const stallMax = 10 * time.Second

// lateMax is how late a timer may fire before the process counts as having been
// paused. A paused process missed receipts that may be in its socket buffers,
// so the time starts again.
const lateMax = 500 * time.Millisecond

// SendError tells why a request got no answer.
type SendError struct {
	Sent   bool // the request may have reached the other side
	Silent bool // receipts stayed out
	Err    error
}

func (e *SendError) Error() string { return e.Err.Error() }
func (e *SendError) Unwrap() error { return e.Err }

var (
	errSilent  = errors.New("no receipt from the node")
	errStalled = errors.New("the answer stopped")
	// errUnframed is an answer whose end cannot be told from a broken connection.
	errUnframed = errors.New("the answer has neither a length nor chunks")
)

// Send sends a request and returns the answer when its head arrived. The error
// is a *SendError. The caller closes the answer's body, which ends the request;
// a body that is shorter than its declared length, or lacks its last chunk,
// ends with an error other than io.EOF.
func Send(pool *Pool, r *http.Request, silence Silence) (*http.Response, error) {
	if r.Body == nil || r.Body == http.NoBody || r.GetBody != nil {
		return nil, &SendError{Err: errors.New("link: the transport could resend the request")}
	}
	if r.ContentLength == 0 {
		// The body is empty but not http.NoBody, which the transport would announce
		// as chunks. A server that does not read them would not notice that the
		// connection closed. Without a length and chunks the body is empty (RFC 9112,
		// section 6.3).
		r.TransferEncoding = []string{"identity"}
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	w := &watch{cancel: cancel, silence: silence}
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// The headers are complete in the buffer but not flushed yet, so without
		// this hook the other side has not got a whole request.
		WroteHeaders: func() {
			sent.Store(true)
			w.arm(silence.First)
		},
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			w.arm(silence.Next)
			return nil
		},
	})
	answer, err := pool.RoundTrip(r.WithContext(ctx))
	w.stop()
	if err == nil && !framed(r, answer) {
		_ = answer.Body.Close()
		err = errUnframed
	}
	if err != nil {
		silent := errors.Is(context.Cause(ctx), errSilent)
		cancel(nil)
		return nil, &SendError{Sent: sent.Load(), Silent: silent, Err: fmt.Errorf("%s: %w", r.URL.Host, err)}
	}
	answer.Body = &body{ReadCloser: answer.Body, cancel: cancel}
	return answer, nil
}

// framed tells whether the end of the answer can be told from a broken connection.
func framed(r *http.Request, answer *http.Response) bool {
	if r.Method == http.MethodHead || answer.StatusCode == http.StatusNoContent || answer.StatusCode == http.StatusNotModified {
		return true
	}
	return answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0
}

// watch ends a request whose receipts stay out.
type watch struct {
	cancel  context.CancelCauseFunc
	silence Silence

	mu      sync.Mutex
	timer   *time.Timer
	period  time.Duration
	due     time.Time
	stopped bool
}

func (w *watch) arm(period time.Duration) {
	if w.silence == (Silence{}) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.period, w.due = period, time.Now().Add(period)
	if w.timer == nil {
		w.timer = time.AfterFunc(period, w.fire)
		return
	}
	w.timer.Reset(period)
}

func (w *watch) fire() {
	w.mu.Lock()
	late := time.Since(w.due)
	period, stopped := w.period, w.stopped
	w.mu.Unlock()
	switch {
	case stopped || late < 0: // armed again meanwhile
	case late > lateMax:
		w.arm(period)
	default:
		w.cancel(errSilent)
	}
}

func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// body ends its request when it is closed or stalls.
type body struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

func (b *body) Read(p []byte) (int, error) {
	t := time.AfterFunc(stallMax, func() { b.cancel(errStalled) })
	defer t.Stop()
	return b.ReadCloser.Read(p) //nolint:wrapcheck // io.EOF must stay bare
}

func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	if err != nil {
		return fmt.Errorf("link: %w", err)
	}
	return nil
}
