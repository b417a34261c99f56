package wire

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// FieldError tells which field of a message is missing or malformed.
type FieldError struct {
	Field   string // name of the header or parameter
	Problem string // what is wrong with it, without the value
}

func (e *FieldError) Error() string { return fmt.Sprintf("%s %s", e.Field, e.Problem) }

const (
	nameMax    = 64
	requestMax = 128
	keyMax     = 256
	addressMax = 64
)

// fields reads headers and keeps the first fault.
type fields struct {
	header http.Header
	err    error
}

func (f *fields) fail(name, format string, args ...any) {
	if f.err == nil {
		f.err = &FieldError{Field: name, Problem: fmt.Sprintf(format, args...)}
	}
}

// one returns the single value of a header. A repeated header is a fault,
// because two readers could each believe a different one.
func (f *fields) one(name string, required bool) string {
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

// name reads a name of a service, class, tenant or instance.
func (f *fields) name(header string, required bool) string {
	value := f.one(header, required)
	if value != "" && !validName(value) {
		f.fail(header, "must be at most %d letters, digits, '.', '_' or '-'", nameMax)
	}
	return value
}

// text reads printable ASCII without spaces.
func (f *fields) text(header string, limit int, required bool) string {
	value := f.one(header, required)
	if value != "" && !validText(value, limit) {
		f.fail(header, "must be at most %d printable ASCII characters without spaces", limit)
	}
	return value
}

// number reads a decimal number; absent gives the given value, or a fault if required.
func (f *fields) number(header string, low, high, absent int64, required bool) int64 {
	value := f.one(header, required)
	if value == "" {
		return absent
	}
	n, ok := parseNumber(value, low, high)
	if !ok {
		f.fail(header, "must be a whole number from %d to %d", low, high)
	}
	return n
}

func parseNumber(value string, low, high int64) (int64, bool) {
	// ParseInt accepts a sign and leading zeros; one value must have one spelling.
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

// pairs reads "A=1, B=2". Unknown members are kept, so that a newer node may add some.
func pairs(header, value string) (map[string]string, error) {
	if len(value) > 1024 {
		return nil, &FieldError{Field: header, Problem: "is longer than 1024 bytes"}
	}
	out := make(map[string]string, 12)
	for part := range strings.SplitSeq(value, ",") {
		name, content, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok {
			return nil, &FieldError{Field: header, Problem: "must be a list of Name=value"}
		}
		if _, twice := out[name]; twice {
			return nil, &FieldError{Field: header, Problem: "has a member twice"}
		}
		out[name] = content
	}
	return out, nil
}
