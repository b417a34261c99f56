// Package redact replaces the secrets in recorded events by pseudonyms.
//
// A recording leaves the node that made it, while whoever holds a request's
// identity or an idempotency key can take over an answer or block a request.
// Replays need only to tell equal from different, so a pseudonym is a keyed hash:
// equal stays equal within one salt, and nothing leads back without it.
package redact

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"math/bits"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/ledger"
)

// Lengths of pseudonyms: a power of two, so that the length tells only the class
// of the original's. The shortest has 96 bits of the hash, enough for all
// different identities of a recording to stay different.
const (
	shortest = 16
	longest  = 256
)

// Mask makes pseudonyms. It is safe for concurrent use.
type Mask struct{ salt []byte }

// New returns a mask. Recordings with the same salt have the same pseudonyms,
// so that those of several nodes can be compared.
func New(salt []byte) *Mask { return &Mask{salt: salt} }

// Event replaces the secrets in an event: request identities, fingerprints and
// idempotency keys. The rest has none, since events carry neither bodies nor the
// tokens that link a target's calls. What the event points to is changed too.
func (m *Mask) Event(event *gypsumrail.Event) {
	event.Key = m.key(event.Key)
	if a := event.Arrival; a != nil {
		a.Request = m.text("request", a.Request)
		a.Key = m.key(a.Key)
		if a.Fingerprint != 0 {
			var plain [8]byte
			binary.BigEndian.PutUint64(plain[:], a.Fingerprint)
			a.Fingerprint = binary.BigEndian.Uint64(m.sum("fingerprint", plain[:], 0))
		}
	}
}

// key replaces the nonce of a key. Home, incarnation and epoch stay, because
// they decide what becomes of the call. Any other text is replaced as a whole.
func (m *Mask) key(text string) string {
	key, err := ledger.ParseKey(text)
	if err != nil {
		return m.text("key", text)
	}
	key.Nonce = hex.EncodeToString(m.sum("nonce", []byte(key.Nonce), 0))[:len(key.Nonce)]
	return ledger.FormatKey(key)
}

// text returns the pseudonym of a text. The empty text stays empty.
func (m *Mask) text(kind, text string) string {
	if text == "" {
		return ""
	}
	length := shortest
	if n := len(text); n > shortest {
		length = min(1<<bits.Len(uint(n-1)), longest)
	}
	var sums []byte
	for i := byte(0); base64.RawURLEncoding.EncodedLen(len(sums)) < length; i++ {
		sums = append(sums, m.sum(kind, []byte(text), i)...)
	}
	return base64.RawURLEncoding.EncodeToString(sums)[:length]
}

func (m *Mask) sum(kind string, text []byte, block byte) []byte {
	h := hmac.New(sha256.New, m.salt)
	h.Write([]byte(kind))
	h.Write([]byte{0, block})
	h.Write(text)
	return h.Sum(nil)
}
