package verbs

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/build"
	"github.com/gypsumrail/gypsumrail/internal/node/link"
	"github.com/gypsumrail/gypsumrail/internal/node/relay"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
	"github.com/gypsumrail/gypsumrail/platform"
)

// sidecarArgs are the arguments of sidecar.
type sidecarArgs struct {
	Name       string  `arg:"--name,env:GYPSUMRAIL_NAME" placeholder:"NAME" help:"name of the node in logs (required)"`
	Service    string  `arg:"--service,env:GYPSUMRAIL_SERVICE" placeholder:"NAME" help:"service of the own target (required)"`
	Zone       string  `arg:"--zone,env:GYPSUMRAIL_ZONE" placeholder:"NAME" help:"availability zone (required)"`
	Target     string  `arg:"--target,env:GYPSUMRAIL_TARGET" placeholder:"ADDRESS" help:"IP address and port of the own target (required)"`
	Store      string  `arg:"--store,env:GYPSUMRAIL_STORE" placeholder:"ADDRESS" help:"IP address and port of the platform's store (required)"`
	Clients    string  `arg:"--clients,env:GYPSUMRAIL_CLIENTS" placeholder:"ADDRESS" help:"port for clients and the outgoing requests of the own target (required)"`
	Ready      string  `arg:"--ready,env:GYPSUMRAIL_READY" placeholder:"ADDRESS" help:"port for readiness probes (required)"`
	Peers      string  `arg:"--peers,env:GYPSUMRAIL_PEERS" placeholder:"ADDRESS" help:"port for other nodes, the same number on all; the next port is used too (required)"`
	Admin      string  `arg:"--admin,env:GYPSUMRAIL_ADMIN" placeholder:"ADDRESS" help:"port for operators (required)"`
	Grace      float64 `arg:"--grace,env:GYPSUMRAIL_GRACE" placeholder:"SECONDS" help:"time between SIGTERM and the end of the process, 1 to 3600" default:"6"`
	RetryShare float64 `arg:"--retry-share,env:GYPSUMRAIL_RETRY_SHARE" placeholder:"SHARE" help:"retries of a service per success, over 0 to 1" default:"0.1"`
	RetryBurst int     `arg:"--retry-burst,env:GYPSUMRAIL_RETRY_BURST" placeholder:"N" help:"retries of a service that can be saved up, 1 to 1000" default:"2"`
	LogLevel   string  `arg:"--log-level,env:GYPSUMRAIL_LOG_LEVEL" placeholder:"LEVEL" help:"debug, info, warn or error [default: info]"`
	LogFormat  string  `arg:"--log-format,env:GYPSUMRAIL_LOG_FORMAT" placeholder:"FORMAT" help:"text, logfmt or json [default: logfmt]"`
}

// Description returns the first line of the help text.
func (sidecarArgs) Description() string {
	return "Runs the node beside one target of the users' platform, for plain HTTP/1.1 requests. SIGTERM\n" +
		"drains it: requests in flight are finished. A second SIGTERM ends it at once, with exit code 1."
}

const (
	// drainMin lets two readiness probes, a second apart, miss before the node ends.
	drainMin = 2500 * gypsumrail.Millis(1)
	// drainReserve is the part of the grace time kept for ending.
	drainReserve = 500 * gypsumrail.Millis(1)
	// coldStart is that of the users' sheets: targets are slow for about 3 s.
	coldStart = 3 * gypsumrail.Second
	// zoneDelay is the gain from which a call leaves its zone. It is above the 2 ms of
	// the way, so that small differences of load move no bytes between zones.
	zoneDelay = gypsumrail.Millis(10)
	graceMax  = 3600
	burstMax  = 1000
)

func runSidecar(args []string, out, errOut io.Writer) int {
	var a sidecarArgs
	if code, ok := parseArgs("sidecar", &a, args, out, errOut); !ok {
		return code
	}
	settings, wrong := buildSidecar(a, out)
	if len(wrong) > 0 {
		return wrong.write("sidecar", errOut)
	}
	return serveSidecar(settings, errOut)
}

// buildSidecar checks the settings of a sidecar.
func buildSidecar(a sidecarArgs, out io.Writer) (build.RelaySettings, problems) {
	var wrong problems
	s := build.RelaySettings{
		Settings: build.Settings{
			Self: gypsumrail.Instance{
				Name:    wrong.name("--name", a.Name),
				Service: wrong.name("--service", a.Service),
				Zone:    wrong.name("--zone", a.Zone),
				Address: wrong.reachable("--peers", a.Peers),
			},
			Target:    wrong.reachable("--target", a.Target),
			LogLevel:  choose(&wrong, "--log-level", a.LogLevel, "info", levels),
			LogFormat: choose(&wrong, "--log-format", a.LogFormat, "logfmt", formats),
			Log:       out,
		},
		Ports: relay.Addresses{
			Clients: wrong.listen("--clients", a.Clients), Peers: a.Peers,
			Ready: wrong.listen("--ready", a.Ready), Admin: wrong.listen("--admin", a.Admin),
		},
		Headers:    platform.Headers(),
		Store:      platform.NewStore(wrong.reachable("--store", a.Store), link.NewPool()),
		RetryShare: a.RetryShare,
		RetryBurst: a.RetryBurst,
		DrainMin:   drainMin,
		DrainMax:   gypsumrail.MillisOf(time.Duration(a.Grace*float64(time.Second))) - drainReserve,
	}
	if a.Grace < 1 || a.Grace > graceMax {
		wrong.add("--grace", fmt.Sprintf("%g is not from 1 to %d", a.Grace, graceMax))
	}
	if a.RetryShare <= 0 || a.RetryShare > 1 {
		wrong.add("--retry-share", fmt.Sprintf("%g is not over 0 and up to 1", a.RetryShare))
	}
	if a.RetryBurst < 1 || a.RetryBurst > burstMax {
		wrong.add("--retry-burst", fmt.Sprintf("%d is not from 1 to %d", a.RetryBurst, burstMax))
	}
	s.DrainMin = min(s.DrainMin, s.DrainMax)
	if peers, err := netip.ParseAddrPort(a.Peers); err == nil {
		s.Catalog = &platform.Catalog{PeersPort: peers.Port(), ColdStart: coldStart, ZoneDelay: zoneDelay}
	}
	return s, wrong
}

// listen reads an address to listen on that has no default.
func (p *problems) listen(flag, text string) string {
	if !wire.ValidAddress(text) {
		p.add(flag, fmt.Sprintf("%q is not an IP address and port", text))
	}
	return text
}

// serveSidecar runs a node until it has drained.
func serveSidecar(settings build.RelaySettings, errOut io.Writer) int {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	node, err := build.NewRelay(context.Background(), settings)
	if err != nil {
		fmt.Fprintf(errOut, "gypsumrail sidecar: %v\n", err)
		return ExitBadInput
	}
	ended := make(chan error, 1)
	go func() { ended <- node.Run(context.Background()) }()
	draining := false
	for {
		select {
		case err := <-ended:
			if err != nil {
				fmt.Fprintf(errOut, "gypsumrail sidecar: %v\n", err)
				return ExitNotMet
			}
			return ExitOK
		case s := <-signals:
			switch {
			case s == syscall.SIGHUP:
				// All settings are flags, which a running process cannot read again.
				node.Note(relay.NoticeReloaded, "Changed=none")
			case draining:
				return ExitNotMet
			default:
				draining = true
				node.Drain()
			}
		}
	}
}
