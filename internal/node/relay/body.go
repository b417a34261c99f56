package relay

import (
	"bufio"
	"errors"
	"io"
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

const (
	// AnswerBytesMax bounds the body of one answer, which is buffered whole.
	AnswerBytesMax = 16 << 20
	// uncountedBytesMax is the largest body that does not count towards the quota. Bodies
	// up to this size are bounded by the number of connections, and are most of all
	// answers.
	uncountedBytesMax = 16 << 10
	// Blocks of a body grow from the first to the second size, so that a body is never
	// copied and little of its last block is unused.
	blockBytesMin = 4 << 10
	blockBytesMax = 64 << 10
)

// givenUpError means that an answer was too long, alone or beside the others that the
// node holds. It carries the bytes read.
type givenUpError int64

// isGivenUp reports whether an exchange failed because its answer was given up. This says
// nothing about whether the target still lives.
func isGivenUp(err error) bool {
	var givenUp givenUpError
	return errors.As(err, &givenUp)
}

func (givenUpError) Error() string { return "the answer is too long for the memory that is left" }

// body is the body of an answer. Its blocks are never empty.
type body [][]byte

func (b body) size() int {
	n := 0
	for _, block := range b {
		n += len(block)
	}
	return n
}

// bodyReader reads the body of one answer.
type bodyReader struct {
	quota   *quota.Quota
	target  string
	attempt *attempt
	until   time.Time // wait for memory until then

	hold  *quota.Hold // nil while the body is short
	bytes int64       // of the blocks
	body  body
}

// read reads an answer with its whole body. The response gets only the head, and the
// trailer of a chunked body. The error is a givenUpError if there was no memory for it.
func (b *bodyReader) read(conn *pool.Conn, response *fasthttp.Response, isHead bool) error {
	b.drop()
	err := b.readAnswer(conn, response, isHead)
	if err == nil && b.hold != nil && !b.hold.Complete() || err != nil && b.attempt.isAborted() {
		err = givenUpError(b.bytes)
	}
	if err != nil {
		b.drop()
	}
	return err
}

func (b *bodyReader) readAnswer(conn *pool.Conn, response *fasthttp.Response, isHead bool) error {
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
func (b *bodyReader) readBody(conn *pool.Conn, response *fasthttp.Response) error {
	length := response.Header.ContentLength()
	response.SkipBody, response.StreamBody = false, true
	if err := response.ReadBody(conn.Reader, 0); err != nil {
		return err //nolint:wrapcheck // form.OfBody classifies it
	}
	defer func() { _ = response.CloseBodyStream() }()
	stream := response.BodyStream()
	for {
		block, err := b.readBlock(stream, length)
		if len(block) > 0 {
			b.body = append(b.body, block)
		}
		if err == io.EOF { //nolint:errorlint // a wrapped EOF is a broken body
			return checkFields(&response.Header) // with those of the trailer
		}
		if err != nil {
			return err
		}
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

// readBlock reads the next block of a body whose length is negative if it is unknown. At
// the end of the body it returns io.EOF, with the last block if there is one.
func (b *bodyReader) readBlock(stream io.Reader, length int) ([]byte, error) {
	size := min(max(int(b.bytes), blockBytesMin), blockBytesMax)
	if length >= 0 {
		left := length - int(b.bytes)
		if left <= uncountedBytesMax && b.hold == nil || left < size {
			size = left
		}
	}
	if size > 0 {
		if err := b.reserve(int64(size)); err != nil {
			return nil, err
		}
	} else {
		size = 1 // the stream returns io.EOF
	}
	block := make([]byte, size)
	for n := 0; ; {
		got, err := stream.Read(block[n:])
		n += got
		if err != nil || n == len(block) {
			return block[:n], err //nolint:wrapcheck // io.EOF must stay bare
		}
	}
}

// reserve reserves memory for a block. While complete answers fill the memory it waits,
// so that the target's connection fills up instead.
func (b *bodyReader) reserve(n int64) error {
	b.bytes += n
	if b.bytes <= uncountedBytesMax {
		return nil
	}
	if b.hold == nil {
		b.hold = b.quota.Open(b.target, b.attempt.abort)
		n = b.bytes
	}
	for {
		verdict, released := b.hold.Reserve(n)
		switch verdict {
		case quota.Granted:
			return nil
		case quota.GivenUp:
			return givenUpError(b.bytes)
		case quota.Wait:
		}
		select {
		case <-released:
		case <-b.attempt.canceling:
			return net.ErrClosed
		case <-time.After(time.Until(b.until)):
			return os.ErrDeadlineExceeded
		}
	}
}

// drop releases the memory of a body that is not passed on.
func (b *bodyReader) drop() {
	b.hold.Release()
	b.hold, b.bytes, b.body = nil, 0, nil
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
