package ledger

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"

	"github.com/gypsumrail/gypsumrail"
)

// The text form of a key is home:incarnation:epoch:nonce. The last three are
// lowercase hexadecimal numbers of fixed length, so that each key has exactly
// one text form.
const (
	separator         = ':'
	incarnationDigits = 16
	epochDigits       = 8
	nonceDigits       = 32
	tailLen           = incarnationDigits + epochDigits + nonceDigits + 3

	// HomeMax is the maximum length of the name of a home, in bytes.
	HomeMax = 64
	// KeyMax is the maximum length of the text form of a key, in bytes.
	KeyMax = HomeMax + tailLen
)

// ErrKey is wrapped by all errors of ParseKey.
var ErrKey = errors.New("malformed idempotency key")

type nonce [nonceDigits / 2]byte

// ParseKey parses the text form of a key. Errors wrap ErrKey and name the invalid
// part. They never quote the text, which comes from a caller. It is safe for
// concurrent use.
func ParseKey(text string) (gypsumrail.Key, error) {
	if len(text) <= tailLen || len(text) > KeyMax {
		return gypsumrail.Key{}, fmt.Errorf("%w: length %d is outside [%d, %d]", ErrKey, len(text), tailLen+1, KeyMax)
	}
	home, tail := text[:len(text)-tailLen], text[len(text)-tailLen:]
	const (
		epochAt = 1 + incarnationDigits
		nonceAt = epochAt + 1 + epochDigits
	)
	if tail[0] != separator || tail[epochAt] != separator || tail[nonceAt] != separator {
		return gypsumrail.Key{}, fmt.Errorf("%w: a ':' is missing before the incarnation, epoch or nonce", ErrKey)
	}
	if !validHome(home) {
		return gypsumrail.Key{}, fmt.Errorf("%w: home has a character outside [A-Za-z0-9._-]", ErrKey)
	}
	var fixed [(incarnationDigits + epochDigits) / 2]byte
	if decodeLower(fixed[:8], tail[1:epochAt]) != nil || decodeLower(fixed[8:], tail[epochAt+1:nonceAt]) != nil {
		return gypsumrail.Key{}, fmt.Errorf("%w: incarnation or epoch is not lowercase hexadecimal", ErrKey)
	}
	incarnation := gypsumrail.Incarnation(binary.BigEndian.Uint64(fixed[:8]))
	if incarnation == 0 {
		return gypsumrail.Key{}, fmt.Errorf("%w: incarnation is zero", ErrKey)
	}
	if _, err := parseNonce(tail[nonceAt+1:]); err != nil {
		return gypsumrail.Key{}, err
	}
	return gypsumrail.Key{
		Home:        home,
		Incarnation: incarnation,
		Epoch:       binary.BigEndian.Uint32(fixed[8:]),
		Nonce:       tail[nonceAt+1:],
	}, nil
}

// FormatKey returns the text form of a key, or the empty string for a key whose
// text form ParseKey would reject. It is safe for concurrent use.
func FormatKey(key gypsumrail.Key) string {
	if len(key.Home) == 0 || len(key.Home) > HomeMax || !validHome(key.Home) || key.Incarnation == 0 {
		return ""
	}
	if _, err := parseNonce(key.Nonce); err != nil {
		return ""
	}
	var fixed [(incarnationDigits + epochDigits) / 2]byte
	binary.BigEndian.PutUint64(fixed[:8], uint64(key.Incarnation))
	binary.BigEndian.PutUint32(fixed[8:], key.Epoch)

	text := make([]byte, 0, KeyMax)
	text = append(append(text, key.Home...), separator)
	text = append(hex.AppendEncode(text, fixed[:8]), separator)
	text = append(hex.AppendEncode(text, fixed[8:]), separator)
	return string(append(text, key.Nonce...))
}

// parseNonce parses the nonce of a key: 128 bits as 32 lowercase hexadecimal digits.
func parseNonce(text string) (nonce, error) {
	var id nonce
	if len(text) != nonceDigits || decodeLower(id[:], text) != nil {
		return nonce{}, fmt.Errorf("%w: nonce is not %d lowercase hexadecimal digits", ErrKey, nonceDigits)
	}
	return id, nil
}

// decodeLower decodes lowercase hexadecimal digits. It rejects uppercase ones,
// which hex.Decode accepts, because one key would have several text forms.
func decodeLower(dst []byte, text string) error {
	if strings.ContainsAny(text, "ABCDEF") {
		return ErrKey
	}
	_, err := hex.Decode(dst, []byte(text))
	return err
}

func validHome(name string) bool {
	for i := range len(name) {
		c := name[i]
		switch {
		case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9', c == '.', c == '_', c == '-':
		default:
			return false
		}
	}
	return true
}
