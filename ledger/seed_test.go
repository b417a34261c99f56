package ledger

import "flag"

// The property tests use a fixed seed, so that each run has the same result.
// "go test ./ledger -rapid.seed=0" uses random seeds, and -rapid.checks sets the
// number of cases.
func init() { _ = flag.Set("rapid.seed", "1") }
