package verbs

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/mattn/go-isatty"

	"github.com/gypsumrail/gypsumrail/internal/lab/demo"
)

type demoArgs struct {
	Seconds string `arg:"--seconds,env:GYPSUMRAIL_SECONDS" placeholder:"N" help:"length of the demonstration, 20 to 300 [default: 38]"`
	JSON    bool   `arg:"--json,env:GYPSUMRAIL_JSON" help:"print the result as JSON"`
}

// Description returns the text at the top of the help output.
func (demoArgs) Description() string {
	return "Shows what the layer does under overload: in this process it starts stand-in targets of three\n" +
		"services with nodes and without, sends both the same requests and compares what is answered in time."
}

// demoPlan holds the validated settings of demo.
type demoPlan struct {
	seconds int
	json    bool
}

func runDemo(args []string, out, errOut io.Writer) int {
	var settings demoArgs
	if code, ok := parseArgs("demo", &settings, args, out, errOut); !ok {
		return code
	}
	plan, errs := buildDemo(settings)
	if len(errs) > 0 {
		return errs.write("demo", errOut)
	}
	if err := plan.run(out, errOut); err != nil {
		fmt.Fprintf(errOut, "gypsumrail demo: %v\n", err)
		return ExitNotMet
	}
	return ExitOK
}

func buildDemo(settings demoArgs) (demoPlan, settingErrors) {
	var errs settingErrors
	return demoPlan{
		seconds: errs.integer("--seconds", settings.Seconds, demo.SecondsMin, demo.SecondsMax, demo.SecondsDefault),
		json:    settings.JSON,
	}, errs
}

func (plan demoPlan) run(out, errOut io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	line := newProgressLine(errOut)
	result, err := demo.Settings{Seconds: plan.seconds, Started: line.started, Progress: line.show}.Run(ctx)
	line.end()
	if err != nil {
		return err
	}
	if !plan.json {
		return result.Write(out)
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(result)
}

// progressLine writes the progress of a run. On a terminal it overwrites one line;
// elsewhere it writes a new line each time.
type progressLine struct {
	out      io.Writer
	terminal bool
	width    int // characters of the last line on the terminal
}

func newProgressLine(out io.Writer) *progressLine {
	file, ok := out.(*os.File)
	return &progressLine{out: out, terminal: ok && isatty.IsTerminal(file.Fd())}
}

func (l *progressLine) started(nodes []demo.Node) {
	fmt.Fprintln(l.out, "Nodes are running; 'gypsumrail status ADDRESS' shows one of them until the second run begins:")
	for _, n := range nodes {
		fmt.Fprintf(l.out, "  %-12s %s\n", n.Name, n.Admin)
	}
}

// barWidth is the width in characters of the bar, which shows the share of requests
// that were answered in time.
const barWidth = 20

func (l *progressLine) show(p demo.Progress) {
	name := "without it"
	if p.Layer {
		name = "with the layer"
	}
	filled := 0
	if p.Sent > 0 {
		filled = barWidth * p.InTime / p.Sent
	}
	line := fmt.Sprintf("%-14s %3.0f/%.0f s  [%s%s] %d of %d in time  %s", name, p.At.Seconds(), p.Length.Truncate(time.Second).Seconds(),
		strings.Repeat("#", filled), strings.Repeat(".", barWidth-filled), p.InTime, p.Sent, p.Phase)
	if !l.terminal {
		fmt.Fprintln(l.out, line)
		return
	}
	fmt.Fprintf(l.out, "\r%-*s", l.width, line)
	l.width = len(line)
}

func (l *progressLine) end() {
	if l.terminal && l.width > 0 {
		fmt.Fprintf(l.out, "\r%*s\r", l.width, "")
	}
}
