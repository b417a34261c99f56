package values_test

import "flag"

// Property tests start from a fixed seed, so that each run has the same verdict.
// "go test ./revise -rapid.seed=0" tries others, and -rapid.checks sets how many.
func init() { _ = flag.Set("rapid.seed", "1") }
