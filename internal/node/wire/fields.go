package wire

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// FieldError reports a missing or malformed field of a message.
type FieldError struct {
	Field   string // name of the header or parameter
	Problem string // what is wrong with the field, without its value
}

func (e *FieldError) Error() string { return fmt.Sprintf("%s %s", e.Field, e.Problem) }

// Largest lengths in bytes.
const (
	nameMax    = 64
	requestMax = 128
	keyMax     = 256
	addressMax = 64
)

// headerReader reads and checks headers. Its err is the first fault; the values
// read are valid only if it is nil.
type headerReader struct {
	header http.Header
	err    error
}

func (f *headerReader) fail(name, format string, args ...any) {
	if f.err == nil {
		f.err = &FieldError{Field: name, Problem: fmt.Sprintf(format, args...)}
	}
}

// single returns the only value of a header. A repeated header is a fault,
// because two recipients could each use a different value.
func (f *headerReader) single(name string, required bool) string {
	values := f.header[name]
	switch {
	case len(values) > 1:
		f.fail(name, "is given more than once")
	case len(values) == 1 && values[0] != "":
		return values[0]
	case required:
		f.fail(name, "is missing")
	}
	return ""
}

// name returns the value of a header that holds a name of a service, class or
// account, or a reason.
func (f *headerReader) name(header string, required bool) string {
	value := f.single(header, required)
	if value != "" && !validName(value) {
		f.fail(header, "must be at most %d letters, digits, '.', '_' or '-'", nameMax)
	}
	return value
}

// text returns the value of a header that holds printable ASCII without spaces.
func (f *headerReader) text(header string, limit int, required bool) string {
	value := f.single(header, required)
	if value != "" && !validText(value, limit) {
		f.fail(header, "must be at most %d printable ASCII characters without spaces", limit)
	}
	return value
}

// number returns the value of a header that holds a decimal number from low to
// high. For a missing header it returns absent, and records a fault if the
// header is required.
func (f *headerReader) number(header string, low, high, absent int64, required bool) int64 {
	value := f.single(header, required)
	if value == "" {
		return absent
	}
	n, ok := parseNumber(value, low, high)
	if !ok {
		f.fail(header, "must be a whole number from %d to %d", low, high)
	}
	return n
}

// rateLimit returns the value of HeaderRateLimit, or 0 if there is none.
func (f *headerReader) rateLimit() float64 {
	value := f.single(HeaderRateLimit, false)
	if value == "" {
		return 0
	}
	limit, ok := ParseRateLimit(value)
	if !ok {
		f.fail(HeaderRateLimit, "must be a decimal number of at least 0")
	}
	return limit
}

// parseNumber parses a decimal number from low to high. If it cannot, it
// returns low.
func parseNumber(value string, low, high int64) (int64, bool) {
	// ParseInt alone would accept a sign and leading zeros, but each number
	// must have only one spelling. No int64 has more than 19 digits.
	if len(value) > 19 || (len(value) > 1 && value[0] == '0') || value == "" || value[0] < '0' || value[0] > '9' {
		return low, false
	}
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < low || n > high {
		return low, false
	}
	return n, true
}

func validName(value string) bool {
	if value == "" || len(value) > nameMax {
		return false
	}
	for i := range len(value) {
		c := value[i]
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '.' && c != '_' && c != '-' {
			return false
		}
	}
	return true
}

func validText(value string, limit int) bool {
	if value == "" || len(value) > limit {
		return false
	}
	for i := range len(value) {
		if value[i] <= ' ' || value[i] > '~' {
			return false
		}
	}
	return true
}

// parsePairs parses a list such as "A=1, B=2". Unknown members are no fault, so
// that newer nodes can add members.
func parsePairs(header, value string) (map[string]string, error) {
	if len(value) > 1024 {
		return nil, &FieldError{Field: header, Problem: "is longer than 1024 bytes"}
	}
	out := make(map[string]string, 12)
	for part := range strings.SplitSeq(value, ",") {
		name, content, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok {
			return nil, &FieldError{Field: header, Problem: "must be a list of Name=value"}
		}
		if _, duplicate := out[name]; duplicate {
			return nil, &FieldError{Field: header, Problem: "has a member twice"}
		}
		out[name] = content
	}
	return out, nil
}
