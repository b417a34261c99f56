package shed

import "flag"

// Property tests use a fixed seed, so that each run has the same result.
// "go test ./shed -rapid.seed=0" uses random seeds, and -rapid.checks sets the number of cases.
func init() { _ = flag.Set("rapid.seed", "1") }
