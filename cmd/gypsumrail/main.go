// Command gypsumrail is the node of the overload control layer, which runs beside
// each target instance, and the tools for its operators.
package main

import (
	"os"

	"github.com/gypsumrail/gypsumrail/internal/cmds/verbs"
)

func main() {
	os.Exit(verbs.Main(os.Args[1:], os.Stdout, os.Stderr))
}
