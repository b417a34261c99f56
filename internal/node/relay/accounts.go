package relay

import (
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/shell"
)

const (
	headerAuthorization = "Authorization"
	schemeBearer        = "Bearer"
)

// credential is the key of a client's request. Only the digest of the key is kept.
type credential struct {
	taken   bool // it was removed from the request, if there was one
	present bool // the request has a header with credentials
	valid   bool // it holds one key
	digest  gypsumrail.KeyDigest
}

// takeCredential removes the headers from a request that nodes set or that hold a key, and
// returns the key.
func (r *Relay) takeCredential(h *fasthttp.RequestHeader) credential {
	if !r.keysKnown.Load() {
		return credential{}
	}
	c := credential{taken: true}
	if values := h.PeekAll(headerAuthorization); len(values) > 0 {
		c.present = true
		scheme, key, _ := strings.Cut(strings.TrimSpace(string(values[0])), " ")
		if key = strings.TrimSpace(key); len(values) == 1 && strings.EqualFold(scheme, schemeBearer) && key != "" {
			c.valid, c.digest = true, sha256.Sum256([]byte(key))
		}
	}
	h.Del(headerAuthorization)
	if name := r.settings.Headers.Account; name != "" {
		h.Del(name)
	}
	return c
}

// identify sets the account of a client's request that is not a call of the target, or
// returns the status and reason to refuse it. The caller holds the mutex, so the request is
// admitted with the records in which its key was looked up.
func (r *Relay) identify(c *call) (int, gypsumrail.Reason) {
	records := r.records.Load()
	if c.arrival.Origin != gypsumrail.FromCaller || records == nil || !records.KeysRequired {
		return 0, gypsumrail.ReasonNone
	}
	if !c.credential.taken {
		return r.staleRecords() // the first records with keys came into force meanwhile
	}
	if !c.credential.present {
		class := records.Classes[c.arrival.Class]
		switch {
		case class == nil || class.Anonymous || class.Invalid: // the reducer refuses other than anonymous ones
			return 0, gypsumrail.ReasonNone
		case strings.Contains(c.request, "."):
			return http.StatusServiceUnavailable, gypsumrail.ReasonUnknownParent
		}
		return r.unknownKey()
	}
	account, known := records.Keys[c.credential.digest]
	switch {
	case !c.credential.valid || !known:
		return r.unknownKey()
	case account == "":
		return http.StatusServiceUnavailable, gypsumrail.ReasonInvalidAccount
	}
	c.arrival.Account = account
	return 0, gypsumrail.ReasonNone
}

// unknownKey returns how a request without a known key is refused. A newer configuration than
// the one in force may allow it, unless the store has confirmed that there is none.
func (r *Relay) unknownKey() (int, gypsumrail.Reason) {
	if confirmed := r.confirmed.Load(); confirmed == nil || r.parts.Clock.Now()-*confirmed > r.settings.ConfigApply {
		return r.staleRecords()
	}
	return http.StatusUnauthorized, gypsumrail.ReasonUnknownKey
}

func (*Relay) staleRecords() (int, gypsumrail.Reason) {
	return http.StatusServiceUnavailable, gypsumrail.ReasonStaleRecords
}

// rejectCall refuses a call that identify did not accept.
func (r *Relay) rejectCall(c *call, status int, reason gypsumrail.Reason) {
	c.hold.Release()
	r.parts.Meter.RecordCall(shell.End{
		Origin: c.arrival.Origin, Service: c.arrival.Service, Class: c.arrival.Class, Outcome: gypsumrail.NotRun, Reason: reason,
		Status: status, Duration: time.Since(c.began),
	})
	c.conn.reject(c.request, status, reason, false)
}

// targetAccount returns the account that a target is told to run a call for. Calls of targets
// have the account of their parent.
func targetAccount(c *call) string { return c.arrival.Account }

// accountFingerprint returns the fingerprint of a request of an account, given that of the
// request without its caller. The key itself is not passed on, so that all nodes that see
// the request give it the same fingerprint.
func accountFingerprint(fingerprint uint64, account string) uint64 {
	if account == "" {
		return fingerprint
	}
	digest := sha256.Sum256(append(binary.BigEndian.AppendUint64(make([]byte, 0, 64), fingerprint), account...))
	return binary.BigEndian.Uint64(digest[:])
}

// onConfirmed gives the reducer the time at which the store confirmed the copy of it, if the
// records in the copy are in force.
func (r *Relay) onConfirmed(at gypsumrail.Millis) {
	if !r.copyInForce.Load() || !r.needsConfirmation() {
		return
	}
	r.mu.Lock()
	if last := r.confirmed.Load(); last == nil || at > *last {
		r.confirmed.Store(&at)
	}
	r.step(&gypsumrail.Event{Kind: gypsumrail.RecordsConfirmed, Confirmed: at})
	out := r.takeDeliveries()
	r.mu.Unlock()
	writeReplies(out, nil)
}

// needsConfirmation reports whether the age of the records in force matters.
func (r *Relay) needsConfirmation() bool {
	records := r.records.Load()
	return records != nil && records.KeysRequired
}
