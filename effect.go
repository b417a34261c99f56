package gypsumrail

// EffectKind names the kind of an effect.
type EffectKind string

// Kinds of effects. Each comment names the fields that the kind uses besides Kind.
//
// If the caller of an Answer has left, the shell reads the answer to its end, so
// that TargetDone follows and the slot is freed. It stores the answer if the call
// has a key, and drops it otherwise. A Refuse with the outcome Ran and a Key is
// replaced by the stored answer of that key if there is one.
const (
	Forward       EffectKind = "Forward"       // Call, Attempt, To, Deadline, Allowance, Importance, Level, Invested, Key, HomeAttempt, RateLimit, Crashes
	RunTarget     EffectKind = "RunTarget"     // Call, To (if this node chose it), Deadline
	Answer        EffectKind = "Answer"        // Call, Attempt (0: the node's target), Allowance, Report, Hints, TargetFault: return it to the caller
	Refuse        EffectKind = "Refuse"        // Call, Outcome, Reason, RetryAfter, Allowance, Report, Hints, Key (with Ran), Keys (new ones), Detail
	Join          EffectKind = "Join"          // Call, Onto: the caller of Call gets the answer of call Onto
	CancelAttempt EffectKind = "CancelAttempt" // Call, Attempt
	CancelTarget  EffectKind = "CancelTarget"  // Call; TargetDone or TargetFailed still follows
	AskResolve    EffectKind = "AskResolve"    // Call, Attempt, To, Key, HomeAttempt; without Key it requests only the report
	ResolveReply  EffectKind = "ResolveReply"  // Call, Outcome, Reason, Report
	Tickets       EffectKind = "Tickets"       // Call, Keys, or Reason if there are none
	SendExchange  EffectKind = "SendExchange"  // To, Exchange; Call is set in the answer to the Exchanged event of that Call
	Pull          EffectKind = "Pull"          // To, Value: fetch the content of a value from a peer
	Adopt         EffectKind = "Adopt"         // Value: the content read with this version is now in force; serve it to peers
	AskGrant      EffectKind = "AskGrant"      // To, Ask: GrantReplied follows
	ReplyGrant    EffectKind = "ReplyGrant"    // Call, Granted: the reply to the GrantAsked event of that Call
	Watch         EffectKind = "Watch"         // On: start or stop watching the platform
	Log           EffectKind = "Log"           // Notice, Subject, Reason
	Stop          EffectKind = "Stop"          // the drain is complete
)

// Effect is an action that the reducer requests from the shell. Its pointers and
// slices stay valid until the reducer handles the next event of the same node.
type Effect struct {
	Kind        EffectKind
	Call        CallID       `json:",omitempty"`
	Attempt     int          `json:",omitempty"`
	Onto        CallID       `json:",omitempty"`
	To          Instance     `json:",omitzero"`
	Deadline    Millis       `json:",omitempty"` // point in time
	Allowance   int          `json:",omitempty"`
	Importance  Importance   `json:",omitempty"`
	Level       Level        `json:",omitempty"` // Forward: of the user request; 0 if it follows from the importance and the request
	Invested    Millis       `json:",omitempty"`
	Kept        bool         `json:",omitempty"` // Forward: the receiver does not apply its threshold to the call
	Crashes     []Crash      `json:",omitempty"` // Forward: crashes of targets that ran the request
	RateLimit   float64      `json:",omitempty"` // Forward: the rate limit that the upstream last reported, in calls a second
	Key         string       `json:",omitempty"`
	HomeAttempt HomeAttempt  `json:",omitempty"`
	Outcome     Outcome      `json:",omitempty"`
	Reason      Reason       `json:",omitempty"`
	RetryAfter  Millis       `json:",omitempty"`
	Report      *Report      `json:",omitempty"`
	Hints       []Hint       `json:",omitempty"`
	Keys        []string     `json:",omitempty"`
	TargetFault bool         `json:",omitempty"` // Answer to a peer: see Result.TargetFault
	Uses        []string     `json:",omitempty"` // Answer, Refuse to a peer: services that calls of the class have used
	Exchange    *Exchange    `json:",omitempty"`
	Ask         *GrantAsk    `json:",omitempty"`
	Granted     *GrantReply  `json:",omitempty"`
	Value       ValueVersion `json:",omitzero"`
	On          bool         `json:",omitempty"`
	Notice      Notice       `json:",omitempty"`
	Subject     string       `json:",omitempty"`
	Detail      string       `json:",omitempty"` // Log, Refuse: further facts behind the decision, as Name=value
}

// Notice is the number of a log event. docs/events.md lists them all.
type Notice int

// Notices of the reducer. Those of the shell start at 2000.
const (
	NoticeRevisionAdopted  Notice = 1001 // a new revision is in force
	NoticeRevisionIgnored  Notice = 1002 // the offered revision was lower or too far ahead
	NoticeDefaultsInUse    Notice = 1003 // no revision was found in time
	NoticePlatformRestored Notice = 1004 // the platform came back from an older copy
	NoticeRecordsStale     Notice = 1005 // requests with keys are refused, because the records may be out of date
	NoticeRecordsFresh     Notice = 1006 // the store confirmed the records again
	NoticeReaderStarted    Notice = 1101 // this node now watches the platform for its zone
	NoticeReaderStopped    Notice = 1102 // this node no longer watches the platform
	NoticeInstanceSuspect  Notice = 1203
	NoticeTargetLeaving    Notice = 1204 // the target of an instance states that it is leaving
	NoticeBrokerChanged    Notice = 1205 // another broker holds this node's share of the rate limits
	NoticeThresholdRaised  Notice = 1301
	NoticeThresholdZero    Notice = 1302
	NoticeRateLimited      Notice = 1303 // the own target states a rate limit, or another one
	NoticeRateUnlimited    Notice = 1304 // the own target no longer states a rate limit
	NoticeTargetCrashed    Notice = 1305 // the own target ended while it ran calls
	NoticeUpstreamSilent   Notice = 1401
	NoticeUpstreamLost     Notice = 1402 // neither its calls nor the probes of its node are answered
	NoticeUpstreamBack     Notice = 1403
	NoticeZoneLeft         Notice = 1404 // calls of a service may leave the own availability zone
	NoticeZoneKept         Notice = 1405 // calls of a service no longer leave it
	NoticePaused           Notice = 1501 // the process was paused; queued work is checked again
	NoticeDrainStarted     Notice = 1601
	NoticeDrainComplete    Notice = 1602
	NoticeUnknownAnswer    Notice = 1701 // an answer for an unknown call or attempt was dropped
	NoticeLedgerFull       Notice = 1801
	// A request was running at so many crashes that no target may run it any more.
	NoticeRequestQuarantined Notice = 1901
	NoticeQuarantineEnded    Notice = 1902
	NoticeRequestReleased    Notice = 1903
)
