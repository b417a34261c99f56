package setup

import (
	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/core"
	"github.com/gypsumrail/gypsumrail/internal/node/values"
	"github.com/gypsumrail/gypsumrail/ledger"
	"github.com/gypsumrail/gypsumrail/limit"
	"github.com/gypsumrail/gypsumrail/member"
	"github.com/gypsumrail/gypsumrail/queue"
	"github.com/gypsumrail/gypsumrail/retry"
	"github.com/gypsumrail/gypsumrail/route"
	"github.com/gypsumrail/gypsumrail/shed"
)

// PlainSettings are what differs between nodes for plain requests. Zero values
// take the defaults of the parts.
type PlainSettings struct {
	Tuning     Tuning
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
	// newestFirstFrom is the queue delay from which the newest call runs first, beyond
	// the time limits of all classes. Entries refuse for deep services, so what waits
	// there was admitted, and working it off in turn lets more of it finish in time.
	// Work invested does not count either: requests that go to the target at once have
	// none and would starve behind the calls of longer chains.
	newestFirstFrom = 30 * gypsumrail.Second
)

// NewPlain returns the parts of a node for plain requests: the limit takes the
// slots that each target states, less some on targets that slow down when they
// are nearly full; the shedder is the one for services whose callers refuse for
// them; and the list of the platform tells all instances.
func NewPlain(self gypsumrail.Instance, settings PlainSettings) core.Parts {
	return core.Parts{
		Limiter: limit.NewHeadroom(),
		Queue:   queue.New(queue.Settings{Target: newestFirstFrom, InTurn: true}),
		Shedder: shed.NewBacklog(shed.Settings{}),
		Router: route.New(self, route.Settings{
			Tuning: settings.Tuning, LeavingTime: leavingTime, ZoneFactor: zoneFactor, QuietAfter: quietAfter,
		}),
		Budget:    retry.New(retry.Settings{Share: settings.RetryShare, Burst: settings.RetryBurst}),
		Ledger:    ledger.New(self, ledger.Settings{}),
		Directory: member.NewListed(self),
		Values:    values.New(values.Settings{}),
	}
}

// PlainCore returns the settings of the reducer of a node for plain requests.
func PlainCore(settings PlainSettings) core.Settings {
	return core.Settings{
		GossipEvery: -1, GossipAway: gossipAway, FreeRefusals: true, KeepChildren: true, ServeDraining: true,
		DrainMin: settings.DrainMin, DrainMax: settings.DrainMax,
	}
}

// NewPlainNode returns a node for plain requests whose router takes the values of
// each service from the records in force.
func NewPlainNode(self gypsumrail.Instance, settings PlainSettings) *core.Node {
	return Node(PlainCore(settings), func(tuning Tuning) core.Parts {
		settings.Tuning = tuning
		return NewPlain(self, settings)
	})
}
