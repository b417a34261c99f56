package verbs

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/alexflint/go-arg"
)

// parseArgs reads the arguments and environment variables of a subcommand into
// dest. If ok is false, the subcommand must exit with the returned code: help was
// written to out, or a usage error to errOut.
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

// settingErrors collects all invalid settings of a subcommand, so that they are
// reported together. go-arg stops at the first.
type settingErrors []string

// add records an invalid setting with its flag, its environment variable and what
// is wrong with its value.
func (e *settingErrors) add(flag, problem string) {
	variable := "GYPSUMRAIL_" + strings.ToUpper(strings.ReplaceAll(strings.TrimLeft(flag, "-"), "-", "_"))
	*e = append(*e, fmt.Sprintf("%s (%s): %s", flag, variable, problem))
}

// integer parses a whole number from low to high. It returns fallback for an
// empty text.
func (e *settingErrors) integer(flag, text string, low, high, fallback int) int {
	if text == "" {
		return fallback
	}
	value, err := strconv.Atoi(text)
	if err != nil || value < low || value > high {
		e.add(flag, fmt.Sprintf("%q is not a whole number from %d to %d", text, low, high))
	}
	return value
}

// number parses a number from low to high. It returns fallback for an empty text.
func (e *settingErrors) number(flag, text string, low, high, fallback float64) float64 {
	if text == "" {
		return fallback
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || !(value >= low && value <= high) {
		e.add(flag, fmt.Sprintf("%q is not a number from %g to %g", text, low, high))
		return fallback
	}
	return value
}

// write writes one line for each invalid setting and returns ExitBadInput.
func (e settingErrors) write(name string, errOut io.Writer) int {
	for _, problem := range e {
		fmt.Fprintf(errOut, "gypsumrail %s: %s\n", name, problem)
	}
	return ExitBadInput
}
