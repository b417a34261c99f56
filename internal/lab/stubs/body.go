package stubs

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// answerBody generates the body of a target's answer: a line "target request
// length", then the request's identity on each following line. CheckBody detects
// from it whether an answer is cut short or belongs to another request.
type answerBody struct {
	head      string // first line
	fill      string // line that is repeated after it
	offset    int64  // of the next byte, from the start of the body
	remaining int64  // bytes that are still to be read
}

func newAnswerBody(target, request string, size int64) *answerBody {
	if target == "" {
		target = "target"
	}
	fill := request + "\n"
	head := target + " " + request + " "
	// The stated length counts the first line, so it is at least that line's length:
	// 20 bytes suffice for the number and the newline.
	length := max(size, int64(len(head))+20)
	head += strconv.FormatInt(length, 10) + "\n"
	return &answerBody{head: head, fill: fill, remaining: length}
}

func (a *answerBody) Read(b []byte) (int, error) {
	if a.remaining == 0 {
		return 0, io.EOF
	}
	n := 0
	for n < len(b) && a.remaining > 0 {
		var src string
		if a.offset < int64(len(a.head)) {
			src = a.head[a.offset:]
		} else {
			src = a.fill[(a.offset-int64(len(a.head)))%int64(len(a.fill)):]
		}
		c := copy(b[n:], src[:min(int64(len(src)), a.remaining)])
		n += c
		a.offset += int64(c)
		a.remaining -= int64(c)
	}
	return n, nil
}

// CheckBody reads the body of a Target's answer to its end. It returns an error if
// the body is not complete or does not belong to the request.
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
	want := &answerBody{head: line, fill: request + "\n", offset: int64(len(line)), remaining: length - int64(len(line))}
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
	if want.remaining != 0 {
		return fmt.Errorf("the answer to %q is %d bytes short", request, want.remaining)
	}
	return nil
}
