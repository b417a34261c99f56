package verbs

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"strings"

	"github.com/charmbracelet/log"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/build"
	"github.com/gypsumrail/gypsumrail/internal/node/shell"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
	"github.com/gypsumrail/gypsumrail/record"
)

type nodeArgs struct {
	Name      string `arg:"--name,env:GYPSUMRAIL_NAME" placeholder:"NAME" help:"name of the instance, as in the records (required)"`
	Service   string `arg:"--service,env:GYPSUMRAIL_SERVICE" placeholder:"NAME" help:"service of the own target (required)"`
	Zone      string `arg:"--zone,env:GYPSUMRAIL_ZONE" placeholder:"NAME" help:"availability zone (required)"`
	Target    string `arg:"--target,env:GYPSUMRAIL_TARGET" placeholder:"ADDRESS" help:"IP address and port of the own target (required)"`
	Platform  string `arg:"--platform,env:GYPSUMRAIL_PLATFORM" placeholder:"ADDRESS" help:"IP address and port of the platform (required)"`
	Callers   string `arg:"--callers,env:GYPSUMRAIL_CALLERS" placeholder:"ADDRESS" help:"port for external callers [default: 0.0.0.0:7000]"`
	Egress    string `arg:"--egress,env:GYPSUMRAIL_EGRESS" placeholder:"ADDRESS" help:"port for outgoing calls of the own target, on loopback [default: 127.0.0.1:7001]"`
	Peers     string `arg:"--peers,env:GYPSUMRAIL_PEERS" placeholder:"ADDRESS" help:"port for other nodes [default: 0.0.0.0:7002]"`
	Admin     string `arg:"--admin,env:GYPSUMRAIL_ADMIN" placeholder:"ADDRESS" help:"port for operators [default: 127.0.0.1:7003]"`
	Advertise string `arg:"--advertise,env:GYPSUMRAIL_ADVERTISE" placeholder:"ADDRESS" help:"address of the peers port as other nodes reach it [default: that of --peers]"`
	Seeds     string `arg:"--seeds,env:GYPSUMRAIL_SEEDS" placeholder:"ADDRESSES" help:"peers ports of up to 16 other nodes, separated by commas, of which three are asked at the start"`
	SchemaMax string `arg:"--schema-max,env:GYPSUMRAIL_SCHEMA_MAX" placeholder:"N" help:"highest schema version of records to use, 1 or 2 [default: 2]"`
	LogLevel  string `arg:"--log-level,env:GYPSUMRAIL_LOG_LEVEL" placeholder:"LEVEL" help:"debug, info, warn or error [default: info]"`
	LogFormat string `arg:"--log-format,env:GYPSUMRAIL_LOG_FORMAT" placeholder:"FORMAT" help:"text, logfmt or json [default: logfmt]"`
}

// Description returns the text at the top of the help output.
func (nodeArgs) Description() string {
	return "Runs the node beside one target. SIGTERM or SIGINT drains it: new calls are refused as not\n" +
		"run, calls in flight are finished. Further SIGTERMs change nothing; a second SIGINT, such as\n" +
		"Ctrl-C pressed twice, ends it at once, with exit code 1."
}

// seedsMax is the maximum number of addresses in --seeds. At its start, a node
// asks only three of them.
const seedsMax = 16

func runNode(args []string, out, errOut io.Writer) int {
	var a nodeArgs
	if code, ok := parseArgs("node", &a, args, out, errOut); !ok {
		return code
	}
	settings, errs := buildNode(a, errOut)
	if len(errs) > 0 {
		return errs.write("node", errOut)
	}
	return serveNode(settings, errOut)
}

// buildNode converts the arguments of node to settings and checks them.
func buildNode(a nodeArgs, errOut io.Writer) (build.Settings, settingErrors) {
	var errs settingErrors
	s := build.Settings{
		Self: gypsumrail.Instance{
			Name:    errs.name("--name", a.Name),
			Service: errs.name("--service", a.Service),
			Zone:    errs.name("--zone", a.Zone),
		},
		Listen: shell.Addresses{
			Callers: errs.listenAddress("--callers", a.Callers, "0.0.0.0:7000"),
			Egress:  errs.listenAddress("--egress", a.Egress, "127.0.0.1:7001"),
			Peers:   errs.listenAddress("--peers", a.Peers, "0.0.0.0:7002"),
			Admin:   errs.listenAddress("--admin", a.Admin, "127.0.0.1:7003"),
		},
		Target:    errs.remoteAddress("--target", a.Target),
		Platform:  errs.remoteAddress("--platform", a.Platform),
		Seeds:     errs.seeds("--seeds", a.Seeds),
		SchemaMax: errs.integer("--schema-max", a.SchemaMax, 1, record.SchemaMax, record.SchemaMax),
		LogLevel:  choose(&errs, "--log-level", a.LogLevel, "info", levels),
		LogFormat: choose(&errs, "--log-format", a.LogFormat, "logfmt", formats),
		Log:       errOut,
	}
	if egress, err := netip.ParseAddrPort(s.Listen.Egress); err == nil && !egress.Addr().IsLoopback() {
		errs.add("--egress", fmt.Sprintf("%q is not on a loopback address", s.Listen.Egress))
	}
	s.Self.Address = a.Advertise
	if a.Advertise == "" {
		s.Self.Address = s.Listen.Peers
	}
	if address, err := netip.ParseAddrPort(s.Self.Address); err != nil || address.Addr().IsUnspecified() || address.Port() == 0 {
		errs.add("--advertise", fmt.Sprintf("%q is not an IP address and port that others can reach", s.Self.Address))
	}
	return s, errs
}

func (e *settingErrors) name(flag, text string) string {
	if !wire.ValidName(text) {
		e.add(flag, fmt.Sprintf("%q is not a name of 1 to 64 letters, digits, '.', '_' or '-'", text))
	}
	return text
}

// listenAddress checks an address to listen on. It returns fallback for an empty
// text.
func (e *settingErrors) listenAddress(flag, text, fallback string) string {
	if text == "" {
		return fallback
	}
	if !wire.ValidAddress(text) {
		e.add(flag, fmt.Sprintf("%q is not an IP address and port", text))
	}
	return text
}

// remoteAddress checks an address to connect to. An unspecified IP address, such
// as 0.0.0.0, is invalid.
func (e *settingErrors) remoteAddress(flag, text string) string {
	address, err := netip.ParseAddrPort(text)
	if err != nil || !wire.ValidAddress(text) || address.Addr().IsUnspecified() {
		e.add(flag, fmt.Sprintf("%q is not an IP address and port to connect to", text))
	}
	return text
}

func (e *settingErrors) seeds(flag, text string) []string {
	if text == "" {
		return nil
	}
	seeds := strings.Split(text, ",")
	if len(seeds) > seedsMax {
		e.add(flag, fmt.Sprintf("%d addresses are more than %d", len(seeds), seedsMax))
		return nil
	}
	for _, seed := range seeds {
		e.remoteAddress(flag, seed)
	}
	return seeds
}

// choice is an accepted text of a setting and the value that it selects.
type choice[T any] struct {
	text  string
	value T
}

var levels = []choice[log.Level]{
	{"debug", log.DebugLevel}, {"info", log.InfoLevel}, {"warn", log.WarnLevel}, {"error", log.ErrorLevel},
}

var formats = []choice[log.Formatter]{
	{"text", log.TextFormatter}, {"logfmt", log.LogfmtFormatter}, {"json", log.JSONFormatter},
}

func choose[T any](e *settingErrors, flag, text, fallback string, choices []choice[T]) T {
	if text == "" {
		text = fallback
	}
	var accepted []string
	for _, c := range choices {
		if c.text == text {
			return c.value
		}
		accepted = append(accepted, c.text)
	}
	e.add(flag, fmt.Sprintf("%q is not one of %s", text, strings.Join(accepted, ", ")))
	var zero T
	return zero
}

// serveNode runs a node until it has drained.
func serveNode(settings build.Settings, errOut io.Writer) int {
	signals := notifySignals()
	node, err := build.New(context.Background(), settings)
	if err != nil {
		fmt.Fprintf(errOut, "gypsumrail node: %v\n", err)
		return ExitBadInput
	}
	return serveUntilDrained("node", node, signals, errOut)
}
