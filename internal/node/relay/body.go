package relay

import (
	"errors"
	"io"

	"github.com/gypsumrail/gypsumrail/internal/node/quota"
)

const (
	// uncountedBytesMax is the largest body that does not count towards the quota. Bodies
	// up to this size are bounded by the number of connections, and are most of all.
	uncountedBytesMax = 16 << 10
	// Blocks of a body grow from the first to the second size, so that a body is never
	// copied and little of its last block is unused.
	blockBytesMin = 4 << 10
	blockBytesMax = 64 << 10
)

// givenUpError means that a body was too long, alone or beside the others that the node holds.
// It carries the bytes read.
type givenUpError int64

// isGivenUp reports whether the reading of a body was given up. This says nothing about whether
// the other side still lives.
func isGivenUp(err error) bool {
	var givenUp givenUpError
	return errors.As(err, &givenUp)
}

func (givenUpError) Error() string { return "the body is too long for the memory that is left" }

// body is the body of a request or an answer. Its blocks are never empty.
type body [][]byte

func (b body) size() int {
	n := 0
	for _, block := range b {
		n += len(block)
	}
	return n
}

// split returns the first n bytes in one piece, and the blocks of the rest.
func (b body) split(n int) (first []byte, rest body) {
	for i, block := range b {
		if n <= len(block) {
			first = append(first, block[:n]...)
			if n < len(block) {
				rest = append(rest, block[n:])
			}
			return first, append(rest, b[i+1:]...)
		}
		first = append(first, block...)
		n -= len(block)
	}
	return first, nil
}

// writeTo writes the blocks one after the other.
func (b body) writeTo(w io.Writer) error {
	for _, block := range b {
		if _, err := w.Write(block); err != nil {
			return err //nolint:wrapcheck // the caller classifies it
		}
	}
	return nil
}

// memory gives a body its share of a quota.
type memory interface {
	// open is called once, when the body gets long.
	open() *quota.Hold
	// wait is called when there is no memory. It returns nil once it makes sense to ask
	// again, or the error to end with.
	wait(released <-chan struct{}) error
}

// blockReader reads a body in blocks, for which it reserves memory as they arrive.
type blockReader struct {
	hold  *quota.Hold // nil while the body is short
	bytes int64       // of the blocks
	body  body
}

// readBlocks reads a body whose length is negative if it is unknown. The error is a
// givenUpError if there was no memory for it.
func (b *blockReader) readBlocks(stream io.Reader, length int, m memory) error {
	for {
		block, err := b.readBlock(stream, length, m)
		if len(block) > 0 {
			b.body = append(b.body, block)
		}
		if err == io.EOF { //nolint:errorlint // a wrapped EOF is a broken body
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// readBlock reads the next block. At the end of the body it returns io.EOF, with the last block
// if there is one.
func (b *blockReader) readBlock(stream io.Reader, length int, m memory) ([]byte, error) {
	size := min(max(int(b.bytes), blockBytesMin), blockBytesMax)
	if length >= 0 {
		left := length - int(b.bytes)
		if left <= uncountedBytesMax && b.hold == nil || left < size {
			size = left
		}
	}
	if size > 0 {
		if err := b.reserve(int64(size), m); err != nil {
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

// reserve reserves memory for a block.
func (b *blockReader) reserve(n int64, m memory) error {
	b.bytes += n
	if b.bytes <= uncountedBytesMax {
		return nil
	}
	if b.hold == nil {
		b.hold = m.open()
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
		if err := m.wait(released); err != nil {
			return err
		}
	}
}

// complete marks the body as read to its end. It returns false if it has been given up.
func (b *blockReader) complete() bool { return b.hold == nil || b.hold.Complete() }

// drop releases the memory of a body that is not passed on.
func (b *blockReader) drop() {
	b.hold.Release()
	b.hold, b.bytes, b.body = nil, 0, nil
}
