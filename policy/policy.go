// Package policy builds the nodes of a replay: those that run, the baselines, and
// those that have one part replaced by its baseline, which shows what the part
// is worth.
package policy

import (
	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/core"
	"github.com/gypsumrail/gypsumrail/ledger"
	"github.com/gypsumrail/gypsumrail/limit"
	"github.com/gypsumrail/gypsumrail/member"
	"github.com/gypsumrail/gypsumrail/queue"
	"github.com/gypsumrail/gypsumrail/retry"
	"github.com/gypsumrail/gypsumrail/revise"
	"github.com/gypsumrail/gypsumrail/route"
	"github.com/gypsumrail/gypsumrail/shed"
)

// Policy is a choice of decision parts.
type Policy struct {
	Name     string
	Settings core.Settings

	// Parts that are replaced by their plain form.
	plainLimit, plainQueue, plainShed, plainRetry, plainRoute bool
	unbounded                                                 bool // no limit but the target's own
}

// All returns all policies in the order of the report.
func All() []Policy {
	perHop := core.Settings{Retry: core.RetryPerHop}
	return []Policy{
		{
			Name:      "none",
			Settings:  core.Settings{Retry: core.RetryNone, ReserveShare: -1, NoEarlyShed: true, NoDeadlines: true},
			unbounded: true, plainLimit: true, plainQueue: true, plainShed: true, plainRetry: true, plainRoute: true,
		},
		{
			Name:       "static",
			Settings:   core.Settings{Retry: core.RetryPerHop, ReserveShare: -1, NoEarlyShed: true, NoDeadlines: true},
			plainLimit: true, plainQueue: true, plainShed: true, plainRetry: true, plainRoute: true,
		},
		Full(),
		{Name: "full-limit", plainLimit: true},
		{Name: "full-queue", plainQueue: true},
		{Name: "full-shed", plainShed: true, Settings: core.Settings{NoEarlyShed: true}},
		{Name: "full-retry", plainRetry: true, Settings: perHop},
		{Name: "full-route", plainRoute: true},
	}
}

// Full returns the policy that nodes run.
func Full() Policy { return Policy{Name: "full"} }

// Parts builds the decision parts of one node.
func (p *Policy) Parts(self gypsumrail.Instance, records *gypsumrail.Records) core.Parts {
	slots := 1
	if target := records.Targets[self.Name]; target != nil {
		slots = target.Slots
	}
	parts := core.Parts{
		Limiter:   limit.NewStatic(slots),
		Queue:     queue.NewFIFO(queue.Settings{}),
		Shedder:   shed.None{},
		Router:    route.NewRoundRobin(),
		Budget:    unlimited{},
		Ledger:    ledger.New(self, ledger.Settings{}),
		Directory: member.New(self, member.Settings{}),
		Values:    revise.New(revise.Settings{}),
	}
	if p.unbounded {
		parts.Limiter = limit.Unlimited{}
	}
	if !p.plainLimit {
		parts.Limiter = limit.New(limit.Settings{})
	}
	if !p.plainQueue {
		parts.Queue = queue.New(queue.Settings{})
	}
	if !p.plainShed {
		parts.Shedder = shed.New(shed.Settings{})
	}
	if !p.plainRoute {
		parts.Router = route.New(self, route.Settings{})
	}
	if !p.plainRetry {
		parts.Budget = retry.New(retry.Settings{})
	}
	return parts
}
