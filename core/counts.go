package core

// Counts are totals since the node started.
type Counts struct {
	Arrived     uint64 // calls in the sender role
	Served      uint64 // calls that started on the target
	Retries     uint64 // retries, whether or not an upstream was found for them
	Joined      uint64 // resends joined to a running call
	NotRun      uint64 // refusals with the outcome NotRun, both roles
	Unknown     uint64 // refusals with the outcome Unknown, both roles
	Shed        uint64 // refusals with the reason Shed or Overload
	Dropped     uint64 // ignored events: of an unknown kind, for an unknown call or without the needed data
	Evicted     uint64 // calls that a full queue evicted or did not take
	Expired     uint64 // calls refused because they cannot finish in time
	Pauses      uint64 // detected pauses of the process
	Resolves    uint64 // attempts without an answer whose home was asked for the outcome
	Exchanges   uint64 // messages of exchanges sent to peers
	SilentConns uint64 // attempts that failed on a silent connection
	Crashes     uint64 // of the own target while it ran calls
	OverLimit   uint64 // refusals because the client account had used up its rate limit
	NoGrant     uint64 // refusals because no broker replied
	Quarantines uint64 // requests that were quarantined, by the evidence of any node
}
