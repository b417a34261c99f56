// Package plain holds the simplest parts of a node: a static limit, no
// shedding, round robin and an unlimited budget.
//
// They are the baselines that replays compare the real parts with. Each real
// part can be replaced by its plain one, which shows what that part is worth.
package plain

import "github.com/gypsumrail/gypsumrail"

// Limit is a limit that never moves. It implements gypsumrail.Limiter.
type Limit int

// Limit returns the calls that may run at once.
func (l Limit) Limit() int { return int(l) }

// Completed ignores the result of a run.
func (l Limit) Completed(gypsumrail.Millis, gypsumrail.Sample) {}

// Reported ignores the slots that the target states.
func (l Limit) Reported(gypsumrail.Millis, int) {}

// SetCeiling ignores the slots of the records.
func (l Limit) SetCeiling(int) {}

// Open refuses nothing. It implements gypsumrail.Shedder.
type Open struct{}

// Threshold returns zero: all levels are admitted.
func (Open) Threshold() gypsumrail.Level { return 0 }

// Observe ignores the load.
func (Open) Observe(gypsumrail.Millis, gypsumrail.Load) {}

// Offered ignores the arrival.
func (Open) Offered(gypsumrail.Millis, gypsumrail.Level, bool) {}

// Learn ignores the threshold of an upstream.
func (Open) Learn(gypsumrail.Millis, string, string, gypsumrail.Level) {}

// LearnHint ignores the hint.
func (Open) LearnHint(gypsumrail.Millis, gypsumrail.Hint) {}

// Refuses returns false.
func (Open) Refuses(gypsumrail.Millis, gypsumrail.Level, []string) (string, bool) { return "", false }

// Hints returns dst unchanged.
func (Open) Hints(_ gypsumrail.Millis, _ int, dst []gypsumrail.Hint) []gypsumrail.Hint { return dst }

// Unlimited allows every retry. It implements gypsumrail.Budget.
type Unlimited struct{}

// Succeeded ignores the success.
func (Unlimited) Succeeded(gypsumrail.Millis, string) {}

// Take returns true.
func (Unlimited) Take(gypsumrail.Millis, string) bool { return true }

// Left returns one retry, as there always is one.
func (Unlimited) Left(string) float64 { return 1 }
