package verbs

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/alexflint/go-arg"
)

// parseArgs reads the arguments and environment of a verb into dest. If ok is
// false the verb ends with the returned code: help was printed, or the usage
// was wrong and errOut says how.
func parseArgs(name string, dest any, args []string, out, errOut io.Writer) (code int, ok bool) {
	parser, err := arg.NewParser(arg.Config{Program: "gypsumrail " + name}, dest)
	if err != nil {
		fmt.Fprintf(errOut, "gypsumrail %s: %v\n", name, err)
		return ExitBadInput, false
	}
	err = parser.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		parser.WriteHelp(out)
		return ExitOK, false
	case err != nil:
		fmt.Fprintf(errOut, "gypsumrail %s: %v\n", name, err)
		return ExitBadInput, false
	}
	return ExitOK, true
}

// problems collects the errors in the settings of a verb, so that all of them
// are reported at once. go-arg by itself stops at the first.
type problems []string

// add records an error in one setting. It names the flag, the environment
// variable and what is accepted.
func (p *problems) add(flag, accepted string) {
	variable := "GYPSUMRAIL_" + strings.ToUpper(strings.ReplaceAll(strings.TrimLeft(flag, "-"), "-", "_"))
	*p = append(*p, fmt.Sprintf("%s (%s): %s", flag, variable, accepted))
}

// whole reads a whole number. An empty text gives the fallback.
func (p *problems) whole(flag, text string, low, high, fallback int) int {
	if text == "" {
		return fallback
	}
	value, err := strconv.Atoi(text)
	if err != nil || value < low || value > high {
		p.add(flag, fmt.Sprintf("%q is not a whole number from %d to %d", text, low, high))
	}
	return value
}

// write prints one line for each problem and returns the exit code of bad usage.
func (p problems) write(name string, errOut io.Writer) int {
	for _, problem := range p {
		fmt.Fprintf(errOut, "gypsumrail %s: %s\n", name, problem)
	}
	return ExitBadInput
}
