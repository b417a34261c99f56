package client

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"

	"github.com/gypsumrail/gypsumrail/internal/node/form"
)

// watchInterims returns a request whose interim responses are checked. One with a trace of its
// own is returned unchanged: its sender checks them.
func watchInterims(r *http.Request) *http.Request {
	if httptrace.ContextClientTrace(r.Context()) != nil {
		return r
	}
	count := 0
	return r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
			if count++; count > form.InterimMax {
				return form.New(form.Interims, nil)
			}
			return form.CheckNames(http.Header(header)) //nolint:wrapcheck // it says what is wrong
		},
	}))
}

// faultOf returns the error of a round trip, as a *form.Error if package net/http found the head
// malformed. It has no error type for a malformed status line.
func faultOf(err error) error {
	var malformed textproto.ProtocolError
	switch _, ok := form.FaultOf(err); {
	case ok:
	case errors.As(err, &malformed):
		return form.New(form.Head, err)
	case strings.Contains(err.Error(), "malformed HTTP"):
		return form.New(form.StatusLine, err)
	}
	return err
}

// checkedBody is the body of an answer. At its end it checks the trailer.
type checkedBody struct {
	io.ReadCloser
	answer *http.Response
	report func(error) error
	err    error // set at the end
}

func (b *checkedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	if err == nil {
		return n, nil
	}
	b.err = err
	if err == io.EOF { //nolint:errorlint // a wrapped EOF is a broken body
		err = form.CheckNames(b.answer.Trailer)
	} else if !errors.Is(err, http.ErrBodyReadAfterClose) {
		err = form.OfBody(err)
	}
	if err != nil {
		b.err = b.report(err)
	}
	return n, b.err
}
