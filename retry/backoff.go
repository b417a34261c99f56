package retry

import (
	"math/bits"

	"github.com/gypsumrail/gypsumrail"
)

// Backoff computes the delay before a retry: exponential backoff with full jitter,
// which is a random part of a ceiling that doubles with each retry. Calls that
// failed together, for example when an upstream failed, are thereby retried spread
// over the whole span instead of together. It is safe for concurrent use.
type Backoff struct {
	Base gypsumrail.Millis // ceiling before the first retry; default 10 ms
	Max  gypsumrail.Millis // highest ceiling; default 1 s
}

// The first ceiling is half of the target queue delay of a receiver (20 ms). The
// highest one leaves time to run before the default deadline of 2 s.
const (
	defaultBase = 10 * gypsumrail.Millis(1)
	defaultMax  = gypsumrail.Second
)

// Delay returns the delay before the given retry, numbered from 1, from 0 up to
// and including the ceiling. The random value must be uniform over all 64 bits.
func (b Backoff) Delay(retry int, random uint64) gypsumrail.Millis {
	if b.Base <= 0 {
		b.Base = defaultBase
	}
	if b.Max <= 0 {
		b.Max = defaultMax
	}
	ceiling := min(b.Base, b.Max)
	for i := 1; i < retry && ceiling < b.Max; i++ {
		// Comparing before doubling prevents an overflow with any setting.
		if ceiling > b.Max/2 {
			ceiling = b.Max
		} else {
			ceiling *= 2
		}
	}
	high, _ := bits.Mul64(random, uint64(ceiling)+1)
	return gypsumrail.Millis(high)
}
