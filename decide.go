package gypsumrail

// Sample is one completed run of a call on the target.
type Sample struct {
	Latency  Millis // the whole run
	Self     Millis // the run without the time spent waiting for outgoing calls
	InFlight int    // calls on the target when this one started, itself included
	Failed   bool   // the target did not answer
	Refused  bool   // the target answered that it is overloaded
}

// Limiter learns how many calls one target can run at once. It is not safe for
// concurrent use.
type Limiter interface {
	// Limit returns the number of calls that may run at once, at least 1.
	Limit() int
	// Completed takes the result of one run.
	Completed(now Millis, sample Sample)
	// Reported takes the slots that the target says it has; zero means that it does not say.
	Reported(now Millis, slots int)
	// SetCeiling sets the most that the records allow.
	SetCeiling(slots int)
}

// Waiting is a call in the admission queue.
type Waiting struct {
	Call     CallID
	Level    Level
	Invested Millis // work already done for the user request before this call
	Deadline Millis // point in time at which the caller stops waiting
	Arrived  Millis
	Tenant   string
}

// Queue holds admitted calls that wait for a slot. It is not safe for
// concurrent use.
type Queue interface {
	// Push adds a call. If the queue is full, the least important of the queued
	// calls and the new one is returned as evicted.
	Push(now Millis, call Waiting) (evicted Waiting, full bool)
	// Pop removes the call that runs next. Calls below the given level stay.
	Pop(now Millis, atLeast Level) (Waiting, bool)
	// Expire removes the calls that have less than need time left and appends them to dst.
	Expire(now Millis, need Millis, dst []Waiting) []Waiting
	// DropBelow removes the calls of a lower importance and appends them to dst.
	// They do not count for MinDelay.
	DropBelow(importance Importance, dst []Waiting) []Waiting
	// Remove removes one call and reports whether it was queued.
	Remove(call CallID) bool
	// Ahead returns how many queued calls would run before a call of this level.
	Ahead(level Level) int
	// MinDelay returns the smallest delay of the calls that left the queue in the last window.
	MinDelay(now Millis) Millis
	// Len returns the number of queued calls.
	Len() int
}

// Load is the state of a receiver that moves its threshold.
type Load struct {
	Limit    int
	InFlight int
	Queued   int
	Urgent   int    // of the queued calls, those of the highest importance
	MinDelay Millis // see Queue.MinDelay
}

// Hint is the threshold of a service somewhere below a node.
type Hint struct {
	Service   string
	Threshold Level
	Age       Millis // since the service's node stated it
}

// Shedder decides which levels are refused before any work is done. It is not
// safe for concurrent use.
type Shedder interface {
	// Threshold returns the lowest level that this receiver admits.
	Threshold() Level
	// Observe moves the threshold. It is called every 100 ms.
	Observe(now Millis, load Load)
	// Offered counts an arrival of this level, for choosing the next threshold.
	Offered(now Millis, level Level, admitted bool)
	// Learn takes the threshold that one upstream of a service reported.
	Learn(now Millis, service, upstream string, threshold Level)
	// LearnHint takes a hint about a deeper service.
	LearnHint(now Millis, hint Hint)
	// Refuses returns the first of the services that refuses the level.
	Refuses(now Millis, level Level, services []string) (string, bool)
	// Hints appends the hints to pass on to a caller, at most limit.
	Hints(now Millis, limit int, dst []Hint) []Hint
}

// Report is what a receiver tells about itself on every answer.
type Report struct {
	Instance    string
	Incarnation Incarnation
	Sequence    uint64 // grows with each report
	Limit       int
	InFlight    int
	Queued      int
	Threshold   Level
	Epoch       uint32 // current epoch of the ledger
	Leaving     bool
}

// Choice asks a router for an upstream.
type Choice struct {
	Service      string
	Capabilities []string
	Level        Level
	Exclude      []string // upstreams already tried
	Random       uint64
	Importance   Importance
}

// Upstream is one instance that a router can choose, with what the records say of it.
type Upstream struct {
	Instance     Instance
	Capabilities []string
	Slots        int
}

// Router chooses upstreams. It is not safe for concurrent use.
type Router interface {
	// SetUpstreams replaces the upstreams of a service and keeps what was learned of those that stay.
	SetUpstreams(now Millis, service string, upstreams []Upstream)
	// Choose returns the best upstream. The reason is ReasonNoUpstream if no
	// usable one has the capabilities and ReasonShed if all that have them refuse the level.
	Choose(now Millis, choice Choice) (Instance, Reason)
	// HasRoom tells whether an upstream outside exclude is known to have room.
	HasRoom(now Millis, choice Choice) bool
	// Sent counts a call sent to an upstream.
	Sent(now Millis, upstream string)
	// Answered takes the end of an attempt that got an answer. The report may be nil.
	Answered(now Millis, upstream string, latency Millis, report *Report)
	// Failed takes the end of an attempt that got none. Silent connections do not count against the target.
	Failed(now Millis, upstream string, reason Reason)
	// Explain tells for each upstream of a service why it can or cannot be chosen.
	Explain(now Millis, choice Choice) []Explained
}

// Detector tells upstreams that are slow from those that are out of reach. A
// Router that has it is asked by the reducer, which puts the questions to the
// nodes of the upstreams. It is not safe for concurrent use.
type Detector interface {
	// Overdue appends the upstreams whose nodes are to be asked now.
	Overdue(now Millis, dst []Instance) []Instance
	// Seen takes a sign of life of an upstream's node and reports whether it was lost.
	Seen(now Millis, upstream string) bool
	// Lost takes a question without an answer and reports whether it was not lost
	// before. A lost upstream gets no calls until it is seen.
	Lost(now Millis, upstream string) bool
}

// Explained is the state of one upstream for one choice.
type Explained struct {
	Instance    string
	Zone        string
	Usable      bool
	Why         string // reason in plain words
	Outstanding int
	Limit       int
	Expected    Millis // delay
}

// Budget holds the retry budget per called service: a share of the successes.
// It is not safe for concurrent use.
type Budget interface {
	// Succeeded adds a share of a retry.
	Succeeded(now Millis, service string)
	// Take takes one retry and reports whether there was one.
	Take(now Millis, service string) bool
	// Left returns the retries that are left.
	Left(service string) float64
}
