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
	"github.com/gypsumrail/gypsumrail/internal/node/quota"
	"github.com/gypsumrail/gypsumrail/internal/node/relay"
	"github.com/gypsumrail/gypsumrail/internal/node/setup"
	"github.com/gypsumrail/gypsumrail/internal/node/shell"
)

// RelaySettings are the settings of a node for plain requests. The caller checks
// them; this package does not.
type RelaySettings struct {
	Settings // only Self, Target and the fields of the log are used

	Ports      relay.Addresses
	Headers    relay.Headers
	Store      gypsumrail.Store
	Catalog    gypsumrail.Catalog
	RetryShare float64           // retries that a service earns per success
	RetryBurst int               // retries that a service can save up
	DrainMin   gypsumrail.Millis // minimum duration of a drain, in which clients notice that the node leaves
	DrainMax   gypsumrail.Millis // maximum duration, after which running calls are cut off

	// Revoke is the time after which a request with a revoked key must not be admitted any
	// more, or 0 for no bound. ConfigApply is the time within which a new configuration comes
	// into force at a node that is connected to the store.
	Revoke      gypsumrail.Millis
	ConfigApply gypsumrail.Millis

	Memory int64 // bytes that the process may use

	ZonePrice float64 // see setup.PlainSettings
}

// Relay is a node for plain requests with all its parts. Plain requests are
// unmodified HTTP/1.1 requests of clients and targets that know nothing of the node.
type Relay struct {
	*relay.Relay
}

// NewRelay assembles a node for plain requests and opens its ports. The error
// says which part failed, such as a port that is in use.
func NewRelay(ctx context.Context, settings RelaySettings) (*Relay, error) {
	n := &Relay{}
	app := fx.New(
		fx.NopLogger,
		fx.Supply(settings, settings.Settings),
		fx.Provide(
			newClock, newLogger, meter.New, newSelf,
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

// newRelayReducer returns a reducer with the parts for plain requests.
func newRelayReducer(settings RelaySettings, self gypsumrail.Instance, m *meter.Meter) *core.Node {
	plain := setup.PlainSettings{
		RetryShare: settings.RetryShare, RetryBurst: settings.RetryBurst, DrainMin: settings.DrainMin, DrainMax: settings.DrainMax,
		Revoke: settings.Revoke, ZonePrice: settings.ZonePrice,
	}
	return newMeasuredReducer(setup.PlainCore(plain), m, func(tuning setup.Tuning) core.Parts {
		plain.Tuning = tuning
		return setup.NewPlain(self, plain)
	})
}

// Shares of the memory that bodies may take, as divisors. Garbage that the runtime has not
// collected yet comes on top, as do connections and the node's own state.
const (
	bodyShare      = 2  // all together
	answerShare    = 5  // answers
	answerShareMin = 10 // what requests always leave to answers
)

// newBodyQuotas returns the quotas for the bodies of answers and of requests.
func newBodyQuotas(memory int64) (answers, requests *quota.Quota) {
	total := quota.NewTotal(memory / bodyShare)
	answers = total.NewQuota(quota.Bounds{Max: memory / answerShare, One: relay.AnswerBytesMax, Waits: true})
	requestsMax := memory/bodyShare - memory/answerShareMin
	requests = total.NewQuota(quota.Bounds{Max: requestsMax, One: requestsMax})
	return answers, requests
}

func newRelayParts(settings RelaySettings, node *core.Node, m *meter.Meter, logger shell.Logger, clock gypsumrail.Clock) relay.Parts {
	answers, requests := newBodyQuotas(settings.Memory)
	m.ObserveBodies(answers, requests)
	return relay.Parts{
		Reducer: m.MeasureNode(node),
		Status:  func() any { return admin.Node{Status: node.Status(), Plain: true, Refusals: m.Refusals()} },
		Store:   settings.Store, Catalog: settings.Catalog, Logger: logger, Meter: m, Metrics: m, Clock: clock,
		Answers: answers, Requests: requests,
	}
}

func newRelayListeners(ctx context.Context, settings RelaySettings) (*relay.Listeners, error) {
	return relay.Listen(ctx, settings.Ports) //nolint:wrapcheck // the error names the port
}

func newRelay(settings RelaySettings, self gypsumrail.Instance, parts relay.Parts, listeners *relay.Listeners) *relay.Relay {
	return relay.New(relay.Settings{
		Self: self, Target: settings.Target, Headers: settings.Headers, DrainMax: settings.DrainMax, ConfigApply: settings.ConfigApply,
	}, parts, listeners)
}
