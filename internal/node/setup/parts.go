// Package setup assembles the decision parts of a node, so that the node, the
// replay of traces and the tests all run the same parts.
package setup

import (
	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/core"
	"github.com/gypsumrail/gypsumrail/internal/node/blame"
	"github.com/gypsumrail/gypsumrail/internal/node/fair"
	"github.com/gypsumrail/gypsumrail/internal/node/grant"
	"github.com/gypsumrail/gypsumrail/internal/node/values"
	"github.com/gypsumrail/gypsumrail/ledger"
	"github.com/gypsumrail/gypsumrail/limit"
	"github.com/gypsumrail/gypsumrail/member"
	"github.com/gypsumrail/gypsumrail/queue"
	"github.com/gypsumrail/gypsumrail/retry"
	"github.com/gypsumrail/gypsumrail/route"
	"github.com/gypsumrail/gypsumrail/shed"
)

// Settings holds the settings of all parts. Zero values mean the defaults.
type Settings struct {
	Limit  limit.Settings
	Queue  queue.Settings
	Shed   shed.Settings
	Route  route.Settings
	Retry  retry.Settings
	Ledger ledger.Settings
	Member member.Settings
	Values values.Settings
}

// New returns the parts of the node that runs as the instance self.
func New(self gypsumrail.Instance, settings Settings) core.Parts {
	return core.Parts{
		Limiter:    limit.New(settings.Limit),
		Queue:      queue.New(settings.Queue),
		Shedder:    shed.New(settings.Shed),
		Router:     route.New(self, settings.Route),
		Budget:     retry.New(settings.Retry),
		Ledger:     ledger.New(self, settings.Ledger),
		Directory:  member.New(self, settings.Member),
		Values:     values.New(settings.Values),
		Quarantine: blame.New(),
		Grants:     grant.New(self),
		Accounts:   fair.New(),
	}
}

// Tuning returns the router's settings for a service.
type Tuning = func(service string) route.Tuning

// NewNode returns a node whose router reads the tuning of each service from the
// records in force, unless settings.Route.Tuning is set.
func NewNode(self gypsumrail.Instance, node core.Settings, settings Settings) *core.Node {
	return Node(node, func(tuning Tuning) core.Parts {
		if settings.Route.Tuning == nil {
			settings.Route.Tuning = tuning
		}
		return New(self, settings)
	})
}

// Node returns a node with the parts that makeParts returns. Parts need the records
// in force, which only the node knows, so makeParts gets a Tuning that reads them
// from the node. It returns zeros for a service that they do not hold.
func Node(settings core.Settings, makeParts func(Tuning) core.Parts) *core.Node {
	var n *core.Node
	n = core.New(settings, makeParts(func(name string) route.Tuning {
		if n == nil || n.Records() == nil || n.Records().Services[name] == nil {
			return route.Tuning{}
		}
		service := n.Records().Services[name]
		return route.Tuning{ColdStart: service.ColdStart, ZoneDelay: service.ZoneDelay}
	}))
	return n
}
