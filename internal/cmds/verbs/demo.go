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

// demoArgs are the arguments of demo.
type demoArgs struct {
	Seconds string `arg:"--seconds,env:GYPSUMRAIL_SECONDS" placeholder:"N" help:"length of the demonstration, 20 to 300 [default: 38]"`
	JSON    bool   `arg:"--json,env:GYPSUMRAIL_JSON" help:"print the result as JSON"`
}

// Description returns the first line of the help text.
func (demoArgs) Description() string {
	return "Shows what the layer does under overload: in this process it starts stand-in targets of three\n" +
		"services with nodes and without, sends both the same requests and compares what is answered in time."
}

// demoPlan is a demonstration whose settings are valid.
type demoPlan struct {
	seconds int
	json    bool
}

func runDemo(args []string, out, errOut io.Writer) int {
	var settings demoArgs
	if code, ok := parseArgs("demo", &settings, args, out, errOut); !ok {
		return code
	}
	plan, wrong := buildDemo(settings)
	if len(wrong) > 0 {
		return wrong.write("demo", errOut)
	}
	if err := plan.run(out, errOut); err != nil {
		fmt.Fprintf(errOut, "gypsumrail demo: %v\n", err)
		return ExitNotMet
	}
	return ExitOK
}

func buildDemo(settings demoArgs) (demoPlan, problems) {
	var wrong problems
	return demoPlan{
		seconds: wrong.whole("--seconds", settings.Seconds, demo.SecondsMin, demo.SecondsMax, demo.SecondsDefault),
		json:    settings.JSON,
	}, wrong
}

func (plan demoPlan) run(out, errOut io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	screen := newScreen(errOut)
	result, err := demo.Settings{Seconds: plan.seconds, Started: screen.started, Progress: screen.show}.Run(ctx)
	screen.end()
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

// screen shows the progress in one line of a terminal, or as plain lines.
type screen struct {
	out      io.Writer
	terminal bool
	width    int // of the line that is shown
}

func newScreen(out io.Writer) *screen {
	file, ok := out.(*os.File)
	return &screen{out: out, terminal: ok && isatty.IsTerminal(file.Fd())}
}

func (s *screen) started(nodes []demo.Node) {
	fmt.Fprintln(s.out, "Nodes are running; 'gypsumrail status ADDRESS' shows one of them until the second run begins:")
	for _, n := range nodes {
		fmt.Fprintf(s.out, "  %-12s %s\n", n.Name, n.Admin)
	}
}

// barWidth is the width of the bar of requests that are answered in time.
const barWidth = 20

func (s *screen) show(p demo.Progress) {
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
	if !s.terminal {
		fmt.Fprintln(s.out, line)
		return
	}
	fmt.Fprintf(s.out, "\r%-*s", s.width, line)
	s.width = len(line)
}

func (s *screen) end() {
	if s.terminal && s.width > 0 {
		fmt.Fprintf(s.out, "\r%*s\r", s.width, "")
	}
}
