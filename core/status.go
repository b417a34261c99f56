package core

import (
	"maps"
	"slices"

	"github.com/gypsumrail/gypsumrail"
)

// Status describes the state of a node for operators.
type Status struct {
	Self       gypsumrail.Instance
	Values     []gypsumrail.ValueVersion
	Defaults   bool // no records were read in time; the built-in default class is used
	Reader     bool // the node watches the platform on behalf of its zone
	Draining   bool
	Report     gypsumrail.Report
	Sends      int     // calls in the sender role
	Serves     int     // calls in the receiver role, queued ones included
	RateLimit  float64 `json:",omitempty"` // calls a second that the own target takes; 0 if it states no rate limit
	Load       *Load   `json:",omitempty"` // the last load that the own target stated; nil if it states none
	Reserved   int     // free slots that only calls of importance 8 and 9 may use
	LedgerSize int
	Instances  int
	Services   []ServiceStatus
	Counts     Counts

	RecordsAge *gypsumrail.Millis      `json:",omitempty"`        // since the store confirmed the records in force; nil if it has not
	Grants     gypsumrail.GrantStatus  `json:",omitzero"`         // of the rate limits of client accounts
	Accounts   []gypsumrail.AccountUse `json:"Tenants,omitempty"` // accounts with the highest usage at this node, at most accountsShown
	Judgments  []gypsumrail.Judgment   `json:",omitempty"`        // requests that crashed targets, at most judgmentsMax
}

// Load is the load that the own target states in its answers.
type Load struct {
	Running, Waiting, Slots int
	Slowdown                float64           // as it counts now: 1 is as usual
	Age                     gypsumrail.Millis // of the statement
}

// judgmentsMax bounds the requests in a status. Operators care for the quarantined ones,
// which come first.
const judgmentsMax = 64

// ServiceStatus is a node's view of one service.
type ServiceStatus struct {
	Name      string
	Budget    float64 // retries left in the retry budget
	Upstreams []gypsumrail.Explained
	Zones     []gypsumrail.ZoneLoad `json:",omitempty"` // other availability zones, if calls may leave the own one
}

// Status returns the state of the node after the last step.
func (n *Node) Status() Status {
	status := Status{
		Self:       n.self,
		Values:     n.parts.Values.Versions(),
		Defaults:   n.defaultsInUse,
		Reader:     n.reader,
		Draining:   n.draining,
		Report:     n.currentReport(),
		Sends:      len(n.senderCalls),
		Serves:     len(n.receiverCalls),
		RateLimit:  n.stated.rate.PerSecond(),
		Load:       n.statedLoad(),
		Reserved:   n.reserve.slots(n.now, n.parts.Limiter.Limit(), n.settings.ReserveShare),
		LedgerSize: n.parts.Ledger.Len(),
		Instances:  n.parts.Directory.Len(),
		Counts:     n.counts,
		RecordsAge: n.recordsAge(),
		Grants:     n.parts.Grants.Status(),
		Accounts:   n.parts.Accounts.Highest(n.now, n.parts.Directory.Len(), accountsShown),
		Judgments:  n.parts.Quarantine.Judgments(n.now, judgmentsMax),
	}
	for _, name := range n.serviceNames() {
		status.Services = append(status.Services, ServiceStatus{
			Name:   name,
			Zones:  n.zoneLoads(name),
			Budget: n.parts.Budget.Left(name),
			Upstreams: n.parts.Router.Explain(n.now, gypsumrail.Choice{
				Service: name, Level: gypsumrail.LevelMax - 1, Importance: gypsumrail.ImportanceMax,
			}),
		})
	}
	return status
}

// ClassNames returns the sorted names of the classes in force: those of the
// records, or the default class while there are none.
func (n *Node) ClassNames() []string {
	if n.records == nil {
		return []string{defaultClass.Name}
	}
	return slices.Sorted(maps.Keys(n.records.Classes))
}
