package core

import "github.com/gypsumrail/gypsumrail"

// RetryMode selects how the sender role bounds retries.
type RetryMode string

// Retry modes. The first is what nodes run; the others are baselines for replays.
const (
	RetryChain  RetryMode = "Chain"  // allowance of the whole chain plus the budget per service
	RetryPerHop RetryMode = "PerHop" // a fixed number at each hop
	RetryNone   RetryMode = "None"
)

// Settings are the constants of a node's decisions. Zero values take the
// defaults that docs/design.md states.
type Settings struct {
	Retry         RetryMode
	RetriesPerHop int               // with RetryPerHop; default 3
	DepthMax      int               // calls in one chain; default 16
	ReserveShare  float64           // of the slots, for importance 8 and 9; default 0.1; negative for none
	NoEarlyShed   bool              // do not refuse at the entry for deeper services
	NoDeadlines   bool              // do not refuse work that cannot finish in time
	GossipEvery   gypsumrail.Millis // default 1 s; negative turns the exchange off
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
	return s
}
