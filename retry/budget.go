package retry

import (
	"math"

	"github.com/gypsumrail/gypsumrail"
)

// Settings configures a Budget. A value of zero or less selects the default.
type Settings struct {
	Share       float64 // retries earned by one success, at most 1; default 0.1
	Burst       int     // most retries that a service can accumulate; default 10
	ServicesMax int     // most services whose budget is not full; default 256
}

// In steady state the default share allows 10 % more load by retries. The burst
// allows retries of the few failures of a service with little traffic. The bound on
// services is far above the 53 services that the project is designed for.
const (
	defaultShare       = 0.1
	defaultBurst       = 10
	defaultServicesMax = 256
)

// unit is one retry in millionths. Budgets are integers, because ten additions of
// the floating-point number 0.1 give less than 1.
const unit = 1_000_000

// Budget is the retry budget of each service. Each service starts with a full
// burst. The budget does not depend on time: a service that does not answer earns
// no retries, however long that lasts. Budget implements gypsumrail.Budget and is
// not safe for concurrent use.
type Budget struct {
	share       int64
	burst       int64
	servicesMax int
	// spent is what each service lacks to a full burst, in millionths of a retry. A
	// service with a full budget has no entry.
	spent map[string]int64
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
		spent:       make(map[string]int64),
	}
}

// Succeeded adds the share that one success earns, up to the burst. The time is not
// used.
func (b *Budget) Succeeded(_ gypsumrail.Millis, service string) {
	spent, found := b.spent[service]
	switch {
	case !found:
	case spent <= b.share:
		delete(b.spent, service)
	default:
		b.spent[service] = spent - b.share
	}
}

// Take subtracts one retry. It returns false if less than one is left. When the
// bound on services is reached, services without an entry get no retries, because
// their retries could not be counted. The time is not used.
func (b *Budget) Take(_ gypsumrail.Millis, service string) bool {
	if b.left(service) < unit {
		return false
	}
	b.spent[service] += unit
	return true
}

// Left returns the retries that are left for a service, including fractions.
func (b *Budget) Left(service string) float64 { return float64(b.left(service)) / unit }

func (b *Budget) left(service string) int64 {
	spent, found := b.spent[service]
	if !found && len(b.spent) >= b.servicesMax {
		return 0
	}
	return b.burst - spent
}
