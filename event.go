package gypsumrail

// EventKind names the kind of an event.
type EventKind string

// Kinds of events. The comment names the fields that each kind uses besides
// Kind, At and Random.
const (
	CallArrived     EventKind = "CallArrived"     // Call, Arrival
	CallerGone      EventKind = "CallerGone"      // Call: the caller left before its answer was whole
	AttemptAnswered EventKind = "AttemptAnswered" // Call, Attempt, Result: the head of an answer arrived
	AttemptFailed   EventKind = "AttemptFailed"   // Call, Attempt, Result: no answer will arrive
	AnswerDone      EventKind = "AnswerDone"      // Call, Result: the sender passed the body on whole, or it broke
	TargetAnswered  EventKind = "TargetAnswered"  // Call, Result: the head of the own target's answer arrived
	TargetFailed    EventKind = "TargetFailed"    // Call, Result: the own target will not answer
	TargetDone      EventKind = "TargetDone"      // Call, Result: the target's answer ended, or broke
	TargetReported  EventKind = "TargetReported"  // Slots, Busy: the own target's load report
	Tick            EventKind = "Tick"            // nothing: time passed
	RecordsRead     EventKind = "RecordsRead"     // Value, Records: a valid revision was read
	ValueRefused    EventKind = "ValueRefused"    // Value: the content that was read is not valid
	InstancesRead   EventKind = "InstancesRead"   // Value, Instances: the platform's list was read
	Exchanged       EventKind = "Exchanged"       // Call (to answer), Peer, Exchange: a peer's message arrived
	PeerFailed      EventKind = "PeerFailed"      // Peer: a control message got no answer
	PeerCalled      EventKind = "PeerCalled"      // Peer: an instance told its state directly
	ResolveAsked    EventKind = "ResolveAsked"    // Call (to answer), Key, HomeAttempt
	Resolved        EventKind = "Resolved"        // Call, Attempt, Result: the home's answer, Unknown if there was none
	TicketsAsked    EventKind = "TicketsAsked"    // Call (to answer), Arrival (Service, Class), Count
	DrainAsked      EventKind = "DrainAsked"      // nothing
	PlatformLost    EventKind = "PlatformLost"    // nothing: reads of the platform fail
	PlatformFound   EventKind = "PlatformFound"   // nothing: a read succeeded after failures
)

// Event is something that happened to a node. One struct serves all kinds, so
// that an event is a line of a trace and costs no allocation of its own.
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
}

// Origin tells from where a call reached the node.
type Origin string

// Origins of a call.
const (
	FromCaller Origin = "Caller" // an external caller, over the callers port
	FromTarget Origin = "Target" // the own target, over the egress port
	FromPeer   Origin = "Peer"   // another node, over the peers port
)

// Arrival describes a call that reached the node.
type Arrival struct {
	Origin      Origin
	Service     string
	Class       string      `json:",omitempty"`
	Tenant      string      `json:",omitempty"`
	Request     string      // identity of the user request
	Fingerprint uint64      `json:",omitempty"` // of what must be equal in a resend: tenant, method, path
	Parent      CallID      `json:",omitempty"` // FromTarget: the call that the target is running
	Attempt     int         // the caller's attempt, from 1
	Remaining   Millis      `json:",omitempty"` // until the caller stops waiting; 0 takes the deadline of the class
	Key         string      `json:",omitempty"` // idempotency key
	HomeAttempt HomeAttempt `json:",omitempty"` // FromPeer, with Key
	Importance  Importance  `json:",omitempty"` // FromPeer
	Allowance   int         `json:",omitempty"` // FromPeer: retries granted for this call and all below it
	Invested    Millis      `json:",omitempty"` // FromPeer: work done for the user request so far
	Hop         int         `json:",omitempty"` // calls above this one in the chain
	Kept        bool        `json:",omitempty"` // FromPeer: exempt from the threshold
	From        string      `json:",omitempty"` // FromPeer: name of the sending instance
}

// Result is the end, or the head of the answer, of an attempt or of a run on the target.
type Result struct {
	Outcome       Outcome
	Reason        Reason   `json:",omitempty"`
	Status        int      `json:",omitempty"` // HTTP status
	AllowanceLeft int      `json:",omitempty"`
	RetryAfter    Millis   `json:",omitempty"`
	Report        *Report  `json:",omitempty"`
	Hints         []Hint   `json:",omitempty"`
	Uses          []string `json:",omitempty"` // services that calls of the class were seen to use below this one
}

// Exchange is the control message between two nodes.
type Exchange struct {
	From    Instance
	Digest  Digest
	Entries []Instance `json:",omitempty"` // rumors and the contents of differing buckets
	Answer  bool       `json:",omitempty"` // true in the answer to an exchange
}
