package relay

import (
	"errors"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/form"
	"github.com/gypsumrail/gypsumrail/internal/node/pool"
)

const (
	// directWriteBytesMax bounds what is written before the answer is read. It fits
	// the socket's buffer, so the write does not wait for the other side to read.
	directWriteBytesMax = 16 << 10
	// readGrace is how long after the deadline an answer is still read. The reducer
	// cancels an attempt at its deadline, so this only bounds attempts that it
	// failed to cancel.
	readGrace = 2 * time.Second
	// mismatchedAnswersMax bounds the answers to other requests that an exchange
	// skips. They occur because a target may send one answer twice.
	mismatchedAnswersMax = 2
)

// errNotSent means that no byte of the request was sent, so it cannot run.
var errNotSent = errors.New("no byte of the request was sent")

var responses = sync.Pool{New: func() any { return new(fasthttp.Response) }}

// httpExchange sends one request on a pooled connection and reads its answer.
type httpExchange struct {
	pool     *pool.Pool
	host     string
	message  []byte // the head and as much of the body as is written before the answer is read
	rest     body   // what is left of the body
	request  string // identity that the answer must echo; see read
	header   string // name of the header with the identity
	isHead   bool
	deadline time.Time // for sending; the answer is read until readGrace after it
	answer   answerReader
	began    time.Time
	sending  sending

	unidentified bool // the answer has no identity, so what it states proves nothing about the request
}

// setMessage sets the request to a head and a body. It does not copy a large body, which
// the call holds already.
func (x *httpExchange) setMessage(head []byte, body body) {
	direct, rest := body.split(min(body.size(), max(directWriteBytesMax-len(head), 0)))
	x.message, x.rest = slices.Concat(head, direct), rest
}

// do sends the request, reads its answer into response and returns the connection
// to the pool if it can be reused. The body is in x.answer then, whose drop the caller
// must call. An error that wraps errNotSent or pool.ErrConnect means that the request
// cannot run.
func (x *httpExchange) do(a *attempt, response *fasthttp.Response) error {
	x.began = time.Now()
	response.Reset() // it comes from a pool, and a failed exchange may read no head into it
	x.answer.attempt, x.answer.until = a, x.deadline.Add(readGrace)
	conn, err := x.open(a)
	if err != nil {
		return err
	}
	mismatched, err := x.read(conn, response)
	if canceled := a.release(); err != nil || canceled {
		_ = conn.Close()
		return err
	}
	keep, reusable := keepAlive(response)
	if mismatched > 0 || !reusable || conn.Reader.Buffered() > 0 {
		_ = conn.Close()
		return nil
	}
	_ = conn.SetDeadline(time.Time{})
	conn.Used = true
	x.pool.Put(conn, keep)
	return nil
}

// open gets a connection and writes the request to it. If a reused connection
// fails before the first byte is sent, open tries another one.
func (x *httpExchange) open(a *attempt) (*pool.Conn, error) {
	for {
		if time.Now().After(x.deadline) {
			// The process was paused, or getting a connection took too long.
			a.release()
			return nil, errNotSent
		}
		conn, err := x.pool.Get(x.host)
		if err != nil {
			return nil, err //nolint:wrapcheck // the pool's error says what failed
		}
		if !a.bind(conn) {
			a.release()
			_ = conn.Close()
			return nil, errNotSent
		}
		_ = conn.SetDeadline(x.deadline.Add(readGrace))
		sent, err := x.write(conn)
		if err == nil || sent > 0 {
			// The other side may answer even a request that was sent in part.
			return conn, nil
		}
		canceled := a.release()
		_ = conn.Close()
		if canceled || !conn.Reused {
			return nil, errors.Join(errNotSent, err)
		}
	}
}

// write writes the request and returns the number of bytes sent. The rest of a
// request above directWriteBytesMax is written concurrently with the reading of
// the answer, because the other side may answer before it has read the whole
// request.
func (x *httpExchange) write(conn *pool.Conn) (int, error) {
	x.sending = sending{}
	sent, err := conn.Write(x.message)
	if err != nil {
		x.sending.finish(err)
		return sent, err //nolint:wrapcheck // open classifies it
	}
	if len(x.rest) > 0 {
		x.sending.start(conn, x.rest)
	}
	return sent, nil
}

// read reads the answer to the request and returns the number of answers to other
// requests that it skipped. An answer without an identity may be a copy of an earlier one
// if the connection carried another request before; it is skipped then. Otherwise it is
// taken if it states an error, and no other request follows on the connection.
func (x *httpExchange) read(conn *pool.Conn, response *fasthttp.Response) (int, error) {
	for mismatched := 0; ; mismatched++ {
		if err := x.answer.read(conn, response, x.isHead); err != nil {
			return mismatched, err
		}
		if endsWithConnection(response, x.isHead) {
			if err := x.sending.checkEnd(conn); err != nil {
				return mismatched, err
			}
		}
		if !x.sending.isComplete() {
			// The other side answered before the whole request was written. No other
			// request may follow on this connection.
			response.Header.SetConnectionClose()
		}
		echoed := response.Header.Peek(x.header)
		if string(echoed) == x.request {
			return mismatched, nil
		}
		if len(echoed) == 0 && !conn.Used && mismatched == 0 && response.StatusCode() >= http.StatusMultipleChoices {
			x.unidentified = true
			response.Header.SetConnectionClose()
			return mismatched, nil
		}
		if mismatched == mismatchedAnswersMax {
			return mismatched, form.New(form.Identity, nil)
		}
	}
}

// keepAlive returns whether a connection can carry another exchange, and how long
// it may stay idle: the timeout of the Keep-Alive header less one second for the
// network, or 0 if the answer states none.
func keepAlive(response *fasthttp.Response) (time.Duration, bool) {
	h := &response.Header
	if response.ConnectionClose() || h.ContentLength() == untilCloseLength || !strings.EqualFold(string(h.Protocol()), "HTTP/1.1") {
		return 0, false
	}
	for part := range strings.SplitSeq(string(h.Peek("Keep-Alive")), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			keep := time.Duration(seconds)*time.Second - time.Second
			return max(keep, time.Millisecond), seconds > 0
		}
	}
	return 0, true
}

// untilCloseLength is the ContentLength that fasthttp reports for a body that ends
// when the connection closes.
const untilCloseLength = -2

// endsWithConnection reports whether only the end of the connection marks that of an answer.
func endsWithConnection(response *fasthttp.Response, isHead bool) bool {
	return !isHead && hasBody(response.StatusCode()) && response.Header.ContentLength() == untilCloseLength
}

// resultOf returns the outcome and reason of a call whose HTTP exchange failed with err:
// NotRun if the request was not sent, otherwise Unknown.
func resultOf(err error) *gypsumrail.Result {
	result := &gypsumrail.Result{Outcome: gypsumrail.Unknown, Reason: gypsumrail.ReasonBroken}
	switch {
	case errors.Is(err, errNotSent), errors.Is(err, pool.ErrConnect):
		result.Outcome, result.Reason = gypsumrail.NotRun, gypsumrail.ReasonConnect
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, syscall.ETIMEDOUT):
		result.Reason = gypsumrail.ReasonSilent
	case errors.Is(err, io.EOF), errors.Is(err, syscall.ECONNRESET):
	}
	return result
}
