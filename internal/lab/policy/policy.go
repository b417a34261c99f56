// Package policy builds the decision parts of the nodes of a replay. The policies
// are that of running nodes ("full"), two baselines ("none" and "static"), and
// "full" with one part replaced by its baseline, which shows the contribution of
// that part.
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

	// Parts that are replaced by their baseline.
	baselineLimit, baselineQueue, baselineShed, baselineRetry, baselineRoute bool
	unbounded                                                                bool // no concurrency limit but that of the target itself
}

// All returns all policies in the order in which a report lists them.
func All() []Policy {
	perHop := core.Settings{Retry: core.RetryPerHop}
	return []Policy{
		{
			Name:      "none",
			Settings:  core.Settings{Retry: core.RetryNone, ReserveShare: -1, NoEarlyShed: true, NoDeadlines: true},
			unbounded: true, baselineLimit: true, baselineQueue: true, baselineShed: true, baselineRetry: true, baselineRoute: true,
		},
		{
			Name:          "static",
			Settings:      core.Settings{Retry: core.RetryPerHop, ReserveShare: -1, NoEarlyShed: true, NoDeadlines: true},
			baselineLimit: true, baselineQueue: true, baselineShed: true, baselineRetry: true, baselineRoute: true,
		},
		Full(),
		{Name: "full-limit", baselineLimit: true},
		{Name: "full-queue", baselineQueue: true},
		{Name: "full-shed", baselineShed: true, Settings: core.Settings{NoEarlyShed: true}},
		{Name: "full-retry", baselineRetry: true, Settings: perHop},
		{Name: "full-route", baselineRoute: true},
	}
}

// Full returns the policy of running nodes.
func Full() Policy { return Policy{Name: "full"} }

// Parts builds the decision parts of the node of one instance. The static
// concurrency limit is the number of slots of its target, 1 if it is unknown.
func (p *Policy) Parts(self gypsumrail.Instance, records *gypsumrail.Records) core.Parts {
	slots := 1
	if target := records.Targets[self.Name]; target != nil {
		slots = target.Slots
	}
	built := setup.New(self, setup.Settings{Route: route.Settings{Tuning: tuningOf(records)}})
	if p.baselineLimit {
		built.Limiter = limit.NewStatic(slots)
	}
	if p.unbounded {
		built.Limiter = limit.Unlimited{}
	}
	if p.baselineQueue {
		built.Queue = queue.NewFIFO(queue.Settings{})
	}
	if p.baselineShed {
		built.Shedder = shed.None{}
	}
	if p.baselineRoute {
		built.Router = route.NewRoundRobin()
	}
	if p.baselineRetry {
		built.Budget = unlimited{}
	}
	return built
}

// tuningOf returns a function that looks up the routing parameters of a service.
func tuningOf(records *gypsumrail.Records) func(string) route.Tuning {
	return func(name string) route.Tuning {
		service := records.Services[name]
		if service == nil {
			return route.Tuning{}
		}
		return route.Tuning{ColdStart: service.ColdStart, ZoneDelay: service.ZoneDelay}
	}
}
