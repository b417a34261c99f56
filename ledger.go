package gypsumrail

// Key is the idempotency key of a non-repeatable request. It names the home, the
// only instance that may run the request.
type Key struct {
	Home        string // name of the instance
	Incarnation Incarnation
	Epoch       uint32
	Nonce       string
}

// HomeAttempt orders the attempts of one key. It is the caller's attempt times
// 256 plus the attempt of the sending node.
type HomeAttempt uint32

// Verdict is the ledger's decision on one attempt of a key.
type Verdict string

// Verdicts of a ledger.
const (
	VerdictStart   Verdict = "Start"   // the attempt was recorded as started; run it now
	VerdictRefused Verdict = "Refused" // the attempt did not run and never will
	VerdictRunning Verdict = "Running" // an attempt of the key is running
	VerdictDone    Verdict = "Done"    // an attempt of the key ran or may have run
	VerdictExpired Verdict = "Expired" // the epoch is no longer accepted; an attempt may have run
	VerdictForeign Verdict = "Foreign" // the key names another home or incarnation; an attempt may have run there
	VerdictFull    Verdict = "Full"    // the ledger is full; the key is refused permanently
	VerdictInvalid Verdict = "Invalid" // the key is malformed or from a future epoch
)

// Ledger records which attempts the home started and which it refused. It keeps
// an entry for as long as a copy of the request can still be accepted. It is not
// safe for concurrent use.
type Ledger interface {
	// Epoch returns the current epoch.
	Epoch(now Millis) uint32
	// Start records an attempt as started if it may run.
	Start(now Millis, key Key, attempt HomeAttempt) Verdict
	// Refuse records a tombstone: the attempt did not run and never will. An attempt
	// that already started is left as it is, and the verdict gives its state.
	Refuse(now Millis, key Key, attempt HomeAttempt) Verdict
	// Finish records the end of the started attempt. After NotRun a higher attempt may start.
	Finish(now Millis, key Key, outcome Outcome)
	// State returns the verdict for an attempt without recording anything.
	State(now Millis, key Key, attempt HomeAttempt) Verdict
	// Expire drops the entries of epochs that are no longer accepted.
	Expire(now Millis)
	// Len returns the number of entries.
	Len() int
}
