package values_test

import "flag"

// Property tests use a fixed seed, so that each run has the same result.
// "go test ./internal/node/values -rapid.seed=0" draws a random seed, and
// -rapid.checks sets the number of checks.
func init() { _ = flag.Set("rapid.seed", "1") }
