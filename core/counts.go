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
	Dropped     uint64 // events for unknown calls or of an unknown kind
	Evicted     uint64 // calls that lost their place in a full queue
	Expired     uint64 // calls refused because they cannot finish in time
	Pauses      uint64 // detected pauses of the process
	Resolves    uint64 // attempts without an answer whose home was asked for the outcome
	Exchanges   uint64 // control messages sent to peers
	SilentConns uint64 // attempts that failed on a silent connection
}
