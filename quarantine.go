package gypsumrail

// Standing is how a request's content is treated because of the targets that crashed
// while they ran it.
type Standing string

// Standings of a request.
const (
	// Clear means that nothing is held against the request.
	Clear Standing = ""
	// Suspected means that a target crashed while it ran the request among others. At
	// each target, one suspected request runs at a time.
	Suspected Standing = "Suspected"
	// Quarantined means that so many targets crashed while they ran the request that
	// no target may run it.
	Quarantined Standing = "Quarantined"
)

// Crash is the end of one target while it ran requests.
type Crash struct {
	Address  string   // peers port of the node beside the target
	Age      Millis   // since the target ended; at least 0
	Requests []uint64 `json:",omitempty"` // fingerprints of the requests that the target ran

	// OnTrial means that the requests were suspected when their runs began. Other runs
	// may have begun before anything was known, and several targets may crash together
	// for a reason of their own.
	OnTrial bool `json:",omitempty"`
}

// Completion is the end of runs whose target survived them.
type Completion struct {
	Age      Millis // since the runs ended; at least 0
	Requests []uint64
}

// Evidence is what nodes tell each other about requests that targets ran when they
// crashed. Ages stand for times because each node has a clock of its own.
type Evidence struct {
	Crashes     []Crash      `json:",omitempty"`
	Completions []Completion `json:",omitempty"` // only of requests that crashes name
}

// Judgment is the standing of a request and the evidence for it.
type Judgment struct {
	Fingerprint uint64
	Standing    Standing
	Left        Millis  // until the standing ends unless there is new evidence
	Crashes     []Crash // since the request last completed, oldest first, without Requests
}

// Quarantine judges which requests crash the targets that run them, from the evidence of
// all nodes. Requests are identified by their fingerprints; 0 stands for an unknown one
// and is always clear. It is not safe for concurrent use.
type Quarantine interface {
	// RecordCrash records that the target beside the node with this address ended while
	// it ran a request. See Crash.OnTrial.
	RecordCrash(now Millis, address string, fingerprint uint64, onTrial bool)
	// RecordCompletion records that a target ran a request to its end. It clears the
	// request of all crashes until now.
	RecordCompletion(now Millis, fingerprint uint64)
	// Judge returns the judgment of a request.
	Judge(now Millis, fingerprint uint64) Judgment
	// Merge adds the evidence of a peer.
	Merge(now Millis, evidence Evidence)
	// News returns the evidence that was added since it was last called, for passing on.
	News(now Millis) Evidence
	// Main returns the evidence that nodes compare: that about requests with repeated
	// crashes, and the latest about others. It is small.
	Main(now Millis) Evidence
	// Digest returns a hash of the evidence about requests with repeated crashes, without
	// its times. Equal digests mean equal evidence. It is 0 without any.
	Digest() uint64
	// Judgments returns the requests that are not clear, quarantined ones first, and at
	// most limit.
	Judgments(now Millis, limit int) []Judgment
	// Expire drops evidence that no longer counts.
	Expire(now Millis)
}
