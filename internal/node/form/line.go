package form

import (
	"fmt"
	"net/http"
)

// InterimMax bounds the interim responses before a response. A server sends one or two; one
// that sends them without end never responds.
const InterimMax = 16

// The range of the status of a response. Those from 100 on are of interim responses, of which
// 101 is none, because no request of a node asks to switch protocols.
const (
	interimMin = 100
	finalMin   = 200
	finalMax   = 599
)

// lineBytes is the length of a status line up to the end of the status.
const lineBytes = len("HTTP/1.1 200")

// Line reads the status from the first bytes of a head: "HTTP/1.0" or "HTTP/1.1", a space,
// three digits, and a space or the end of the line. The status is 0 if more bytes are needed
// to tell. The error has the fault StatusLine.
func Line(head []byte) (int, error) {
	const form = "HTTP/1.v ddd"
	code := 0
	for i := range min(len(head), lineBytes) {
		c, ok := head[i], false
		switch form[i] {
		case 'v':
			ok = c == '0' || c == '1'
		case 'd':
			ok = c >= '0' && c <= '9'
			code = 10*code + int(c-'0')
		default:
			ok = c == form[i]
		}
		if !ok {
			return 0, New(StatusLine, nil)
		}
	}
	if len(head) < lineBytes {
		return 0, nil
	}
	if code < interimMin || code > finalMax || code == http.StatusSwitchingProtocols {
		return 0, New(StatusLine, nil)
	}
	end := head[lineBytes:]
	switch {
	case len(end) == 0 || len(end) == 1 && end[0] == '\r':
		return 0, nil
	case end[0] == ' ' || end[0] == '\n' || end[0] == '\r' && end[1] == '\n':
		return code, nil
	}
	return 0, New(StatusLine, nil)
}

// IsInterim reports whether the status of a line is that of an interim response.
func IsInterim(code int) bool { return code < finalMin }

// Check returns an error with the fault StatusLine if a head that net/http has read is no
// response. That package requires three characters and a number, and skips interim responses.
func Check(response *http.Response) error {
	known := response.ProtoMajor == 1 && (response.ProtoMinor == 0 || response.ProtoMinor == 1)
	if known && response.StatusCode >= finalMin && response.StatusCode <= finalMax {
		return nil
	}
	return New(StatusLine, fmt.Errorf("%.16q with status %.16q", response.Proto, response.Status))
}
