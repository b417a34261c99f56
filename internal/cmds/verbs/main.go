// Package verbs holds the subcommands of gypsumrail, one in each file. The main
// package only calls Main, so that each subcommand can be tested as a function of
// its arguments and output streams.
package verbs

import (
	"fmt"
	"io"
)

// Exit codes of all subcommands.
const (
	ExitOK       = 0 // success
	ExitNotMet   = 1 // the subcommand failed, or a stated outcome was not met
	ExitBadInput = 2 // invalid input or usage, or a node that could not be assembled
)

// command is one subcommand.
type command struct {
	name  string
	usage string // one line for the list of subcommands
	run   func(args []string, out, errOut io.Writer) int
}

// commandTable returns the subcommands in the order of the help text.
func commandTable() []command {
	return []command{
		{"check", "check record sets and report all faults", runCheck},
		{"explain", "tell which upstreams can serve a request, and why", runExplain},
		{"node", "run the node beside one target", runNode},
		{"sidecar", "run the node beside one target of the users' platform", runSidecar},
		{"replay", "replay traces and check their stated outcomes", runReplay},
		{"demo", "show what the layer does under overload, in one process", runDemo},
		{"status", "show what a node holds in force and why", runStatus},
		{"release", "end the quarantine of a request that crashed targets", runRelease},
		{"record", "record the events of a node as a trace", runRecord},
		{"slopes", "measure how costs grow with the size of the fleet", runSlopes},
		{"version", "print the version", runVersion},
		{"help", "print this list", runHelp},
	}
}

// Main runs the subcommand named by the first argument and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	if len(args) == 0 {
		writeHelp(errOut)
		return ExitBadInput
	}
	name := args[0]
	if name == "--help" || name == "-h" {
		name = "help"
	}
	for _, c := range commandTable() {
		if c.name == name {
			return c.run(args[1:], out, errOut)
		}
	}
	fmt.Fprintf(errOut, "gypsumrail: unknown command %q; 'gypsumrail help' lists the commands\n", name)
	return ExitBadInput
}

func runHelp(_ []string, out, _ io.Writer) int {
	writeHelp(out)
	return ExitOK
}

func writeHelp(w io.Writer) {
	fmt.Fprintln(w, "Usage: gypsumrail COMMAND [OPTIONS]")
	fmt.Fprintln(w)
	for _, c := range commandTable() {
		fmt.Fprintf(w, "  %-10s %s\n", c.name, c.usage)
	}
	fmt.Fprintln(w)
	fmt.Fprintln(w, "'gypsumrail COMMAND --help' describes the options of a command.")
}
