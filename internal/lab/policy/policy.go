// Package policy builds the nodes of a replay: those that run, the baselines, and
// those that have one part replaced by its baseline, which shows what the part
// is worth.
package policy

import (
	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/core"
	"github.com/gypsumrail/gypsumrail/internal/node/setup"
	"github.com/gypsumrail/gypsumrail/limit"
	"github.com/gypsumrail/gypsumrail/queue"
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
	built := setup.New(self, setup.Settings{Route: route.Settings{Tuning: tuningOf(records)}})
	if p.plainLimit {
		built.Limiter = limit.NewStatic(slots)
	}
	if p.unbounded {
		built.Limiter = limit.Unlimited{}
	}
	if p.plainQueue {
		built.Queue = queue.NewFIFO(queue.Settings{})
	}
	if p.plainShed {
		built.Shedder = shed.None{}
	}
	if p.plainRoute {
		built.Router = route.NewRoundRobin()
	}
	if p.plainRetry {
		built.Budget = unlimited{}
	}
	return built
}

func tuningOf(records *gypsumrail.Records) func(string) route.Tuning {
	return func(name string) route.Tuning {
		service := records.Services[name]
		if service == nil {
			return route.Tuning{}
		}
		return route.Tuning{ColdStart: service.ColdStart, ZoneDelay: service.ZoneDelay}
	}
}
