package gypsumrail

// EventKind names the kind of an event.
type EventKind string

// Kinds of events. Each comment names the fields that the kind uses besides
// Kind, At and Random.
const (
	CallArrived      EventKind = "CallArrived"      // Call, Arrival
	CallerGone       EventKind = "CallerGone"       // Call: the caller left before it had the whole answer
	AttemptAnswered  EventKind = "AttemptAnswered"  // Call, Attempt, Result: the head of an answer arrived
	AttemptFailed    EventKind = "AttemptFailed"    // Call, Attempt, Result: no answer will arrive
	AnswerDone       EventKind = "AnswerDone"       // Call, Result: the body was passed on to its end, or broke off
	TargetAnswered   EventKind = "TargetAnswered"   // Call, Result: the head of the answer of the node's target arrived
	TargetFailed     EventKind = "TargetFailed"     // Call, Result: the node's target will not answer
	TargetDone       EventKind = "TargetDone"       // Call, Result: the target's answer ended or broke off
	TargetReported   EventKind = "TargetReported"   // Slots, Busy: the load report of the node's target
	Tick             EventKind = "Tick"             // no fields; sent periodically
	RecordsRead      EventKind = "RecordsRead"      // Value, Records: a valid revision was read
	RecordsConfirmed EventKind = "RecordsConfirmed" // Confirmed: the records in force are those of the store
	ValueRefused     EventKind = "ValueRefused"     // Value: the content that was read is not valid
	InstancesRead    EventKind = "InstancesRead"    // Value, Instances: the platform's instance list was read
	Exchanged        EventKind = "Exchanged"        // Call (to answer), Peer, Exchange: a peer's message arrived
	PeerFailed       EventKind = "PeerFailed"       // Peer: a control message got no answer
	PeerCalled       EventKind = "PeerCalled"       // Peer: an instance reported its own state
	ResolveAsked     EventKind = "ResolveAsked"     // Call (to answer), Key, HomeAttempt
	Resolved         EventKind = "Resolved"         // Call, Attempt, Result: the home's answer; Outcome Unknown if none came
	TicketsAsked     EventKind = "TicketsAsked"     // Call (to answer), Arrival (Service, Class), Count
	DrainAsked       EventKind = "DrainAsked"       // no fields
	ReleaseAsked     EventKind = "ReleaseAsked"     // Fingerprint: an operator ends the quarantine or suspicion of a request
	PlatformLost     EventKind = "PlatformLost"     // no fields; reads of the platform fail
	PlatformFound    EventKind = "PlatformFound"    // no fields; a read succeeded after failures
	GrantAsked       EventKind = "GrantAsked"       // Call (to answer), Ask: a node delegates its shares of rate limits and asks for tokens
	GrantReplied     EventKind = "GrantReplied"     // Peer, Granted: a broker replied; Granted has only a sequence number if it did not
)

// Event is one input of the reducer. One struct serves all kinds, so that an
// event is one line of a trace and needs no allocation of its own.
type Event struct {
	Kind        EventKind
	At          Millis
	Random      uint64       `json:",omitempty"`
	Call        CallID       `json:",omitempty"`
	Attempt     int          `json:",omitempty"`
	Arrival     *Arrival     `json:",omitempty"`
	Result      *Result      `json:",omitempty"`
	Slots       int          `json:",omitempty"`
	Busy        int          `json:",omitempty"`
	Value       ValueVersion `json:",omitzero"`
	Records     *Records     `json:",omitempty"`
	Instances   []Instance   `json:",omitempty"`
	Peer        Instance     `json:",omitzero"`
	Exchange    *Exchange    `json:",omitempty"`
	Key         string       `json:",omitempty"`
	HomeAttempt HomeAttempt  `json:",omitempty"`
	Count       int          `json:",omitempty"`
	Fingerprint uint64       `json:",omitempty"`
	// Confirmed is the time at which a read of the store was sent that showed no newer
	// records than those in force.
	Confirmed Millis      `json:",omitempty"`
	Ask       *GrantAsk   `json:",omitempty"`
	Granted   *GrantReply `json:",omitempty"`
}

// Origin names the sender and the port of a call.
type Origin string

// Origins of a call.
const (
	FromCaller Origin = "Caller" // an external caller, over the callers port
	FromTarget Origin = "Target" // the node's target, over the egress port
	FromPeer   Origin = "Peer"   // another node, over the peers port
)

// Arrival describes a call that reached the node.
type Arrival struct {
	Origin      Origin
	Service     string
	Class       string      `json:",omitempty"`
	Account     string      `json:"Tenant,omitempty"` // client account of the user request
	Request     string      // identity of the user request
	Fingerprint uint64      `json:",omitempty"` // hash of what is equal in all attempts of a request: caller, method, path and, for plain requests, body
	Parent      CallID      `json:",omitempty"` // FromTarget: the call that the target is running
	Attempt     int         // the caller's attempt, from 1
	Remaining   Millis      `json:",omitempty"` // until the caller stops waiting; 0 stands for the deadline of the class
	Key         string      `json:",omitempty"` // idempotency key
	HomeAttempt HomeAttempt `json:",omitempty"` // FromPeer, with Key
	Importance  Importance  `json:",omitempty"` // FromPeer
	Level       Level       `json:",omitempty"` // FromPeer: of the user request, as the entry node determined it; 0 if it follows from Importance and Request
	Allowance   int         `json:",omitempty"` // FromPeer: retries granted for this call and all below it
	Invested    Millis      `json:",omitempty"` // FromPeer: time spent on the user request so far
	Hop         int         `json:",omitempty"` // calls above this one in the chain
	Kept        bool        `json:",omitempty"` // FromPeer: the threshold does not apply to the call
	From        string      `json:",omitempty"` // FromPeer: name of the sending instance
	Foreign     bool        `json:",omitempty"` // FromPeer: the sender is in another availability zone; if false, the directory tells
	Bytes       int         `json:",omitempty"` // size of the request; 0 if unknown
	Crashes     []Crash     `json:",omitempty"` // FromPeer: crashes of targets that ran the request, as far as the sender knows
	RateLimit   float64     `json:",omitempty"` // FromPeer: the rate limit of this node's target that the sender knows, in calls a second
}

// Result describes the head of an answer, or the end of an attempt or of a run
// on the target.
type Result struct {
	Outcome       Outcome
	Reason        Reason   `json:",omitempty"`
	Status        int      `json:",omitempty"` // HTTP status
	Bytes         int      `json:",omitempty"` // AttemptAnswered, TargetAnswered: size of the response; 0 if unknown
	AllowanceLeft int      `json:",omitempty"`
	RetryAfter    Millis   `json:",omitempty"`
	Report        *Report  `json:",omitempty"`
	Hints         []Hint   `json:",omitempty"`
	Uses          []string `json:",omitempty"` // services that calls of the class have used below this one
	TargetFault   bool     `json:",omitempty"` // the target answered with a failure that no failed call below it explains
	Stated        *Stated  `json:",omitempty"` // by a target; nil if no head of its answer arrived
}

// Stated is what a target states about itself in the head of an answer. Each answer
// replaces what the ones before it stated.
type Stated struct {
	RateLimited bool    `json:",omitempty"` // the target states a rate limit
	RateLimit   float64 `json:",omitempty"` // calls a second that the target takes from all callers together; at least 0
	Unreadable  bool    `json:",omitempty"` // the rate limit is malformed, so the one stated before still applies
	Leaving     bool    `json:",omitempty"` // the target is about to end

	Running  int     `json:",omitempty"` // requests that the target runs, as it states
	Waiting  int     `json:",omitempty"` // requests that wait at the target
	Slots    int     `json:",omitempty"` // requests that the target runs at once; at least 1 if it states its load
	Slowdown float64 `json:",omitempty"` // how many times longer than usual work takes on the target's machine; 0 if the target does not state its load
}

// The range of a slowdown, stated or reported. Figures outside it are moved into it.
const (
	SlowdownMin = 0.1
	SlowdownMax = 20
)

// Exchange is the control message between two nodes.
type Exchange struct {
	From    Instance
	Digest  Digest
	Entries []Instance `json:",omitempty"` // recent changes and the contents of buckets that differ
	Answer  bool       `json:",omitempty"` // true in the answer to an exchange

	Evidence Evidence `json:",omitzero"` // news, or all evidence in the answer to a digest that differs
}
