package gypsumrail

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// CallID identifies a call within one node. It has no meaning outside the
// process.
type CallID uint64

// Incarnation identifies one run of an instance: the Unix milliseconds at its
// start shifted left by 20 bits, plus 20 random bits. A higher value is a later
// run. Zero means unknown.
type Incarnation uint64

// Revision is the number of a published version of a value. Higher is newer; zero
// means that none is known.
type Revision uint64

// Importance ranks request classes from 0 (shed first) to 9 (shed last).
type Importance int

// The range of Importance, and the lowest importance that may use the reserved
// slots.
const (
	ImportanceMin      Importance = 0
	ImportanceMax      Importance = 9
	ImportanceReserved Importance = 8
)

// Level orders calls for shedding, by the importance of the class and then by a
// hash of the user request. The hash is the same at every hop, so that all hops
// of a chain make the same decision about a user request. The level of a call is
// from 0 to LevelMax-1, a threshold from 0 to LevelMax.
type Level int

// LevelsPerImportance is the number of levels within one importance.
const LevelsPerImportance = 128

// LevelMax is one above the highest level of a call. A threshold of LevelMax
// refuses everything.
const LevelMax = Level(ImportanceMax+1) * LevelsPerImportance

// LevelOf returns the level of the calls of a user request, given the importance
// of their class and the identity of the request.
func LevelOf(importance Importance, request string) Level {
	return Level(importance)*LevelsPerImportance + Level(xxhash.Sum64String(request)%LevelsPerImportance)
}

// useFull is the marginal usage of an account's rate limit at which a request has the
// lowest level of its importance.
const useFull = 2

// LevelAt returns the level of the calls of a user request whose account has the given
// usage of its rate limit, where 1 is the whole limit. A threshold admits the same
// usage of each account of an importance: of an account with the usage use, it admits
// the requests whose hash, as a share of its range, is below that usage divided by use.
// The level is at least 1, because Effect.Level and Arrival.Level have another meaning
// for 0.
func LevelAt(importance Importance, request string, use float64) Level {
	marginal := float64(xxhash.Sum64String(request)) / (1 << 64) * max(use, 0) / useFull
	sublevel := Level((LevelsPerImportance - 1) * (1 - min(1, marginal)))
	return max(1, Level(importance)*LevelsPerImportance+sublevel)
}

// Outcome states whether a call ran.
type Outcome string

// Outcomes of a call or of one attempt.
const (
	// NotRun means that the attempt did not run and never will.
	NotRun Outcome = "NotRun"
	// Ran means that the target ran the call. The answer may have been lost.
	Ran Outcome = "Ran"
	// Unknown means that the call may have run.
	Unknown Outcome = "Unknown"
)

// Reason states why a call was refused or failed.
type Reason string

// Reasons, as they appear in problem bodies, metrics and traces.
const (
	ReasonNone           Reason = ""
	ReasonOverload       Reason = "Overload"       // the queue is full or the call was evicted from it
	ReasonShed           Reason = "Shed"           // the level is below the threshold of this service or of one further down the chain
	ReasonDeadline       Reason = "Deadline"       // the call cannot finish in its remaining time
	ReasonDraining       Reason = "Draining"       // the instance is leaving
	ReasonNoUpstream     Reason = "NoUpstream"     // no usable upstream can serve the class
	ReasonNoAllowance    Reason = "NoAllowance"    // the retry allowance or the retry budget is used up
	ReasonUnknownName    Reason = "UnknownName"    // service or class is not in the records in force
	ReasonKeyRequired    Reason = "KeyRequired"    // a non-repeatable call came without a valid key
	ReasonKeyExpired     Reason = "KeyExpired"     // the epoch of the key is no longer accepted
	ReasonKeyRefused     Reason = "KeyRefused"     // a tombstone forbids this attempt
	ReasonKeyInUse       Reason = "KeyInUse"       // the call of this key is still running
	ReasonKeyDone        Reason = "KeyDone"        // the call of this key ran; its answer is not kept
	ReasonHomeGone       Reason = "HomeGone"       // the home of the key cannot be reached or was replaced
	ReasonTargetFailed   Reason = "TargetFailed"   // the target could not be reached or broke the connection
	ReasonSilent         Reason = "Silent"         // the connection stopped carrying data
	ReasonBroken         Reason = "Broken"         // the connection broke before a whole answer
	ReasonCrashed        Reason = "Crashed"        // the target ended while it ran the call
	ReasonQuarantined    Reason = "Quarantined"    // requests with the same content crashed several targets; see Quarantine
	ReasonSuspected      Reason = "Suspected"      // the request may crash targets, and others that may are tried first
	ReasonConnect        Reason = "Connect"        // no connection could be opened, so nothing was sent
	ReasonCallerGone     Reason = "CallerGone"     // the caller left
	ReasonSuperseded     Reason = "Superseded"     // a resend of the same request gets the answer instead
	ReasonTooDeep        Reason = "TooDeep"        // the chain is deeper than the limit
	ReasonTargetBusy     Reason = "TargetBusy"     // the target itself refused the call without running it
	ReasonMisdirected    Reason = "Misdirected"    // another instance has the address of the intended one
	ReasonTimeout        Reason = "Timeout"        // the longest wait that the class allows is over
	ReasonUnknownKey     Reason = "UnknownKey"     // the API key belongs to no client account in the records in force
	ReasonOverLimit      Reason = "OverLimit"      // the client account has used up its rate limit
	ReasonNoGrant        Reason = "NoGrant"        // no node that holds a share of the account's rate limit could be asked
	ReasonStaleRecords   Reason = "StaleRecords"   // the records in force may be too old to tell which keys are valid
	ReasonInvalidAccount Reason = "InvalidAccount" // the definition of the client account of the API key is not usable
	ReasonUnknownParent  Reason = "UnknownParent"  // the request needs an API key, or is a call of a target that runs no such request here
	ReasonInvalidClass   Reason = "InvalidClass"   // the definition of the class in the records in force is not usable
)

// FormatFingerprint formats the fingerprint of a request for logs and operators: 16
// hexadecimal digits.
func FormatFingerprint(fingerprint uint64) string { return fmt.Sprintf("%016x", fingerprint) }

// ParseFingerprint parses the format of FormatFingerprint. It returns false for another
// text and for the fingerprint 0, which stands for none.
func ParseFingerprint(text string) (uint64, bool) {
	fingerprint, err := strconv.ParseUint(text, 16, 64)
	return fingerprint, err == nil && fingerprint != 0 && text == FormatFingerprint(fingerprint)
}
