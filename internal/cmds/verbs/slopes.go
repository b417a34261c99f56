package verbs

import (
	"fmt"
	"io"

	"github.com/gypsumrail/gypsumrail/internal/lab/slope"
)

// runSlopes measures how costs grow with the size of the fleet and writes the
// table that docs/CAPACITY.md is made from.
func runSlopes(_ []string, out, errOut io.Writer) int {
	var results []slope.Result
	for _, measure := range slope.Measures() {
		fmt.Fprintf(errOut, "measuring: %s\n", measure.Name)
		results = append(results, slope.Run(measure))
	}
	if err := slope.Write(out, results); err != nil {
		fmt.Fprintln(errOut, "gypsumrail slopes:", err)
		return ExitNotMet
	}
	return ExitOK
}
