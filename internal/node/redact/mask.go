// Package redact replaces the secrets in recorded events by pseudonyms.
//
// A recording leaves the node that made it. Whoever reads a request's identity or an
// idempotency key in it could get the answer of another caller or block a request.
// A replay only has to distinguish equal values from different ones, so a pseudonym
// is a keyed hash: equal values stay equal under one salt, and the original can't be
// derived without the salt.
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

// Bounds of the length of a pseudonym in bytes. The length is the next power of two,
// so that it reveals only the size class of the original. 16 base64 characters hold
// 96 bits of the hash, enough to avoid collisions within a recording.
const (
	lengthMin = 16
	lengthMax = 256
)

// Mask derives pseudonyms from a salt. It is safe for concurrent use.
type Mask struct{ salt []byte }

// New returns a mask. The same salt gives the same pseudonyms, so that the recordings
// of several nodes can be compared. The salt must stay secret.
func New(salt []byte) *Mask { return &Mask{salt: salt} }

// Event replaces the secrets in an event: request identities, fingerprints and
// idempotency keys. Other fields hold no secrets, since events carry neither bodies
// nor the tokens that link a target's calls. It modifies the event, its
// Arrival and its Exchange in place.
func (m *Mask) Event(event *gypsumrail.Event) {
	event.Key = m.key(event.Key)
	if a := event.Arrival; a != nil {
		a.Request = m.text("request", a.Request)
		a.Key = m.key(a.Key)
		a.Fingerprint = m.fingerprint(a.Fingerprint)
	}
	event.Fingerprint = m.fingerprint(event.Fingerprint)
	if event.Exchange != nil {
		m.evidence(&event.Exchange.Evidence)
	}
}

// evidence replaces the fingerprints in the evidence of a peer.
func (m *Mask) evidence(e *gypsumrail.Evidence) {
	for _, c := range e.Crashes {
		m.fingerprints(c.Requests)
	}
	for _, c := range e.Completions {
		m.fingerprints(c.Requests)
	}
}

func (m *Mask) fingerprints(requests []uint64) {
	for i := range requests {
		requests[i] = m.fingerprint(requests[i])
	}
}

// fingerprint returns the pseudonym of a fingerprint. 0, which stands for none, stays.
func (m *Mask) fingerprint(plain uint64) uint64 {
	if plain == 0 {
		return 0
	}
	var text [8]byte
	binary.BigEndian.PutUint64(text[:], plain)
	return binary.BigEndian.Uint64(m.sum("fingerprint", text[:], 0))
}

// key replaces the nonce of an idempotency key. Home, incarnation and epoch stay,
// because the outcome of the call in a replay depends on them. A text that is not a
// well-formed key is replaced as a whole.
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
	length := lengthMin
	if n := len(text); n > lengthMin {
		length = min(1<<bits.Len(uint(n-1)), lengthMax)
	}
	var sums []byte
	for i := byte(0); base64.RawURLEncoding.EncodedLen(len(sums)) < length; i++ {
		sums = append(sums, m.sum(kind, []byte(text), i)...)
	}
	return base64.RawURLEncoding.EncodeToString(sums)[:length]
}

// sum returns a block of the keyed hash of a text. The kind separates the domains, so
// that equal texts of two kinds have different hashes.
func (m *Mask) sum(kind string, text []byte, block byte) []byte {
	h := hmac.New(sha256.New, m.salt)
	h.Write([]byte(kind))
	h.Write([]byte{0, block})
	h.Write(text)
	return h.Sum(nil)
}
