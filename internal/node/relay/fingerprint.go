package relay

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/valyala/fasthttp"
)

// fingerprint identifies what a request asks of a target: caller, method, host, path and
// body. Attempts of one request have equal fingerprints, whatever their identities, at
// every node. A request that has another caller's fingerprint would be judged with it,
// so the hash must be infeasible to collide with on purpose.
func fingerprint(h *fasthttp.RequestHeader, body body) uint64 {
	digest := sha256.New()
	var length [8]byte
	for _, part := range [...][]byte{h.Peek("Authorization"), h.Method(), h.Host(), h.RequestURI()} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = digest.Write(length[:])
		_, _ = digest.Write(part)
	}
	binary.BigEndian.PutUint64(length[:], uint64(body.size()))
	_, _ = digest.Write(length[:])
	_ = body.writeTo(digest)
	return binary.BigEndian.Uint64(digest.Sum(nil))
}
