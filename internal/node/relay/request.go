package relay

import (
	"bufio"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gypsumrail/gypsumrail/internal/node/quota"
)

// requestReader reads the body of one request.
type requestReader struct {
	blockReader
	quota *quota.Quota
	net   net.Conn
}

// read reads the body of a request whose head has been read. The error is a givenUpError if there
// was no memory for it, and fasthttp.ErrBodyTooLarge if it is longer than bytesMax.
func (b *requestReader) read(request *fasthttp.Request, reader *bufio.Reader, bytesMax int) error {
	err := b.readBody(request, reader, bytesMax)
	if !b.complete() {
		err = givenUpError(b.bytes)
	}
	if err != nil {
		b.drop()
	}
	return err
}

func (b *requestReader) readBody(request *fasthttp.Request, reader *bufio.Reader, bytesMax int) error {
	length := request.Header.ContentLength()
	if err := request.ContinueReadBodyStream(reader, bytesMax, false); err != nil {
		return err //nolint:wrapcheck // rejectUnreadable classifies it
	}
	stream := request.BodyStream()
	if stream == nil {
		return nil
	}
	defer func() { _ = request.CloseBodyStream() }()
	if err := b.readBlocks(&boundedStream{stream: stream, length: length, bytesMax: bytesMax}, length, b); err != nil {
		return err
	}
	if len(b.body) == 0 {
		request.Header.SetContentLength(0) // also for an empty body in chunks
	}
	return nil
}

// open implements memory. The reading of a body that is given up ends at once, by a deadline.
func (b *requestReader) open() *quota.Hold {
	from, _, err := net.SplitHostPort(b.net.RemoteAddr().String())
	if err != nil {
		from = b.net.RemoteAddr().String()
	}
	return b.quota.Open(from, func() { _ = b.net.SetReadDeadline(time.Unix(1, 0)) })
}

// wait implements memory. A request for which there is no memory is refused at once.
func (b *requestReader) wait(<-chan struct{}) error { return givenUpError(b.bytes) }

// boundedStream is the body of a request. The library takes the end of the connection for that of
// a body with a length, and does not bound one in chunks.
type boundedStream struct {
	stream           io.Reader
	length, bytesMax int // the length is negative if it is not known
	read             int
}

func (s *boundedStream) Read(p []byte) (int, error) {
	n, err := s.stream.Read(p)
	s.read += n
	switch {
	case s.read > s.bytesMax:
		return n, fasthttp.ErrBodyTooLarge
	case err == io.EOF && s.read < s.length:
		return n, io.ErrUnexpectedEOF
	}
	return n, err //nolint:wrapcheck // io.EOF must stay bare
}
