package core

// Counts are totals since the start of the node.
type Counts struct {
	Arrived     uint64 // calls in the sender role
	Served      uint64 // calls that started on the target
	Retries     uint64
	Joined      uint64 // resends joined to a running call
	NotRun      uint64 // refusals with this outcome, both roles
	Unknown     uint64 // ends with this outcome, sender role
	Shed        uint64 // refusals for load
	Dropped     uint64 // events for unknown calls or of an unknown kind
	Evicted     uint64 // calls evicted from the full queue
	Expired     uint64 // calls refused because they cannot finish in time
	Pauses      uint64 // times that the process was found to have been paused
	Resolves    uint64 // questions to homes about a lost attempt
	Exchanges   uint64
	SilentConns uint64
}
