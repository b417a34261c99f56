package stubs

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// pattern is the body of a target's answer: a line "target request length",
// then the request's identity over and over, so that an observer can tell an
// answer that is cut short or belongs to another request.
type pattern struct {
	head string
	fill string
	at   int64
	left int64
}

func newPattern(target, request string, size int64) *pattern {
	if target == "" {
		target = "target"
	}
	fill := request + "\n"
	head := target + " " + request + " "
	// The stated length includes the line itself, so it is at least as long as that.
	length := max(size, int64(len(head))+20)
	head += strconv.FormatInt(length, 10) + "\n"
	return &pattern{head: head, fill: fill, left: length}
}

func (p *pattern) Read(b []byte) (int, error) {
	if p.left == 0 {
		return 0, io.EOF
	}
	n := 0
	for n < len(b) && p.left > 0 {
		var src string
		if p.at < int64(len(p.head)) {
			src = p.head[p.at:]
		} else {
			src = p.fill[(p.at-int64(len(p.head)))%int64(len(p.fill)):]
		}
		c := copy(b[n:], src[:min(int64(len(src)), p.left)])
		n += c
		p.at += int64(c)
		p.left -= int64(c)
	}
	return n, nil
}

// CheckBody reads an answer of a Target to its end and reports whether it is
// whole and belongs to the request.
func CheckBody(r io.Reader, request string) error {
	b := bufio.NewReaderSize(r, 32<<10)
	line, err := b.ReadString('\n')
	if err != nil {
		return fmt.Errorf("first line of the answer: %w", err)
	}
	parts := strings.Split(strings.TrimSuffix(line, "\n"), " ")
	if len(parts) != 3 || parts[1] != request {
		return fmt.Errorf("the answer %q is not for request %q", strings.TrimSpace(line), request)
	}
	length, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil {
		return fmt.Errorf("length of the answer: %w", err)
	}
	want := &pattern{head: line, fill: request + "\n", at: int64(len(line)), left: length - int64(len(line))}
	got, expected := make([]byte, 16<<10), make([]byte, 16<<10)
	for {
		n, err := b.Read(got)
		if m, _ := io.ReadFull(want, expected[:n]); m != n || string(got[:n]) != string(expected[:n]) {
			return fmt.Errorf("the answer to %q has foreign bytes or is too long", request)
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return fmt.Errorf("body of the answer: %w", err)
		}
	}
	if want.left != 0 {
		return fmt.Errorf("the answer to %q is %d bytes short", request, want.left)
	}
	return nil
}
