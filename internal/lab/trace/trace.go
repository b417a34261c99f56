// Package trace reads and writes traces: files of JSON Lines that hold either
// the events of one node or the workload and the faults of a scenario.
//
// Replays verify the decisions against stated outcomes, so the same file must
// mean the same thing on every machine: the format is versioned, the reader
// refuses what it does not know, and everything random in a scenario is drawn
// from the seed in the header. docs/traces.md describes the format.
package trace

import (
	"encoding/json"

	"github.com/gypsumrail/gypsumrail"
)

// FormatVersion is the version of the format that this package reads and writes.
const FormatVersion = 1

// Kind tells what the lines after the header are.
type Kind string

// Kinds of traces.
const (
	KindNode     Kind = "Node"     // events of one node
	KindScenario Kind = "Scenario" // workload and faults
)

// Header is the first line of a trace.
type Header struct {
	FormatVersion int
	Kind          Kind
	Name          string
	Seed          uint64              `json:",omitempty"`
	Until         gypsumrail.Millis   `json:",omitempty"` // Scenario: length; no request arrives later
	RecordsFile   string              `json:",omitempty"` // record set, as a path relative to the trace
	Records       json.RawMessage     `json:",omitempty"` // record set inline, instead of RecordsFile
	Self          gypsumrail.Instance `json:",omitzero"`  // Node: the instance whose events follow
	Plain         bool                `json:",omitempty"` // Node: it serves plain requests
	Delays        Delays              `json:",omitzero"`  // Scenario
	Trigger       Span                `json:",omitzero"`  // Scenario: the cause of the overload, for the recovery time
	Outcomes      []Outcome           `json:",omitempty"` // Scenario
}

// Delays are the constant one-way delays in milliseconds; they need fractions,
// which Millis does not have.
type Delays struct {
	LocalMillis  float64 // between instances of one zone
	ZoneMillis   float64 // between zones
	ClientMillis float64 // between clients and nodes
}

// Span is a part of a scenario.
type Span struct {
	From  gypsumrail.Millis
	Until gypsumrail.Millis
}

// Measure names a figure that an outcome bounds. docs/traces.md defines each.
type Measure string

// Measures that outcomes can bound.
const (
	WeightedShare  Measure = "WeightedShare"  // importance-weighted goodput as a share of the oracle's
	InversionShare Measure = "InversionShare" // importance inversions as a share of the sheds
	RetriesOver    Measure = "RetriesOver"    // the most retries of one user request above the bound of its class
	Recovery       Measure = "Recovery"       // milliseconds
	RunsMax        Measure = "RunsMax"        // runs of one non-repeatable call
	RunAfterNotRun Measure = "RunAfterNotRun" // calls that were answered NotRun and ran
	BaselineShare  Measure = "BaselineShare"  // weighted goodput as a share of the best baseline's
)

// Outcome is a stated bound on a measure. Exactly one of the bounds is set.
type Outcome struct {
	Measure Measure
	Policy  string
	AtLeast *float64 `json:",omitempty"`
	AtMost  *float64 `json:",omitempty"`
}

// Line is one line of a scenario. Exactly one field is set.
type Line struct {
	Phase *Phase `json:",omitempty"`
	Calls *Calls `json:",omitempty"`
	Work  *Work  `json:",omitempty"`
	Fault *Fault `json:",omitempty"`
}

// Phase is a Poisson arrival process of user requests.
type Phase struct {
	Class    string
	Tenant   string `json:",omitempty"`
	Zone     string
	Rate     float64 // requests per second
	From     gypsumrail.Millis
	Until    gypsumrail.Millis
	Deadline gypsumrail.Millis // from the first try; a later answer is not useful
	Timeout  gypsumrail.Millis `json:",omitempty"` // of one try; 0 takes the time left to the deadline
	Retries  int               `json:",omitempty"` // tries after the first
	Backoff  gypsumrail.Millis `json:",omitempty"` // before the second try; doubles with each, plus or minus half at random
	Hard     bool              `json:",omitempty"` // resends at once, ignores Retry-After, states no remaining time and keeps the try before open
}

// Calls states which services a service calls while it serves a class: the
// steps one after the other, the services of one step in parallel.
type Calls struct {
	Class   string
	Service string
	Steps   [][]string
}

// Spread is the distribution of a service time.
type Spread string

// Spreads of service times.
const (
	Fixed       Spread = "Fixed"
	Exponential Spread = "Exponential"
	Lognormal   Spread = "Lognormal"
)

// Work is the time that a target works on one call, without its outgoing calls.
type Work struct {
	Class      string // empty: every class without a line of its own
	Service    string
	MeanMillis float64
	Spread     Spread
	Sigma      float64 `json:",omitempty"` // Lognormal: deviation of the logarithm
}

// FaultKind names the kind of a fault.
type FaultKind string

// Kinds of faults. The comment names the fields that each uses besides the span and the place.
const (
	Slow         FaultKind = "Slow"         // Factor: service times are multiplied
	Down         FaultKind = "Down"         // the target refuses connections; its runs break
	Restart      FaultKind = "Restart"      // Factor: down, then service times fall from Factor to 1 within the service's ColdStart
	ReportFrozen FaultKind = "ReportFrozen" // the load report repeats its last value
	ReportFalse  FaultKind = "ReportFalse"  // Slots, Busy: the load report states these
	FewerSlots   FaultKind = "FewerSlots"   // Slots: the target runs this many calls at once
	Refuses      FaultKind = "Refuses"      // the target answers every new call that it is overloaded
)

// Fault changes one target, or all targets of a service if Target is empty.
type Fault struct {
	Kind    FaultKind
	Service string
	Target  string  `json:",omitempty"`
	Factor  float64 `json:",omitempty"`
	Slots   int     `json:",omitempty"`
	Busy    int     `json:",omitempty"`
	From    gypsumrail.Millis
	Until   gypsumrail.Millis
}

// File is a whole trace.
type File struct {
	Header  Header
	Records *gypsumrail.Records // what the header's record set says; nil if it has none
	Phases  []Phase
	Calls   []Calls
	Work    []Work
	Faults  []Fault
	Events  []gypsumrail.Event
}
