// Package trace reads and writes traces. A trace is a file of JSON Lines with
// either the events of one node or the workload and the faults of a scenario.
//
// A replay checks the decisions of nodes against the outcomes that the trace
// states, so a file must mean the same on every machine. The format is
// versioned, the reader rejects what it does not know, and all random values of a
// scenario are drawn from the seed in the header. docs/traces.md describes the
// format.
package trace

import (
	"encoding/json"

	"github.com/gypsumrail/gypsumrail"
)

// FormatVersion is the version of the format that this package reads and writes.
const FormatVersion = 1

// Kind is the kind of a trace. It determines the type of the lines after the header.
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
	Until         gypsumrail.Millis   `json:",omitempty"` // Scenario: its length; no request arrives after it
	RecordsFile   string              `json:",omitempty"` // record set, as a path relative to the trace
	Records       json.RawMessage     `json:",omitempty"` // record set inline, instead of RecordsFile
	Self          gypsumrail.Instance `json:",omitzero"`  // Node: the instance whose events follow
	Plain         bool                `json:",omitempty"` // Node: it serves plain requests
	Delays        Delays              `json:",omitzero"`  // Scenario
	Trigger       Span                `json:",omitzero"`  // Scenario: when the cause of the overload acts; the recovery time counts from its end
	Outcomes      []Outcome           `json:",omitempty"` // Scenario
}

// Delays are the constant one-way delays in milliseconds. They are floats because
// Millis has no fractions.
type Delays struct {
	LocalMillis  float64 // between instances of one zone
	ZoneMillis   float64 // between zones
	ClientMillis float64 // between clients and nodes
}

// Span is a time span of a scenario. From belongs to it, Until does not.
type Span struct {
	From  gypsumrail.Millis
	Until gypsumrail.Millis
}

// Measure names a result of a replay. docs/traces.md defines each.
type Measure string

// Measures that an outcome can put a bound on.
const (
	WeightedShare  Measure = "WeightedShare"  // importance-weighted goodput as a share of the oracle's
	InversionShare Measure = "InversionShare" // importance inversions as a share of the sheds
	RetriesOver    Measure = "RetriesOver"    // most retries of one user request beyond the allowance of its class
	Recovery       Measure = "Recovery"       // recovery time in milliseconds
	RunsMax        Measure = "RunsMax"        // most runs of one call of a class that is not repeatable
	RunAfterNotRun Measure = "RunAfterNotRun" // calls that ran although their caller received NotRun
	BaselineShare  Measure = "BaselineShare"  // weighted goodput as a share of the best baseline's
)

// Outcome is a bound on a measure that a replay under the policy must meet.
// Exactly one of AtLeast and AtMost is set.
type Outcome struct {
	Measure Measure
	Policy  string   // empty: all policies
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
	Account  string `json:"Tenant,omitempty"`
	Zone     string
	Rate     float64 // requests per second
	From     gypsumrail.Millis
	Until    gypsumrail.Millis
	Deadline gypsumrail.Millis // counted from the first try; a later answer is not useful
	Timeout  gypsumrail.Millis `json:",omitempty"` // of one try; 0 means the time left to the deadline
	Retries  int               `json:",omitempty"` // tries after the first
	Backoff  gypsumrail.Millis `json:",omitempty"` // before the second try; doubles with each try, plus or minus half at random
	Hard     bool              `json:",omitempty"` // resends at once, ignores Retry-After, states no remaining time and leaves earlier tries open
}

// Calls states which services a service calls while it serves a class. The steps
// run one after the other, the calls of one step in parallel.
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

// Work is the service time of one call: the time that a target works on it,
// without the time of its outgoing calls.
type Work struct {
	Class      string // empty: every class without a line of its own
	Service    string
	MeanMillis float64
	Spread     Spread
	Sigma      float64 `json:",omitempty"` // Lognormal: standard deviation of the logarithm
}

// FaultKind is the kind of a fault.
type FaultKind string

// Kinds of faults. The comments name the fields that each uses besides Service,
// Target, From and Until.
const (
	Slow         FaultKind = "Slow"         // Factor: service times are multiplied by it
	Down         FaultKind = "Down"         // the target refuses connections; its running and queued calls fail
	Restart      FaultKind = "Restart"      // Factor: down; afterwards service times fall from Factor times to normal within the service's ColdStart
	ReportFrozen FaultKind = "ReportFrozen" // the load report repeats its last value
	ReportFalse  FaultKind = "ReportFalse"  // Slots, Busy: the load report states these
	FewerSlots   FaultKind = "FewerSlots"   // Slots: the target runs this many calls at once
	Refuses      FaultKind = "Refuses"      // the target answers every new call with an overload error
)

// Fault affects one target, or all targets of a service if Target is empty.
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

// File is a parsed trace.
type File struct {
	Header  Header
	Records *gypsumrail.Records // from Records or RecordsFile of the header; nil if it has neither
	Phases  []Phase
	Calls   []Calls
	Work    []Work
	Faults  []Fault
	Events  []gypsumrail.Event
}
