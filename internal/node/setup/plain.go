package setup

import (
	"cmp"

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

// PlainSettings holds the settings of a node for plain requests that an operator
// chooses. Zero values mean the defaults of the parts.
type PlainSettings struct {
	Tuning     Tuning
	RetryShare float64           // retries that a service earns per success
	RetryBurst int               // retries that a service can save up
	DrainMin   gypsumrail.Millis // minimum duration of a drain, in which clients notice that the node leaves
	DrainMax   gypsumrail.Millis // maximum duration, after which running calls are cut off
	ZonePrice  float64           // ms that a call must gain for each KB that it sends to another availability zone and back; 0: DefaultZonePrice
	// Revoke is the time after which a request with a revoked key must not be admitted any
	// more. Zero means no bound.
	Revoke gypsumrail.Millis
}

// revokeShare is the part of PlainSettings.Revoke that the records may be old. The rest is
// for the rates of different machines' clocks, which differ by less than 0.1 %, and for the
// rounding of times to milliseconds.
const revokeShare = 0.98

// DefaultZonePrice is the default of PlainSettings.ZonePrice. At 5 ms for each KB, against
// the 1000 ms that a refusal counts in package spill, a call of 4 KB leaves its zone from a
// wait of 22 ms on, an upload of 60 KB only where the own zone refuses calls, and one of
// 360 KB never. It assumes a day of about 14,000 requests of equal value, on which 0.256 GB
// between zones cost 0.094 of the value (docs/hard-load.md, section 1.5).
const DefaultZonePrice = 5.0

const (
	// platformDownGossip is the time between two exchanges with a peer while the
	// platform cannot be read or a value is missing.
	platformDownGossip = 300 * gypsumrail.Millis(1)
	// foreignShare is the share of taken slots from which a node refuses requests from other
	// zones. Package spill regards a zone as full from the same utilization on.
	foreignShare = 0.9
	// probeAfter is the time without an answer, beyond the expected one, after which
	// the node of an upstream is probed. It exceeds the time of a message between
	// zones, about 10 ms, and the scheduling delay of a busy process, about 50 ms.
	probeAfter = 100 * gypsumrail.Millis(1)
	// leavingPause is how long an upstream whose node drains gets no calls. A restarted
	// node is back after about that time; if the target leaves for good, the instance
	// list drops it.
	leavingPause = 2 * gypsumrail.Second
	// newestFirstDelay is the queue delay from which the newest call runs first. It
	// exceeds the deadlines of all classes, so the newest call never runs first. Entry
	// nodes shed on behalf of deeper services, so a call that waits at a deeper service
	// was already admitted, and in order of arrival more calls finish in time.
	// ArrivalOrder also disregards invested work: requests straight from clients have
	// none and would starve behind the calls of longer chains.
	newestFirstDelay = 30 * gypsumrail.Second
)

// NewPlain returns the parts of a node for plain requests. The concurrency limit
// is the number of slots that the target states, less some if the target slows
// down when it is nearly full. The shedder is the one for services whose callers
// shed on their behalf. The directory is the platform's instance list.
func NewPlain(self gypsumrail.Instance, settings PlainSettings) core.Parts {
	return core.Parts{
		Limiter: limit.NewHeadroom(),
		Queue:   queue.New(queue.Settings{TargetDelay: newestFirstDelay, ArrivalOrder: true}),
		Shedder: shed.NewBacklog(shed.Settings{}),
		Router: route.New(self, route.Settings{
			Tuning: settings.Tuning, LeavingTime: leavingPause, ProbeAfter: probeAfter,
			Balance: &route.Balance{PricePerKB: cmp.Or(settings.ZonePrice, DefaultZonePrice)},
		}),
		Budget:     retry.New(retry.Settings{Share: settings.RetryShare, Burst: settings.RetryBurst}),
		Ledger:     ledger.New(self, ledger.Settings{}),
		Directory:  member.NewListed(self),
		Values:     values.New(values.Settings{}),
		Quarantine: blame.New(),
		Grants:     grant.New(self),
		Accounts:   fair.New(),
	}
}

// PlainCore returns the reducer's settings of a node for plain requests.
func PlainCore(settings PlainSettings) core.Settings {
	return core.Settings{
		GossipEvery: -1, GossipAway: platformDownGossip, FreeRefusals: true, ExemptChildren: true, ServeDraining: true, SuspectCanceled: true,
		DrainMin: settings.DrainMin, DrainMax: settings.DrainMax, ForeignShare: foreignShare,
		RecordsAgeMax: gypsumrail.Millis(revokeShare * float64(settings.Revoke)),
	}
}

// NewPlainNode returns a node for plain requests whose router reads the tuning of
// each service from the records in force.
func NewPlainNode(self gypsumrail.Instance, settings PlainSettings) *core.Node {
	return Node(PlainCore(settings), func(tuning Tuning) core.Parts {
		settings.Tuning = tuning
		return NewPlain(self, settings)
	})
}
