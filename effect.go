package gypsumrail

// EffectKind names the kind of an effect.
type EffectKind string

// Kinds of effects. The comment names the fields that each kind uses besides Kind.
//
// An Answer whose caller has left is read to its end and dropped, or kept if the
// call is keyed: TargetDone must follow so that the slot is freed. A Refuse with
// the outcome Ran and a Key is replaced by the kept answer of that key if there is
// one.
const (
	Forward       EffectKind = "Forward"       // Call, Attempt, To, Deadline, Allowance, Importance, Invested, Key, HomeAttempt
	RunTarget     EffectKind = "RunTarget"     // Call, To (if this node chose it), Deadline
	Answer        EffectKind = "Answer"        // Call, Attempt (0: the own target), Allowance, Report, Hints: pass the answer on
	Refuse        EffectKind = "Refuse"        // Call, Outcome, Reason, RetryAfter, Allowance, Report, Hints, Keys
	Join          EffectKind = "Join"          // Call, Onto: the answer of call Onto goes to the caller of Call
	CancelAttempt EffectKind = "CancelAttempt" // Call, Attempt
	CancelTarget  EffectKind = "CancelTarget"  // Call; TargetDone or TargetFailed follows as always
	AskResolve    EffectKind = "AskResolve"    // Call, Attempt, To, Key, HomeAttempt; without Key only the report is asked for
	ResolveReply  EffectKind = "ResolveReply"  // Call, Outcome, Reason, Report
	Tickets       EffectKind = "Tickets"       // Call, Keys, or Reason if there are none
	SendExchange  EffectKind = "SendExchange"  // To, Exchange; Call is set in the answer to an Exchanged event with that Call
	Pull          EffectKind = "Pull"          // To, Value: fetch the content of a value from a peer
	Adopt         EffectKind = "Adopt"         // Value: the content read with this version is in force; serve it to peers
	Watch         EffectKind = "Watch"         // On: start or stop watching the platform
	Log           EffectKind = "Log"           // Notice, Subject, Reason
	Stop          EffectKind = "Stop"          // the drain is complete
)

// Effect is something that the shell does for the reducer. Pointers and slices
// in it stay valid until the next step of the same node.
type Effect struct {
	Kind        EffectKind
	Call        CallID       `json:",omitempty"`
	Attempt     int          `json:",omitempty"`
	Onto        CallID       `json:",omitempty"`
	To          Instance     `json:",omitzero"`
	Deadline    Millis       `json:",omitempty"` // point in time
	Allowance   int          `json:",omitempty"`
	Importance  Importance   `json:",omitempty"`
	Invested    Millis       `json:",omitempty"`
	Kept        bool         `json:",omitempty"` // Forward: the receiver exempts it from its threshold
	Key         string       `json:",omitempty"`
	HomeAttempt HomeAttempt  `json:",omitempty"`
	Outcome     Outcome      `json:",omitempty"`
	Reason      Reason       `json:",omitempty"`
	RetryAfter  Millis       `json:",omitempty"`
	Report      *Report      `json:",omitempty"`
	Hints       []Hint       `json:",omitempty"`
	Keys        []string     `json:",omitempty"`
	Uses        []string     `json:",omitempty"` // Answer, Refuse to a peer: services that the class was seen to use
	Exchange    *Exchange    `json:",omitempty"`
	Value       ValueVersion `json:",omitzero"`
	On          bool         `json:",omitempty"`
	Notice      Notice       `json:",omitempty"`
	Subject     string       `json:",omitempty"`
	Detail      string       `json:",omitempty"` // Log: what else decided it, as Name=value
}

// Notice numbers a log event. The catalogue is in docs/events.md.
type Notice int

// Notices that the reducer emits. Those of the shell start at 2000.
const (
	NoticeRevisionAdopted Notice = 1001 // a new revision is in force
	NoticeRevisionIgnored Notice = 1002 // a lower or absurd revision was offered
	NoticeDefaultsInUse   Notice = 1003 // no revision was found in time
	NoticeReaderStarted   Notice = 1101 // this node now watches the platform for its zone
	NoticeReaderStopped   Notice = 1102 // this node no longer watches the platform
	NoticeInstanceSuspect Notice = 1203
	NoticeThresholdRaised Notice = 1301
	NoticeThresholdZero   Notice = 1302
	NoticeUpstreamSilent  Notice = 1401
	NoticeUpstreamLost    Notice = 1402 // neither its calls nor its node are answered
	NoticeUpstreamBack    Notice = 1403
	NoticePaused          Notice = 1501 // the process was paused; held work is rechecked
	NoticeDrainStarted    Notice = 1601
	NoticeDrainComplete   Notice = 1602
	NoticeUnknownAnswer   Notice = 1701 // an answer for an unknown call or attempt was dropped
	NoticeLedgerFull      Notice = 1801
)
