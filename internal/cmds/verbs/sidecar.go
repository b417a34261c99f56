package verbs

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/build"
	"github.com/gypsumrail/gypsumrail/internal/node/client"
	"github.com/gypsumrail/gypsumrail/internal/node/relay"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
	"github.com/gypsumrail/gypsumrail/platform"
)

type sidecarArgs struct {
	Name        string  `arg:"--name,env:GYPSUMRAIL_NAME" placeholder:"NAME" help:"name of the node in logs (required)"`
	Service     string  `arg:"--service,env:GYPSUMRAIL_SERVICE" placeholder:"NAME" help:"service of the own target (required)"`
	Zone        string  `arg:"--zone,env:GYPSUMRAIL_ZONE" placeholder:"NAME" help:"availability zone (required)"`
	Target      string  `arg:"--target,env:GYPSUMRAIL_TARGET" placeholder:"ADDRESS" help:"IP address and port of the own target (required)"`
	Store       string  `arg:"--store,env:GYPSUMRAIL_STORE" placeholder:"ADDRESS" help:"IP address and port of the platform's store (required)"`
	Clients     string  `arg:"--clients,env:GYPSUMRAIL_CLIENTS" placeholder:"ADDRESS" help:"port for clients and the outgoing requests of the own target (required)"`
	Ready       string  `arg:"--ready,env:GYPSUMRAIL_READY" placeholder:"ADDRESS" help:"port for readiness probes (required)"`
	Peers       string  `arg:"--peers,env:GYPSUMRAIL_PEERS" placeholder:"ADDRESS" help:"port for other nodes, the same number on all; the next port is used too (required)"`
	Admin       string  `arg:"--admin,env:GYPSUMRAIL_ADMIN" placeholder:"ADDRESS" help:"port for operators (required)"`
	Grace       float64 `arg:"--grace,env:GYPSUMRAIL_GRACE" placeholder:"SECONDS" help:"time between SIGTERM and the end of the process, 1 to 3600" default:"6"`
	Memory      string  `arg:"--memory,env:GYPSUMRAIL_MEMORY" placeholder:"MEGABYTES" help:"memory that the process may use, 64 to 1048576; half of it is for bodies of requests and answers, a fifth for answers [default: 184]"`
	RetryShare  float64 `arg:"--retry-share,env:GYPSUMRAIL_RETRY_SHARE" placeholder:"SHARE" help:"retries of a service per success, over 0 to 1" default:"0.1"`
	RetryBurst  int     `arg:"--retry-burst,env:GYPSUMRAIL_RETRY_BURST" placeholder:"N" help:"retries of a service that can be saved up, 1 to 1000" default:"2"`
	ZonePrice   float64 `arg:"--zone-price,env:GYPSUMRAIL_ZONE_PRICE" placeholder:"MS" help:"milliseconds that a call must gain for each KB that it sends to another zone and back, over 0 to 1000" default:"5"`
	Revoke      string  `arg:"--revoke,env:GYPSUMRAIL_REVOKE" placeholder:"SECONDS" help:"time after which a request with a revoked key of a client account must not run, 3 to 3600; 0: not bounded [default: 0]"`
	ConfigApply string  `arg:"--config-apply,env:GYPSUMRAIL_CONFIG_APPLY" placeholder:"SECONDS" help:"time within which a configuration comes into force at a node that can read the store, 0.1 to 60 [default: 2.5]"`
	LogLevel    string  `arg:"--log-level,env:GYPSUMRAIL_LOG_LEVEL" placeholder:"LEVEL" help:"debug, info, warn or error [default: info]"`
	LogFormat   string  `arg:"--log-format,env:GYPSUMRAIL_LOG_FORMAT" placeholder:"FORMAT" help:"text, logfmt or json [default: logfmt]"`
}

// Description returns the text at the top of the help output.
func (sidecarArgs) Description() string {
	return "Runs the node beside one target of the users' platform, for plain HTTP/1.1 requests. SIGTERM\n" +
		"or SIGINT drains it: requests in flight are finished. Further SIGTERMs change nothing; a second\n" +
		"SIGINT, such as Ctrl-C pressed twice, ends it at once, with exit code 1."
}

const (
	// drainMin is long enough for two readiness probes, one second apart, to fail
	// before the node stops.
	drainMin = 2500 * gypsumrail.Millis(1)
	// drainReserve is the part of the grace time that is left to stop the process
	// after the drain.
	drainReserve = 500 * gypsumrail.Millis(1)
	// coldStart is the time for which a target is slow after its start, about 3 s
	// according to the platform's data sheets.
	coldStart = 3 * gypsumrail.Second
	// zoneDelay is the network delay between zones one way, 0.9 ms, rounded up.
	zoneDelay    = gypsumrail.Millis(1)
	graceMax     = 3600 // maximum of --grace in seconds
	burstMax     = 1000 // maximum of --retry-burst in retries
	zonePriceMax = 1000 // maximum of --zone-price in ms; at the cost of a refusal, 1000 ms, nothing leaves

	// Limits and default of --memory in megabytes. The default is the memory of the
	// smallest machines.
	memoryMin, memoryMax, memoryDefault = 64, 1 << 20, 184

	megabyte = 1_000_000
	// heapShare is the share of the memory from which on the runtime collects garbage
	// more often. The program's text and what the C library holds are outside of it.
	heapShare = 0.75
)

func runSidecar(args []string, out, errOut io.Writer) int {
	var a sidecarArgs
	if code, ok := parseArgs("sidecar", &a, args, out, errOut); !ok {
		return code
	}
	settings, errs := buildSidecar(a, out)
	if len(errs) > 0 {
		return errs.write("sidecar", errOut)
	}
	debug.SetMemoryLimit(int64(heapShare * float64(settings.Memory)))
	return serveSidecar(settings, errOut)
}

// buildSidecar converts the arguments of sidecar to settings and checks them.
func buildSidecar(a sidecarArgs, out io.Writer) (build.RelaySettings, settingErrors) {
	var errs settingErrors
	s := build.RelaySettings{
		Settings: build.Settings{
			Self: gypsumrail.Instance{
				Name:    errs.name("--name", a.Name),
				Service: errs.name("--service", a.Service),
				Zone:    errs.name("--zone", a.Zone),
				Address: errs.remoteAddress("--peers", a.Peers),
			},
			Target:    errs.remoteAddress("--target", a.Target),
			LogLevel:  choose(&errs, "--log-level", a.LogLevel, "info", levels),
			LogFormat: choose(&errs, "--log-format", a.LogFormat, "logfmt", formats),
			Log:       out,
		},
		Ports: relay.Addresses{
			Clients: errs.requiredListenAddress("--clients", a.Clients), Peers: a.Peers,
			Ready: errs.requiredListenAddress("--ready", a.Ready), Admin: errs.requiredListenAddress("--admin", a.Admin),
		},
		Headers:    platform.Headers(),
		Store:      platform.NewStore(errs.remoteAddress("--store", a.Store), client.NewPoolWithDial(client.DialWithin(client.StoreDialTimeout))),
		RetryShare: a.RetryShare,
		RetryBurst: a.RetryBurst,
		ZonePrice:  a.ZonePrice,
		DrainMin:   drainMin,
		DrainMax:   secondsOf(a.Grace) - drainReserve,
	}
	s.Memory = int64(errs.number("--memory", a.Memory, memoryMin, memoryMax, memoryDefault) * megabyte)
	s.Revoke, s.ConfigApply = keyBounds(a, &errs)
	if a.Grace < 1 || a.Grace > graceMax {
		errs.add("--grace", fmt.Sprintf("%g is not from 1 to %d", a.Grace, graceMax))
	}
	if a.RetryShare <= 0 || a.RetryShare > 1 {
		errs.add("--retry-share", fmt.Sprintf("%g is not over 0 and up to 1", a.RetryShare))
	}
	if a.RetryBurst < 1 || a.RetryBurst > burstMax {
		errs.add("--retry-burst", fmt.Sprintf("%d is not from 1 to %d", a.RetryBurst, burstMax))
	}
	if !(a.ZonePrice > 0 && a.ZonePrice <= zonePriceMax) {
		errs.add("--zone-price", fmt.Sprintf("%g is not over 0 and up to %d", a.ZonePrice, zonePriceMax))
	}
	s.DrainMin = min(s.DrainMin, s.DrainMax)
	if peers, err := netip.ParseAddrPort(a.Peers); err == nil {
		s.Catalog = &platform.Catalog{PeersPort: peers.Port(), ColdStart: coldStart, ZoneDelay: zoneDelay}
	}
	return s, errs
}

// Limits and default in seconds of --revoke and --config-apply. The records of a node in touch
// with the store are up to 2.6 s old, so a shorter --revoke would refuse requests all the time.
const (
	revokeMin, revokeMax                               = 3, 3600
	configApplyMin, configApplyMax, configApplyDefault = 0.1, 60, 2.5
)

// keyBounds returns the values of --revoke and --config-apply.
func keyBounds(a sidecarArgs, errs *settingErrors) (revoke, configApply gypsumrail.Millis) {
	if seconds, err := strconv.ParseFloat(a.Revoke, 64); err != nil || seconds != 0 {
		revoke = secondsOf(errs.number("--revoke", a.Revoke, revokeMin, revokeMax, 0))
	}
	return revoke, secondsOf(errs.number("--config-apply", a.ConfigApply, configApplyMin, configApplyMax, configApplyDefault))
}

func secondsOf(seconds float64) gypsumrail.Millis {
	return gypsumrail.MillisOf(time.Duration(seconds * float64(time.Second)))
}

// requiredListenAddress checks an address to listen on that has no default.
func (e *settingErrors) requiredListenAddress(flag, text string) string {
	if !wire.ValidAddress(text) {
		e.add(flag, fmt.Sprintf("%q is not an IP address and port", text))
	}
	return text
}

// serveSidecar runs a node for plain requests until it has drained.
func serveSidecar(settings build.RelaySettings, errOut io.Writer) int {
	signals := notifySignals()
	node, err := build.NewRelay(context.Background(), settings)
	if err != nil {
		fmt.Fprintf(errOut, "gypsumrail sidecar: %v\n", err)
		return ExitBadInput
	}
	return serveUntilDrained("sidecar", node, signals, errOut)
}
