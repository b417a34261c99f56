package client

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

	"github.com/gypsumrail/gypsumrail/internal/node/form"
)

// ReceiptTimeouts bounds the time that Send waits for a receipt: an interim
// response (HTTP 1xx) by which the other node shows that it still works on the
// request. The zero value expects no receipts.
type ReceiptTimeouts struct {
	First time.Duration // from sending the request's headers to the first receipt
	Next  time.Duration // from one receipt to the next, or to the answer
}

// NodeReceiptTimeouts are the timeouts between nodes. A node sends a receipt when
// it gets a request, and then one every second.
var NodeReceiptTimeouts = ReceiptTimeouts{First: 250 * time.Millisecond, Next: 3 * time.Second}

// bodyStallTimeout is the longest time that a read of an answer's body waits
// for data. The request is then canceled. A target may pause within an answer,
// but not forever, because the call occupies a connection at each hop.
const bodyStallTimeout = 10 * time.Second

// timerDelayMax is the largest accepted delay of a timer. A larger one means that
// the whole process was paused. Receipts may then wait unread in the socket
// buffers, so the timer starts again.
const timerDelayMax = 500 * time.Millisecond

// SendError is the error of a request that got no answer.
type SendError struct {
	Sent            bool // the request may have reached the other side
	ReceiptTimedOut bool // a receipt was not received in time, see ReceiptTimeouts
	Err             error
}

func (e *SendError) Error() string { return e.Err.Error() }
func (e *SendError) Unwrap() error { return e.Err }

var (
	errNoReceipt = errors.New("no receipt from the node within the time limit")
	errStalled   = errors.New("the body of the answer stalled")
)

// Send sends a request once and returns when the headers of the answer have
// arrived. The error is a *SendError. The request's body must come from
// RequestBody.Open. The caller must close the answer's body, which ends the request.
// Reading a body that is shorter than its declared length, or lacks its last
// chunk, fails with an error other than io.EOF.
func Send(pool *Pool, r *http.Request, timeouts ReceiptTimeouts) (*http.Response, error) {
	if r.Body == nil || r.Body == http.NoBody || r.GetBody != nil {
		return nil, &SendError{Err: errors.New("client: the request's body can be rewound, so the transport could resend it")}
	}
	if r.ContentLength == 0 {
		// The body is empty but not http.NoBody, so the transport would send it
		// in chunked encoding. A server that does not read the chunks would not
		// notice that the connection closed. A request with neither a length
		// nor chunks has an empty body (RFC 9112, section 6.3).
		r.TransferEncoding = []string{"identity"}
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	timer := &receiptTimer{cancel: cancel, timeouts: timeouts}
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// This hook runs when the headers are in the write buffer but not
		// flushed. Before it, the other side cannot have received the whole
		// request.
		WroteHeaders: func() {
			sent.Store(true)
			timer.reset(timeouts.First)
		},
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
			timer.reset(timeouts.Next)
			return form.CheckNames(http.Header(header)) //nolint:wrapcheck // it says what is wrong
		},
	})
	answer, err := pool.RoundTrip(r.WithContext(ctx))
	timer.stop()
	if err != nil {
		timedOut := errors.Is(context.Cause(ctx), errNoReceipt)
		cancel(nil)
		return nil, &SendError{Sent: sent.Load(), ReceiptTimedOut: timedOut, Err: fmt.Errorf("%s: %w", r.URL.Host, err)}
	}
	answer.Body = &answerBody{ReadCloser: answer.Body, cancel: cancel}
	return answer, nil
}

// receiptTimer cancels a request if the next receipt does not arrive in time.
type receiptTimer struct {
	cancel   context.CancelCauseFunc
	timeouts ReceiptTimeouts

	mu       sync.Mutex
	timer    *time.Timer
	period   time.Duration
	deadline time.Time
	stopped  bool
}

func (t *receiptTimer) reset(period time.Duration) {
	if t.timeouts == (ReceiptTimeouts{}) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	t.period, t.deadline = period, time.Now().Add(period)
	if t.timer == nil {
		t.timer = time.AfterFunc(period, t.expire)
		return
	}
	t.timer.Reset(period)
}

func (t *receiptTimer) expire() {
	t.mu.Lock()
	late := time.Since(t.deadline)
	period, stopped := t.period, t.stopped
	t.mu.Unlock()
	switch {
	case stopped || late < 0: // stopped or reset since the timer fired
	case late > timerDelayMax:
		t.reset(period)
	default:
		t.cancel(errNoReceipt)
	}
}

func (t *receiptTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	if t.timer != nil {
		t.timer.Stop()
	}
}

// answerBody is the body of an answer. It ends the request when it is closed,
// or when a read waits longer than bodyStallTimeout.
type answerBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

func (b *answerBody) Read(p []byte) (int, error) {
	t := time.AfterFunc(bodyStallTimeout, func() { b.cancel(errStalled) })
	defer t.Stop()
	return b.ReadCloser.Read(p) //nolint:wrapcheck // io.EOF must stay bare
}

func (b *answerBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	if err != nil {
		return fmt.Errorf("client: %w", err)
	}
	return nil
}
