package shed

import "github.com/gypsumrail/gypsumrail"

// None is the baseline without shedding, with which Threshold is compared. It
// implements gypsumrail.Shedder and is safe for concurrent use.
type None struct{}

// Threshold returns 0.
func (None) Threshold() gypsumrail.Level { return 0 }

// Observe does nothing.
func (None) Observe(gypsumrail.Millis, gypsumrail.Load) {}

// Offered does nothing.
func (None) Offered(gypsumrail.Millis, gypsumrail.Level, bool) {}

// RecordThreshold does nothing.
func (None) RecordThreshold(gypsumrail.Millis, string, string, gypsumrail.Level) {}

// RecordHint does nothing.
func (None) RecordHint(gypsumrail.Millis, gypsumrail.Hint) {}

// Refuses returns false.
func (None) Refuses(gypsumrail.Millis, gypsumrail.Level, []string) (string, bool) { return "", false }

// Hints returns dst.
func (None) Hints(_ gypsumrail.Millis, _ int, dst []gypsumrail.Hint) []gypsumrail.Hint { return dst }
