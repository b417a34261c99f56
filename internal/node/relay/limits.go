package relay

import (
	"time"

	"github.com/gypsumrail/gypsumrail"
)

// Limits of client requests where the records set none.
const (
	defaultHeaderBytes = 8 << 10
	defaultBodyBytes   = 1 << 20
	defaultHeaderTime  = 10 * time.Second
	defaultIdleTime    = 60 * time.Second
)

// limits returns the limits of the records in force, with the defaults where the
// records set none.
func (r *Relay) limits(origin gypsumrail.Origin) gypsumrail.Limits {
	limits := gypsumrail.Limits{
		HeaderBytes: defaultHeaderBytes, BodyBytes: defaultBodyBytes,
		HeaderTime: gypsumrail.MillisOf(defaultHeaderTime), IdleTime: gypsumrail.MillisOf(defaultIdleTime),
	}
	if records := r.records.Load(); records != nil {
		set := records.Limits
		if set.HeaderBytes > 0 {
			limits.HeaderBytes = set.HeaderBytes
		}
		if set.BodyBytes > 0 {
			limits.BodyBytes = set.BodyBytes
		}
		if set.HeaderTime > 0 {
			limits.HeaderTime = set.HeaderTime
		}
		if set.IdleTime > 0 {
			limits.IdleTime = set.IdleTime
		}
	}
	if origin == gypsumrail.FromPeer {
		// A node adds its own headers to those of its client, and keeps connections
		// for longer than clients do.
		limits.HeaderBytes += defaultHeaderBytes
		limits.IdleTime = gypsumrail.MillisOf(acceptedPeerIdleTimeout)
	}
	return limits
}
