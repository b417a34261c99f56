package relay

import (
	"errors"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/pool"
)

const (
	// answerBytes bounds the body of an answer, which is held whole.
	answerBytes = 16 << 20
	// wholeWrite is the size up to which a request is written at once: it fits the
	// socket's buffer, so the write does not wait for the other side to read.
	wholeWrite = 16 << 10
	// graceTime is how long past the deadline an answer is still read; the reducer
	// ends the attempt at the deadline, so this only bounds forgotten ones.
	graceTime = 2 * time.Second
	// straysMax bounds the answers to other requests that are passed over on one
	// connection, as a target may send one answer twice.
	straysMax = 2
)

// Errors of an exchange.
var (
	// errNothingSent means that the other side got no byte of the request.
	errNothingSent = errors.New("nothing was sent")
	// errStray means that the connection carried answers to other requests only.
	errStray = errors.New("the answer belongs to another request")
)

var responses = sync.Pool{New: func() any { return new(fasthttp.Response) }}

// exchange is one request and its answer on a pooled connection.
type exchange struct {
	pool     *pool.Pool
	host     string
	message  []byte
	request  string // identity that the answer must echo
	header   string // name of the header with the identity
	isHead   bool
	deadline time.Time // until which the request may be sent; its answer is read a little longer
}

// do sends the request once and reads its answer into response. An error that
// wraps errNothingSent or pool.ErrConnect means that the request cannot run.
func (x *exchange) do(a *attempt, response *fasthttp.Response) error {
	conn, err := x.open(a)
	if err != nil {
		return err
	}
	strays, err := x.read(conn, response)
	if canceled := a.release(); err != nil || canceled {
		_ = conn.Close()
		return err
	}
	keep, reusable := keepAlive(response)
	if strays > 0 || !reusable || conn.Reader.Buffered() > 0 {
		_ = conn.Close()
		return nil
	}
	_ = conn.SetDeadline(time.Time{})
	x.pool.Put(conn, keep)
	return nil
}

// open gets a connection and writes the request to it.
func (x *exchange) open(a *attempt) (*pool.Conn, error) {
	for {
		if time.Now().After(x.deadline) {
			// The process was paused, or waited too long for a connection.
			a.release()
			return nil, errNothingSent
		}
		conn, err := x.pool.Get(x.host)
		if err != nil {
			return nil, err //nolint:wrapcheck // the pool's error says what failed
		}
		if !a.bind(conn) {
			a.release()
			_ = conn.Close()
			return nil, errNothingSent
		}
		_ = conn.SetDeadline(x.deadline.Add(graceTime))
		sent, err := x.write(conn)
		if err == nil || sent > 0 {
			// A write that stopped midway may be followed by an answer all the same.
			return conn, nil
		}
		canceled := a.release()
		_ = conn.Close()
		if canceled || !conn.Reused {
			return nil, errors.Join(errNothingSent, err)
		}
	}
}

// write writes the request. A long one is written beside the reading of the
// answer, which may come before the whole request was taken.
func (x *exchange) write(conn *pool.Conn) (int, error) {
	if len(x.message) <= wholeWrite {
		return conn.Write(x.message) //nolint:wrapcheck // open tells what it means
	}
	sent, err := conn.Write(x.message[:wholeWrite])
	if err != nil {
		return sent, err //nolint:wrapcheck // as above
	}
	conn.Unsent.Add(1)
	go func() {
		if _, err := conn.Write(x.message[wholeWrite:]); err == nil {
			conn.Unsent.Add(-1)
		}
	}()
	return sent, nil
}

// read reads the answer to the request and returns how many answers to other
// requests came before it.
func (x *exchange) read(conn *pool.Conn, response *fasthttp.Response) (int, error) {
	for strays := 0; ; strays++ {
		response.Reset()
		response.SkipBody = x.isHead
		if err := response.ReadLimitBody(conn.Reader, answerBytes); err != nil {
			return strays, err //nolint:wrapcheck // reasonOf tells what it means
		}
		if conn.Unsent.Load() > 0 {
			// The other side answered early. What is left of the request must not be
			// followed by another one.
			response.Header.SetConnectionClose()
		}
		echoed := response.Header.Peek(x.header)
		if string(echoed) == x.request || len(echoed) == 0 && response.StatusCode() >= 300 {
			return strays, nil
		}
		if strays == straysMax {
			return strays, errStray
		}
	}
}

// keepAlive tells whether a connection can carry another exchange, and for how
// long its other end keeps it, less a second for the way; zero if it does not say.
func keepAlive(response *fasthttp.Response) (time.Duration, bool) {
	h := &response.Header
	if response.ConnectionClose() || h.ContentLength() == identityLength || !strings.EqualFold(string(h.Protocol()), "HTTP/1.1") {
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

// identityLength is fasthttp's length of a body that ends with its connection.
const identityLength = -2

// failure turns the error of an exchange into what it means for the call.
func failure(err error) *gypsumrail.Result {
	result := &gypsumrail.Result{Outcome: gypsumrail.Unknown, Reason: gypsumrail.ReasonBroken}
	switch {
	case errors.Is(err, errNothingSent), errors.Is(err, pool.ErrConnect):
		result.Outcome, result.Reason = gypsumrail.NotRun, gypsumrail.ReasonConnect
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, syscall.ETIMEDOUT):
		result.Reason = gypsumrail.ReasonSilent
	case errors.Is(err, io.EOF), errors.Is(err, syscall.ECONNRESET):
	}
	return result
}
