package gypsumrail

// Sample is the measurement of one completed run of a call on the target.
type Sample struct {
	Latency  Millis // of the whole run
	Self     Millis // of the run without the time spent waiting for outgoing calls
	InFlight int    // calls on the target when this one started, itself included
	Failed   bool   // the target did not answer
	Refused  bool   // the target answered that it is overloaded
}

// Limiter adapts the concurrency limit of one target. It is not safe for
// concurrent use.
type Limiter interface {
	// Limit returns the concurrency limit, at least 1.
	Limit() int
	// Completed records the result of one run.
	Completed(now Millis, sample Sample)
	// Reported records the slots in the target's own load report; zero means that
	// the target reports none.
	Reported(now Millis, slots int)
	// SetCeiling sets the highest limit that the records allow.
	SetCeiling(slots int)
}

// Waiting is a call in the admission queue.
type Waiting struct {
	Call     CallID
	Level    Level
	Invested Millis // time spent on the user request before this call
	Deadline Millis // point in time at which the caller stops waiting
	Arrived  Millis
	Account  string
	// ByLevel is set if levels reflect the usage of accounts; see AccountUsage. A full
	// queue then evicts by level alone and does not compare accounts a second time: an
	// account may hold most of the queue because its limit is large.
	ByLevel bool
}

// Queue holds admitted calls that wait for a slot. It is not safe for
// concurrent use.
type Queue interface {
	// Push adds a call. If the queue is full, it evicts and returns the least
	// important call, which may be the new one.
	Push(now Millis, call Waiting) (evicted Waiting, full bool)
	// Pop removes and returns the call that runs next. Calls below the given level
	// stay queued.
	Pop(now Millis, atLeast Level) (Waiting, bool)
	// Expire removes the calls whose remaining time is below need and appends them
	// to dst.
	Expire(now Millis, need Millis, dst []Waiting) []Waiting
	// DropBelow removes the calls of a lower importance and appends them to dst.
	// Their delays do not count in MinDelay.
	DropBelow(importance Importance, dst []Waiting) []Waiting
	// Walk calls a function for each queued call in the order in which they run, newest
	// first aside. The function must not change the queue.
	Walk(visit func(call *Waiting))
	// Remove removes one call and reports whether it was queued.
	Remove(call CallID) bool
	// Ahead returns how many queued calls would run before a call of this level.
	Ahead(level Level) int
	// MinDelay returns the smallest queueing delay among the calls that left the
	// queue in the last sample window.
	MinDelay(now Millis) Millis
	// Len returns the number of queued calls.
	Len() int
}

// Load is the state of a receiver from which its Shedder sets the threshold.
type Load struct {
	Limit         int
	InFlight      int
	Queued        int
	QueuedHighest int    // queued calls that run before a new call of the lowest level of ImportanceMax
	MinDelay      Millis // see Queue.MinDelay
	Late          int    // calls refused from the queue because the machine is slow, since the last Observe
}

// Hint is the threshold of a service that a node reaches directly or through
// other services. Answers carry hints up the call chain.
type Hint struct {
	Service   string
	Threshold Level
	Age       Millis // since a node of the service reported the threshold
}

// Shedder decides which levels are shed before any work is done for a call. It
// is not safe for concurrent use.
type Shedder interface {
	// Threshold returns the lowest level that this receiver admits.
	Threshold() Level
	// Observe adjusts the threshold to the load. It is called every 100 ms.
	Observe(now Millis, load Load)
	// Offered counts an arrival of this level. The counts determine the next threshold.
	Offered(now Millis, level Level, admitted bool)
	// RecordThreshold records the threshold that one upstream of a service reported.
	RecordThreshold(now Millis, service, upstream string, threshold Level)
	// RecordHint records the hint of an upstream about a service further down the chain.
	RecordHint(now Millis, hint Hint)
	// Refuses returns the first of the given services that sheds the level, and
	// whether there is one.
	Refuses(now Millis, level Level, services []string) (string, bool)
	// Hints appends to dst the hints to send with an answer, at most limit.
	Hints(now Millis, limit int, dst []Hint) []Hint
}

// Report is the load report that a receiver attaches to every answer.
type Report struct {
	Instance    string
	Incarnation Incarnation
	Sequence    uint64 // increases with each report
	Limit       int
	InFlight    int
	Queued      int
	Threshold   Level
	Epoch       uint32 // current epoch of the ledger
	Leaving     bool
	RateLimit   float64 `json:",omitempty"` // calls a second that the target takes; 0 if it states no limit
	// FaultShare is the share of the last runs that the target failed by itself, from 0 to
	// 1. Failures that calls of the target explain do not count.
	FaultShare float64 `json:",omitempty"`
	Slowdown   float64 `json:",omitempty"` // how many times longer than usual work takes on the target's machine; 0 stands for 1
}

// Choice holds the constraints for choosing one upstream.
type Choice struct {
	Service      string
	Capabilities []string
	Level        Level
	Exclude      []string // names of upstreams already tried
	Random       uint64   // the only source of randomness of the choice
	Importance   Importance
	Home         bool     // stay in the own zone if it has a usable upstream; see ZoneBalancer
	Bytes        int      // expected size of the request and its response; 0 if unknown
	Below        []string // services that calls below this one are known to use
}

// Upstream is one instance that a router can choose, with its values in the records.
type Upstream struct {
	Instance     Instance
	Capabilities []string
	Slots        int
}

// Router chooses upstreams. It is not safe for concurrent use.
type Router interface {
	// SetUpstreams replaces the upstreams of a service. Those that stay listed keep
	// their statistics.
	SetUpstreams(now Millis, service string, upstreams []Upstream)
	// Choose returns the best upstream. If there is none, the reason is
	// ReasonShed if some usable upstreams have the capabilities and all of these shed
	// the level, and ReasonNoUpstream otherwise.
	Choose(now Millis, choice Choice) (Instance, Reason)
	// HasRoom reports whether an upstream outside choice.Exclude is known to have a
	// free slot.
	HasRoom(now Millis, choice Choice) bool
	// Sent counts an attempt sent to an upstream.
	Sent(now Millis, upstream string)
	// Answered records the end of an attempt that was answered. The report may be nil.
	Answered(now Millis, upstream string, latency Millis, report *Report)
	// Failed records the end of an attempt that was not answered. Silent
	// connections do not count against the target.
	Failed(now Millis, upstream string, reason Reason)
	// RateLimit returns the rate limit that an upstream reported of late, in calls a
	// second, or 0.
	RateLimit(now Millis, upstream string) float64
	// Explain returns for each upstream of a service why it can or cannot be chosen.
	Explain(now Millis, choice Choice) []Explained
}

// Detector is a failure detector that distinguishes slow upstreams from
// unreachable ones. If the Router implements it, the reducer calls DueProbes
// and probes the nodes of the returned upstreams with control messages. It is
// not safe for concurrent use.
type Detector interface {
	// DueProbes appends to dst the upstreams whose nodes are to be probed now.
	DueProbes(now Millis, dst []Instance) []Instance
	// NodeAnswered records a message from an upstream's node. It returns true if the
	// upstream counted as lost, and clears that state.
	NodeAnswered(now Millis, upstream string) bool
	// ProbeFailed records that a probe was not answered. It returns true if the upstream
	// becomes lost by it. A lost upstream gets no calls until NodeAnswered is called
	// or it answers a call.
	ProbeFailed(now Millis, upstream string) bool
}

// ZoneBalancer decides how much of the traffic leaves its availability zone. If the Router
// implements it, the reducer tells it what calls transfer and when other zones refuse them.
// It is not safe for concurrent use.
type ZoneBalancer interface {
	// Transferred counts bytes of a call to or from an upstream.
	Transferred(upstream string, bytes int)
	// RefusedAbroad records that an upstream refused a call for lack of capacity. It returns
	// true if the upstream is in another zone and the call should now stay in its own.
	RefusedAbroad(now Millis, upstream string) bool
	// ZoneChanges appends to dst the services that began or stopped leaving the own zone.
	ZoneChanges(now Millis, dst []ZoneChange) []ZoneChange
	// ZoneLoads returns the state of the other zones of a service.
	ZoneLoads(service string) []ZoneLoad
}

// ZoneChange states that calls of a service began or stopped leaving the own zone.
type ZoneChange struct {
	Service     string
	Leaves      bool
	Utilization float64 // of the own zone
	Fraction    float64 // of the calls, to all other zones
}

// ZoneLoad is the state of another zone for one service.
type ZoneLoad struct {
	Zone        string
	Known       bool    // an upstream there reported its load within the last second
	Utilization float64 // 1: all slots are taken
	Fraction    float64 // of the calls that may go there
	Calls       uint64  // sent there since the node started
	Bytes       uint64  // of their requests and responses
}

// Explained is the state of one upstream for one choice.
type Explained struct {
	Instance    string
	Zone        string
	Usable      bool
	Why         string // explanation for operators
	Outstanding int    // attempts sent to it and not ended
	Limit       int
	Expected    Millis // expected delay of one more call

	Slowdown float64 `json:",omitempty"` // of the target's machine, as expected now; 1 as usual
}

// Budget holds one retry budget per called service. Each successful call adds a
// fraction of a retry. It is not safe for concurrent use.
type Budget interface {
	// Succeeded adds the fraction that one successful call earns.
	Succeeded(now Millis, service string)
	// Take withdraws one retry. It returns false if less than one is left.
	Take(now Millis, service string) bool
	// Left returns the retries that are left.
	Left(service string) float64
}

// AccountUsage counts the requests of client accounts at an entry node. It is not safe
// for concurrent use.
type AccountUsage interface {
	// SetAccounts replaces the accounts of the records in force.
	SetAccounts(accounts map[string]*Account)
	// Arrived returns the usage of an account before a request that arrives now, and
	// counts the request. The usage is the demand of the last 1 to 2 s, extrapolated to
	// the given number of instances, in units of the account's rate limit.
	Arrived(now Millis, account string, instances int) float64
	// Highest returns the accounts with the highest usage, at most limit, for operators.
	Highest(now Millis, instances, limit int) []AccountUse
}

// AccountUse is the usage of one account at a node; see AccountUsage.
type AccountUse struct {
	Account  string `json:"Tenant"`
	Use      float64
	Requests int // counted in the last 1 to 2 s
}
