package shell

import (
	"net/http"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/drive"
	"github.com/gypsumrail/gypsumrail/internal/node/events"
)

// Reducer makes the decisions. The shell calls it from one goroutine at a time.
type Reducer = drive.Reducer

// Logger takes the numbered log events. The shell calls it from one goroutine.
type Logger = events.Logger

// Notices of the shell.
const (
	NoticeNodeStarted       gypsumrail.Notice = 2001 // the listeners are open
	NoticeNodeStopped       gypsumrail.Notice = 2002 // the listeners are closed
	NoticeLinesDropped      gypsumrail.Notice = 2003 // log events were dropped because writing was too slow
	NoticeRecordsRejected   gypsumrail.Notice = 2101 // a revision is faulty; the one in force stays
	NoticeInstancesRejected gypsumrail.Notice = 2102 // a list of instances is faulty; the one in force stays
	NoticePlatformAway      gypsumrail.Notice = 2103 // a read of the platform failed
	NoticePlatformBack      gypsumrail.Notice = 2104 // the platform answers again
	NoticePullFailed        gypsumrail.Notice = 2105 // a value could not be fetched from a peer
	NoticeServerFault       gypsumrail.Notice = 2201 // a listener reported a fault
	NoticeForeignAnswer     gypsumrail.Notice = 2202 // an answer belonged to another attempt or was malformed
	NoticeSecondSignal      gypsumrail.Notice = 2301 // a second signal ended the process at once
)

// End describes a call that ended at this node.
type End struct {
	Origin  gypsumrail.Origin
	Service string
	Class   string
	Tenant  string
	Outcome gypsumrail.Outcome
	Reason  gypsumrail.Reason // ReasonNone for an answer of a target
	Status  int
	Took    time.Duration // from its headers to the last byte of its answer
}

// Meter counts and times. Implementations are safe for concurrent use, return
// at once and bound their label sets.
type Meter interface {
	// Ended takes a call that got its answer or was refused.
	Ended(end End)
	// Stepped takes the time of one step of the reducer with its effects.
	Stepped(kind gypsumrail.EventKind, took time.Duration)
}

// Parts are what a shell needs besides its settings.
type Parts struct {
	Reducer Reducer
	// Status returns what /status shows of the reducer. It is called between two
	// steps and its result is encoded before the next one.
	Status  func() any
	Records func(content []byte) (*gypsumrail.Records, error) // parses the value Records
	Logger  Logger
	Meter   Meter
	Metrics http.Handler // of the admin port's /metrics; nil for none
	Clock   gypsumrail.Clock
}
