package shell

import (
	"net/http"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/events"
	"github.com/gypsumrail/gypsumrail/internal/node/form"
	"github.com/gypsumrail/gypsumrail/internal/node/loop"
)

// Reducer turns an event into effects. The shell never calls it concurrently.
type Reducer = loop.Reducer

// Logger writes the numbered log events. It is called from one goroutine.
type Logger = events.Logger

// Notices that the shell logs. docs/events.md lists them.
const (
	NoticeNodeStarted       gypsumrail.Notice = 2001 // the listeners are open
	NoticeNodeStopped       gypsumrail.Notice = 2002 // the listeners are closed
	NoticeLinesDropped      gypsumrail.Notice = 2003 // log events were dropped because the logger was too slow
	NoticeRecordsRejected   gypsumrail.Notice = 2101 // a revision of the records is invalid; the previous one stays in force
	NoticeInstancesRejected gypsumrail.Notice = 2102 // an instance list is invalid; the previous one stays in force
	NoticePlatformAway      gypsumrail.Notice = 2103 // a read from the platform failed, the first one in a row
	NoticePlatformBack      gypsumrail.Notice = 2104 // a read from the platform succeeded after one that failed
	NoticePullFailed        gypsumrail.Notice = 2105 // a value could not be fetched from a peer
	NoticeRecordsFault      gypsumrail.Notice = 2106 // a part of the records in force is not usable
	NoticeServerFault       gypsumrail.Notice = 2201 // a server or listener reported an error, or an effect is of an unsupported kind
	NoticeForeignAnswer     gypsumrail.Notice = 2202 // a peer's answer belonged to another attempt or was malformed
	NoticeAnswerMalformed   gypsumrail.Notice = 2203 // an answer was refused for its form
	NoticeSecondSignal      gypsumrail.Notice = 2301 // a second SIGINT ended the process at once
	NoticeSignalIgnored     gypsumrail.Notice = 2302 // a further signal arrived during a drain, which goes on
)

// End describes a call that ended at this node.
type End struct {
	Origin   gypsumrail.Origin
	Service  string
	Class    string
	Account  string
	Outcome  gypsumrail.Outcome
	Reason   gypsumrail.Reason // ReasonNone for an answer of a target
	Status   int
	Duration time.Duration // from the call's headers to the last byte of its answer; 0 if rejected before the reducer
}

// Meter counts calls and records durations. Implementations are safe for
// concurrent use, do not block and bound the number of their label sets.
type Meter interface {
	// RecordCall records a call that was answered or refused.
	RecordCall(end End)
	// RecordStep records the duration of one step of the reducer, including the
	// start of its effects.
	RecordStep(kind gypsumrail.EventKind, took time.Duration)
	// RecordFault counts an answer that was refused for its form.
	RecordFault(hop Hop, fault form.Fault)
}

// Parts are the components that a shell uses.
type Parts struct {
	Reducer Reducer
	// Status returns the reducer's part of /status. It is called between two steps
	// and its result is encoded as JSON before the next step, so that it may share
	// memory with the reducer. Nil for none.
	Status       func() any
	ParseRecords func(content []byte) (*gypsumrail.Records, error) // parses the value Records
	Logger       Logger
	Meter        Meter
	Metrics      http.Handler // serves /metrics on the admin port; nil for none
	Clock        gypsumrail.Clock
}
