package policy

import "github.com/gypsumrail/gypsumrail"

// unlimited allows every retry. It implements gypsumrail.Budget.
type unlimited struct{}

// Succeeded ignores the success.
func (unlimited) Succeeded(gypsumrail.Millis, string) {}

// Take returns true.
func (unlimited) Take(gypsumrail.Millis, string) bool { return true }

// Left returns one retry, as there always is one.
func (unlimited) Left(string) float64 { return 1 }
