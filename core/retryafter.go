package core

import "github.com/gypsumrail/gypsumrail"

// A caller that may try again is told to wait 0.5 s to 1.5 s. The jitter keeps
// refused callers from returning at the same time.
const (
	retryAfterMin    = gypsumrail.Second / 2
	retryAfterJitter = gypsumrail.Second
)

// retryAfter returns the delay after which a caller may try a request again, or 0 if
// trying again cannot help.
func (n *Node) retryAfter(reason gypsumrail.Reason, fingerprint uint64) gypsumrail.Millis {
	switch reason {
	case gypsumrail.ReasonQuarantined:
		return n.parts.Quarantine.Judge(n.now, fingerprint).Left
	case gypsumrail.ReasonOverload, gypsumrail.ReasonShed, gypsumrail.ReasonNoUpstream, gypsumrail.ReasonTargetBusy,
		gypsumrail.ReasonMisdirected, gypsumrail.ReasonConnect, gypsumrail.ReasonTargetFailed,
		gypsumrail.ReasonNoAllowance, gypsumrail.ReasonKeyInUse, gypsumrail.ReasonDraining, gypsumrail.ReasonSuspected,
		gypsumrail.ReasonStaleRecords, gypsumrail.ReasonOverLimit, gypsumrail.ReasonNoGrant:
		return retryAfterMin + gypsumrail.Millis(n.random.Uint64()%uint64(retryAfterJitter))
	}
	return 0
}
