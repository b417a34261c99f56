package form_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/gypsumrail/gypsumrail/internal/node/form"
)

// Guards against an answer that counts as malformed because this process ended its reading or the
// connection failed, and against a malformed one that does not count.
func TestReadErrors(t *testing.T) {
	for _, test := range []struct {
		err        error
		head, body form.Fault // "" for none
	}{
		{nil, "", ""},
		{io.EOF, "", form.Truncated},
		{fmt.Errorf("read: %w", io.ErrUnexpectedEOF), "", form.Truncated},
		{&net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)}, "", form.Truncated},
		{&net.OpError{Op: "read", Err: os.ErrDeadlineExceeded}, "", ""},
		{&net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}, "", ""},
		{&net.OpError{Op: "read", Err: net.ErrClosed}, "", ""},
		{fasthttp.ErrTimeout, "", ""},
		{context.Canceled, "", ""},
		{fmt.Errorf("read: %w", context.DeadlineExceeded), "", ""},
		{form.New(form.FieldName, nil), form.FieldName, form.FieldName},
		{&fasthttp.ErrSmallBuffer{}, form.Head, form.Body},
		{errors.New("a line without a colon"), form.Head, form.Body}, //nolint:err113 // stands for one of a library
	} {
		if got, _ := form.FaultOf(form.OfHead(test.err)); got != test.head {
			t.Errorf("OfHead(%v) has the fault %q, want %q", test.err, got, test.head)
		}
		if got, _ := form.FaultOf(form.OfBody(test.err)); got != test.body {
			t.Errorf("OfBody(%v) has the fault %q, want %q", test.err, got, test.body)
		}
		if test.err != nil && !errors.Is(form.OfBody(test.err), test.err) {
			t.Errorf("OfBody(%v) does not wrap it", test.err)
		}
	}
}
