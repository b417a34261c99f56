package policy

import "github.com/gypsumrail/gypsumrail"

// unlimited allows every retry. It implements gypsumrail.Budget.
type unlimited struct{}

// Succeeded does nothing.
func (unlimited) Succeeded(gypsumrail.Millis, string) {}

// Take returns true.
func (unlimited) Take(gypsumrail.Millis, string) bool { return true }

// Left returns 1, since a retry is always allowed.
func (unlimited) Left(string) float64 { return 1 }
