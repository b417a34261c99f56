package core

import "github.com/gypsumrail/gypsumrail"

// RetryMode selects how the sender role bounds retries.
type RetryMode string

// Retry modes. Nodes run RetryChain; the others are baselines for replays.
const (
	RetryChain  RetryMode = "Chain"  // allowance for the whole chain and retry budget per service
	RetryPerHop RetryMode = "PerHop" // a fixed number at each hop
	RetryNone   RetryMode = "None"
)

// Settings are the parameters of a node's decisions. Zero values mean the defaults
// that docs/design.md states.
type Settings struct {
	Retry         RetryMode
	RetriesPerHop int               // with RetryPerHop; default 3
	DepthMax      int               // maximum number of calls in one chain; default 16
	ReserveShare  float64           // share of the slots reserved for importance 8 and 9; default 0.1; negative for none
	NoEarlyShed   bool              // do not shed at the entry for the load of deeper services
	NoDeadlines   bool              // do not refuse calls that cannot finish before their deadline
	GossipEvery   gypsumrail.Millis // interval of exchanges with peers; default 1 s; negative for none
	GossipAway    gypsumrail.Millis // the same while the platform cannot be read or a value is missing; default GossipEvery
	// FreeRefusals lets a call that did not reach a target, because a node refused it
	// or the connection failed, go to another upstream without using its allowance or
	// the retry budget, because the budget bounds the load of targets. At most
	// freeRefusalsMax such attempts of one call are free.
	FreeRefusals bool
	// ExemptChildren exempts an outgoing call of a target from the threshold of a
	// service that already answered a call of the same parent. A refusal would waste
	// the work that this overloaded service has done for the user request. The first
	// call to a service has no exemption: its refusal wastes no work of that service.
	ExemptChildren bool
	// ServeDraining makes a draining node admit new calls that end before the drain
	// does. Its own callers may have no other node, and other nodes send it no calls
	// as long as the service has another upstream.
	ServeDraining bool
	// ForeignShare is the share of the slots that may be taken when a client's request from
	// another availability zone arrives; above it the request is refused before it runs.
	// Calls of targets are admitted, because a refusal would waste the work that the request
	// already cost. Zero admits all.
	ForeignShare float64
	// SuspectCanceled makes the runs that were canceled shortly before the target ended
	// suspected. It requires fingerprints that tell requests with other bodies apart:
	// otherwise one overloaded target would slow down all requests of a class.
	SuspectCanceled bool
	// RecordsAgeMax is how long ago the store may have confirmed the records in force when a
	// request with the key of a client account is admitted. Zero means no bound.
	RecordsAgeMax gypsumrail.Millis
	DrainMin      gypsumrail.Millis // minimum duration of a drain; default 1 s
	DrainMax      gypsumrail.Millis // maximum duration, after which running calls are cut off; default 30 s
}

const (
	defaultRetriesPerHop = 3
	defaultDepthMax      = 16
	defaultReserveShare  = 0.1
	defaultGossipEvery   = gypsumrail.Second
)

func (s Settings) withDefaults() Settings {
	if s.Retry == "" {
		s.Retry = RetryChain
	}
	if s.RetriesPerHop == 0 {
		s.RetriesPerHop = defaultRetriesPerHop
	}
	if s.DepthMax == 0 {
		s.DepthMax = defaultDepthMax
	}
	if s.ReserveShare == 0 {
		s.ReserveShare = defaultReserveShare
	}
	if s.GossipEvery == 0 {
		s.GossipEvery = defaultGossipEvery
	}
	if s.DrainMin == 0 {
		s.DrainMin = drainMin
	}
	if s.DrainMax == 0 {
		s.DrainMax = drainMax
	}
	if s.GossipAway == 0 {
		s.GossipAway = s.GossipEvery
	}
	return s
}
