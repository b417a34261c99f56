package build

import (
	"context"
	"fmt"

	"go.uber.org/dig"
	"go.uber.org/fx"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/core"
	"github.com/gypsumrail/gypsumrail/internal/node/admin"
	"github.com/gypsumrail/gypsumrail/internal/node/meter"
	"github.com/gypsumrail/gypsumrail/internal/node/relay"
	"github.com/gypsumrail/gypsumrail/internal/node/shell"
	"github.com/gypsumrail/gypsumrail/limit"
	"github.com/gypsumrail/gypsumrail/member"
	"github.com/gypsumrail/gypsumrail/queue"
	"github.com/gypsumrail/gypsumrail/retry"
	"github.com/gypsumrail/gypsumrail/route"
	"github.com/gypsumrail/gypsumrail/shed"
)

// RelaySettings are the settings of a node for plain requests. They are valid:
// whoever fills them in checks them.
type RelaySettings struct {
	Settings // Self, Target and the log; the rest is not used

	Ports      relay.Addresses
	Headers    relay.Headers
	Store      gypsumrail.Store
	Catalog    gypsumrail.Catalog
	RetryShare float64           // retries of a service per success
	RetryBurst int               // retries of a service that can be saved up
	DrainMin   gypsumrail.Millis // shortest drain, in which clients notice that the node leaves
	DrainMax   gypsumrail.Millis // longest drain
}

const (
	// gossipAway is how often a node that cannot read the platform asks a peer.
	gossipAway = 300 * gypsumrail.Millis(1)
	// zoneFactor keeps calls in their zone while its targets are not far more loaded
	// or slower than those of others; bytes between zones cost more than all else.
	zoneFactor = 2
	// quietAfter is beyond the times of a message between zones and of a busy
	// process that is scheduled late, about 10 and 50 ms.
	quietAfter = 100 * gypsumrail.Millis(1)
	// leavingTime is how long a node that drains gets no calls. Its process is back
	// after about that time; a target that leaves is told by the list.
	leavingTime = 2 * gypsumrail.Second
)

// Relay is an assembled node for plain requests.
type Relay struct {
	*relay.Relay
}

// NewRelay assembles a node for plain requests and opens its ports.
func NewRelay(ctx context.Context, settings RelaySettings) (*Relay, error) {
	n := &Relay{}
	app := fx.New(
		fx.NopLogger,
		fx.Supply(settings, settings.Settings),
		fx.Provide(
			newClock, newLogger, meter.New, newSelf, newRelayShedder, newLedger, newValues, newRecords,
			newRelayLimiter, newRelayQueue, newRelayBudget, newListed, newRelayRouter,
			newRelayReducer, newRelayParts, newRelayListeners, newRelay,
		),
		fx.Populate(&n.Relay),
		fx.Supply(fx.Annotate(ctx, fx.As(new(context.Context)))),
	)
	if err := app.Err(); err != nil {
		return nil, fmt.Errorf("assemble the node: %w", dig.RootCause(err))
	}
	return n, nil
}

// newRelayLimiter takes the slots of the list, where each target states its own,
// and leaves some free on targets that slow down when they are nearly full.
func newRelayLimiter() gypsumrail.Limiter { return limit.NewHeadroom() }

// newRelayShedder takes the shedder for services whose callers refuse for them.
func newRelayShedder() gypsumrail.Shedder { return shed.NewBacklog(shed.Settings{}) }

// newestFirstFrom is the queue delay from which the newest call runs first, beyond
// the time limits of all classes. Entries refuse for deep services, so what waits
// there was admitted, and working it off in turn lets more of it finish in time.
// Work invested does not count either: requests that go to the target at once have
// none and would starve behind the calls of longer chains.
const newestFirstFrom = 30 * gypsumrail.Second

func newRelayQueue(m *meter.Meter) gypsumrail.Queue {
	return m.Queue(queue.New(queue.Settings{Target: newestFirstFrom, InTurn: true}))
}

func newRelayBudget(settings RelaySettings) gypsumrail.Budget {
	return retry.New(retry.Settings{Share: settings.RetryShare, Burst: settings.RetryBurst})
}

func newListed(self gypsumrail.Instance) gypsumrail.Directory { return member.NewListed(self) }

func newRelayRouter(self gypsumrail.Instance, force *inForce) gypsumrail.Router {
	return route.New(self, route.Settings{Tuning: force.tuning, LeavingTime: leavingTime, ZoneFactor: zoneFactor, QuietAfter: quietAfter})
}

func newRelayReducer(settings RelaySettings, d decisions, force *inForce) *core.Node {
	return newNode(core.Settings{
		GossipEvery: -1, GossipAway: gossipAway, FreeRefusals: true, KeepChildren: true, ServeDraining: true,
		DrainMin: settings.DrainMin, DrainMax: settings.DrainMax,
	}, d, force)
}

func newRelayParts(settings RelaySettings, node *core.Node, m *meter.Meter, logger shell.Logger, clock gypsumrail.Clock) relay.Parts {
	return relay.Parts{
		Reducer: m.Watch(node),
		Status:  func() any { return admin.Node{Status: node.Status(), Refusals: m.Refusals()} },
		Store:   settings.Store, Catalog: settings.Catalog, Logger: logger, Meter: m, Metrics: m, Clock: clock,
	}
}

func newRelayListeners(ctx context.Context, settings RelaySettings) (*relay.Listeners, error) {
	return relay.Listen(ctx, settings.Ports) //nolint:wrapcheck // the error names the port
}

func newRelay(settings RelaySettings, self gypsumrail.Instance, parts relay.Parts, listeners *relay.Listeners) *relay.Relay {
	return relay.New(relay.Settings{Self: self, Target: settings.Target, Headers: settings.Headers}, parts, listeners)
}
