package ledger

import "flag"

// Property tests start from a fixed seed, so that each run gives the same result.
// "go test ./ledger -rapid.seed=0" uses random seeds, and -rapid.checks sets the
// number of cases.
func init() { _ = flag.Set("rapid.seed", "1") }
