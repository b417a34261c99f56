package relay

import (
	"errors"
	"io"
	"net"
	"syscall"

	"github.com/gypsumrail/gypsumrail/internal/node/form"
	"github.com/gypsumrail/gypsumrail/internal/node/shell"
)

// faultOfHead returns the error of reading a head, as a *form.Error unless the connection failed
// or ended: then there is no answer.
func faultOfHead(err error) error {
	if err == nil || hasFault(err) || isConnError(err) {
		return err
	}
	return form.New(form.Head, err)
}

// faultOfBody returns the error of reading a body, as a *form.Error unless this node ended it.
func faultOfBody(err error) error {
	var timeout net.Error
	switch {
	case err == nil, hasFault(err), isGivenUp(err), errors.Is(err, net.ErrClosed), errors.As(err, &timeout) && timeout.Timeout():
		return err
	case isConnError(err):
		return form.New(form.Truncated, err)
	}
	return form.New(form.Body, err)
}

func hasFault(err error) bool {
	_, ok := form.FaultOf(err)
	return ok
}

// isConnError reports whether a read failed because the connection did, or ended.
func isConnError(err error) bool {
	var failure net.Error
	var errno syscall.Errno
	return errors.As(err, &failure) || errors.As(err, &errno) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// reportFault counts and logs an answer that was refused for its form, unless this node had
// closed the connection.
func (r *Relay) reportFault(hop shell.Hop, c *call, a *attempt, x *httpExchange, err error) {
	if err != nil && !a.isCanceled() && !a.isAborted() {
		r.faults.Report(hop, c.request, x.answer.target, err)
	}
}
