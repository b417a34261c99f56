package form

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// CheckName returns an error with the fault FieldName if the name of a field is no token (RFC
// 9110, section 5.6.2). Both fasthttp and net/textproto accept a blank inside a name.
func CheckName[T ~string | ~[]byte](name T) error {
	valid := len(name) > 0
	for i := range len(name) {
		valid = valid && httpguts.IsTokenRune(rune(name[i]))
	}
	if !valid {
		return New(FieldName, fmt.Errorf("%.40q", string(name)))
	}
	return nil
}

// CheckReason returns an error with the fault Reason if a reason phrase has control bytes other
// than tabs (RFC 9112, section 4).
func CheckReason(phrase []byte) error {
	for _, c := range phrase {
		if c < ' ' && c != '\t' || c == 0x7f {
			return New(Reason, fmt.Errorf("%.40q", phrase))
		}
	}
	return nil
}

// CheckNames checks the names of the fields of a head or trailer that net/http has read.
func CheckNames(header http.Header) error {
	for name := range header {
		if err := CheckName(name); err != nil {
			return err
		}
	}
	return nil
}
