// Package plain holds the simplest parts of a node: a static limit and an
// unlimited budget.
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

// Unlimited allows every retry. It implements gypsumrail.Budget.
type Unlimited struct{}

// Succeeded ignores the success.
func (Unlimited) Succeeded(gypsumrail.Millis, string) {}

// Take returns true.
func (Unlimited) Take(gypsumrail.Millis, string) bool { return true }

// Left returns one retry, as there always is one.
func (Unlimited) Left(string) float64 { return 1 }
