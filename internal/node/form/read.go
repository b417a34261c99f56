package form

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
)

// OfHead returns the error of reading a head, as an *Error unless the connection failed or
// ended: then there is no answer.
func OfHead(err error) error {
	if err == nil || hasFault(err) || isConnError(err) || isOwnEnd(err) {
		return err
	}
	return New(Head, err)
}

// OfBody returns the error of reading a body, as an *Error unless this process ended the reading
// or its time ran out.
func OfBody(err error) error {
	switch {
	case err == nil, hasFault(err), isOwnEnd(err):
		return err
	case isConnError(err):
		return New(Truncated, err)
	}
	return New(Body, err)
}

func hasFault(err error) bool {
	_, ok := FaultOf(err)
	return ok
}

// isConnError reports whether a read failed because the connection did, or ended.
func isConnError(err error) bool {
	var failure net.Error
	var errno syscall.Errno
	return errors.As(err, &failure) || errors.As(err, &errno) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// isOwnEnd reports whether a read failed because this process closed the connection, canceled
// the request or set a deadline that has passed.
func isOwnEnd(err error) bool {
	var failure interface{ Timeout() bool } // also of fasthttp, which has no net.Error
	return errors.Is(err, net.ErrClosed) || errors.Is(err, context.Canceled) || errors.As(err, &failure) && failure.Timeout()
}
