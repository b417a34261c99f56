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
	GossipAway    gypsumrail.Millis // the same while the platform cannot be read; default GossipEvery
	// FreeRefusals lets a call that a node refused before its target saw it go to
	// another upstream without taking from the retry budget, which bounds the load
	// of targets. At most RefusalsMax refusals of one call are free.
	FreeRefusals bool
	// KeepChildren exempts an outgoing call of a target from the threshold of a
	// service that answered a call of the same parent before: the work of the service
	// that is short of capacity would be lost. The first call to a service is refused
	// like any other, which costs that service nothing.
	KeepChildren bool
	// ServeDraining lets a draining node go on with calls that end before the drain
	// does: its own callers may have no other node to go to, and other nodes send
	// none as long as the service has another upstream.
	ServeDraining bool
	DrainMin      gypsumrail.Millis // shortest drain; default 1 s
	DrainMax      gypsumrail.Millis // after which what still runs is cut; default 30 s
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
