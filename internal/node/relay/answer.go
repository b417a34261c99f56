package relay

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/form"
	"github.com/gypsumrail/gypsumrail/internal/node/pool"
	"github.com/gypsumrail/gypsumrail/internal/node/quota"
)

// AnswerBytesMax bounds the body of one answer, which is buffered whole.
const AnswerBytesMax = 16 << 20

// answerReader reads one answer.
type answerReader struct {
	blockReader
	quota   *quota.Quota
	target  string
	attempt *attempt
	until   time.Time // wait for memory until then
}

// read reads an answer with its whole body. The response gets only the head, and the
// trailer of a chunked body. The error is a givenUpError if there was no memory for it.
func (b *answerReader) read(conn *pool.Conn, response *fasthttp.Response, isHead bool) error {
	b.drop()
	err := b.readAnswer(conn, response, isHead)
	if err == nil && !b.complete() || err != nil && b.attempt.isAborted() {
		err = givenUpError(b.bytes)
	}
	if err != nil {
		b.drop()
	}
	return err
}

func (b *answerReader) readAnswer(conn *pool.Conn, response *fasthttp.Response, isHead bool) error {
	if err := readHead(conn, response); err != nil {
		return form.OfHead(err) //nolint:wrapcheck // it says what is wrong
	}
	if isHead || !hasBody(response.StatusCode()) {
		return nil
	}
	err := b.readBody(conn, response)
	if isGivenUp(err) {
		return err
	}
	return form.OfBody(err) //nolint:wrapcheck // it says what is wrong
}

// readHead reads the head of an answer, and skips interim responses before it.
func readHead(conn *pool.Conn, response *fasthttp.Response) error {
	if err := skipInterims(conn.Reader, response); err != nil {
		return err
	}
	response.Reset()
	response.SkipBody = true
	if err := response.ReadLimitBody(conn.Reader, 0); err != nil {
		return err //nolint:wrapcheck // form.OfHead classifies it
	}
	return checkFields(&response.Header)
}

// checkFields checks what of a head or trailer the library reads and a response must not have.
func checkFields(h *fasthttp.ResponseHeader) error {
	if err := form.CheckReason(h.StatusMessage()); err != nil {
		return err //nolint:wrapcheck // it says what is wrong
	}
	for name := range h.All() {
		if err := form.CheckName(name); err != nil {
			return err //nolint:wrapcheck // it says what is wrong
		}
	}
	for name := range h.Trailers() {
		if err := form.CheckName(name); err != nil {
			return err //nolint:wrapcheck // it says what is wrong
		}
	}
	return nil
}

// readBody reads the body of an answer, and its trailer if it is chunked.
func (b *answerReader) readBody(conn *pool.Conn, response *fasthttp.Response) error {
	length := response.Header.ContentLength()
	response.SkipBody, response.StreamBody = false, true
	if err := response.ReadBody(conn.Reader, 0); err != nil {
		return err //nolint:wrapcheck // form.OfBody classifies it
	}
	defer func() { _ = response.CloseBodyStream() }()
	if err := b.readBlocks(response.BodyStream(), length, b); err != nil {
		return err
	}
	return checkFields(&response.Header) // with those of the trailer
}

// open implements memory.
func (b *answerReader) open() *quota.Hold { return b.quota.Open(b.target, b.attempt.abort) }

// wait implements memory. While complete answers fill the memory, the target's connection
// fills up.
func (b *answerReader) wait(released <-chan struct{}) error {
	select {
	case <-released:
		return nil
	case <-b.attempt.canceling:
		return net.ErrClosed
	case <-time.After(time.Until(b.until)):
		return os.ErrDeadlineExceeded
	}
}

// skipInterims reads the interim responses before a response, and checks the first line of the
// response without reading it. It must be checked before the library reads it, whose type for
// a head takes the status 0 for 200.
func skipInterims(reader *bufio.Reader, response *fasthttp.Response) error {
	for range form.InterimMax + 1 {
		code, err := peekStatus(reader)
		if err != nil {
			return err
		}
		if !form.IsInterim(code) {
			return nil
		}
		response.Reset()
		if err := response.Header.Read(reader); err != nil {
			return err //nolint:wrapcheck // form.OfHead classifies it
		}
		if err := checkFields(&response.Header); err != nil {
			return err
		}
	}
	return form.New(form.Interims, nil)
}

// peekStatus returns the status in the first line of a head. It reads no more than has arrived
// as long as that tells, because a side in trouble may send less than a line and wait.
func peekStatus(reader *bufio.Reader) (int, error) {
	for n := 1; ; {
		head, err := reader.Peek(max(n, reader.Buffered()))
		if err != nil {
			return 0, err //nolint:wrapcheck // form.OfHead classifies it
		}
		if code, err := form.Line(head); code > 0 || err != nil {
			return code, err //nolint:wrapcheck // it says what is wrong
		}
		n = len(head) + 1
	}
}

// hasBody reports whether an answer with a status can have a body (RFC 9112, section 6.3).
func hasBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// logGivenUp logs the error of an exchange if the answer was given up for lack of memory.
func (r *Relay) logGivenUp(c *call, x *httpExchange, err error) {
	var givenUp givenUpError
	if !errors.As(err, &givenUp) {
		return
	}
	usage := r.parts.Answers.Usage()
	r.log.Put(NoticeAnswerGivenUp, c.request, gypsumrail.ReasonNone, "Target="+x.answer.target+" Class="+c.arrival.Class+
		countField(" Bytes", int(givenUp))+countField(" Took", int(time.Since(x.began).Milliseconds()))+
		countField(" Reading", int(usage.Reading))+countField(" Ready", int(usage.Ready))+countField(" Bound", int(usage.Bound)))
}
