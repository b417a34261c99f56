// Command gypsumrail runs the node of the overload control layer that stands
// beside each target instance, and the tools for its operators.
package main

import (
	"os"

	"github.com/gypsumrail/gypsumrail/internal/cmds/verbs"
)

func main() {
	os.Exit(verbs.Main(os.Args[1:], os.Stdout, os.Stderr))
}
