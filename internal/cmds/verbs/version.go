package verbs

import (
	"fmt"
	"io"
)

// Version is the version of this source tree.
const Version = "0.1.0"

func runVersion(_ []string, out, _ io.Writer) int {
	fmt.Fprintf(out, "gypsumrail %s\n", Version)
	return ExitOK
}
