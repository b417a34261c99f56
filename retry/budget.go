package retry

import (
	"math"

	"github.com/gypsumrail/gypsumrail"
)

// Settings are the constants of a Budget. Zero values take the defaults.
type Settings struct {
	Share       float64 // retries earned by one success; default 0.1
	Burst       int     // retries that can be saved up; default 10
	ServicesMax int     // services with a budget that is not full; default 256
}

// The defaults allow 10 % more load by retries in steady state. The burst lets
// the few failures of a service with little traffic be retried. The bound on
// services is far above the 53 of the target size.
const (
	defaultShare       = 0.1
	defaultBurst       = 10
	defaultServicesMax = 256
)

// unit is one retry. Shares are counted in whole millionths, because ten times
// the floating-point number 0.1 is less than 1.
const unit = 1_000_000

// Budget implements gypsumrail.Budget. Each service starts with a full burst.
// It does not depend on time: a service that does not answer earns no retries
// however long that lasts. It is not safe for concurrent use.
type Budget struct {
	share       int64
	burst       int64
	servicesMax int
	// used has what is missing up to the burst, in units, only for services
	// where something is. A service whose budget is full needs no entry.
	used map[string]int64
}

var _ gypsumrail.Budget = (*Budget)(nil)

// New returns a budget with a full burst for every service.
func New(settings Settings) *Budget {
	if settings.Share <= 0 {
		settings.Share = defaultShare
	}
	if settings.Burst <= 0 {
		settings.Burst = defaultBurst
	}
	if settings.ServicesMax <= 0 {
		settings.ServicesMax = defaultServicesMax
	}
	return &Budget{
		share:       int64(math.Round(min(settings.Share, 1) * unit)),
		burst:       int64(settings.Burst) * unit,
		servicesMax: settings.ServicesMax,
		used:        make(map[string]int64),
	}
}

// Succeeded adds a share of a retry, up to the burst. The time is not used.
func (b *Budget) Succeeded(_ gypsumrail.Millis, service string) {
	used, found := b.used[service]
	switch {
	case !found:
	case used <= b.share:
		delete(b.used, service)
	default:
		b.used[service] = used - b.share
	}
}

// Take takes one retry and reports whether there was one. When the bound on
// services is reached, services without an entry get none: a budget that cannot
// be counted must not be spent. The time is not used.
func (b *Budget) Take(_ gypsumrail.Millis, service string) bool {
	if b.left(service) < unit {
		return false
	}
	b.used[service] += unit
	return true
}

// Left returns the retries that are left, with fractions.
func (b *Budget) Left(service string) float64 { return float64(b.left(service)) / unit }

func (b *Budget) left(service string) int64 {
	used, found := b.used[service]
	if !found && len(b.used) >= b.servicesMax {
		return 0
	}
	return b.burst - used
}
