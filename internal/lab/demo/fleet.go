package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/lab/stubs"
)

// headerTimeout limits how long the server that makes the outgoing calls of targets
// without the layer waits for the headers of a request.
const headerTimeout = 5 * time.Second

// fleet holds the targets of one run. With the layer it also holds their nodes,
// without the layer the server that makes the outgoing calls of the targets.
type fleet struct {
	targets        map[string]*stubs.Target // by name
	namesByService map[string][]string      // names of targets by service
	nodes          []Node
	entries        []string // addresses to which clients send requests
	closers        []func() // called in reverse order
}

func newFleet() *fleet {
	return &fleet{targets: make(map[string]*stubs.Target), namesByService: make(map[string][]string)}
}

// startFleet starts the targets, and with the layer a node beside each.
func startFleet(ctx context.Context, records *gypsumrail.Records, layer bool) (*fleet, error) {
	f, err := startTargets(records)
	if err != nil {
		return nil, err
	}
	if layer {
		err = f.addNodes(ctx, records)
	} else {
		err = f.addDirect(ctx)
	}
	if err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *fleet) addTarget(records *gypsumrail.Records, t *gypsumrail.Target) error {
	target, err := stubs.NewTarget(stubs.TargetSettings{
		Name: t.Name, Slots: t.Slots, ServiceTime: serviceTimes[t.Service], Calls: records.Services[t.Service].Dependencies,
	})
	if err != nil {
		return fmt.Errorf("target %s: %w", t.Name, err)
	}
	f.targets[t.Name] = target
	f.namesByService[t.Service] = append(f.namesByService[t.Service], t.Name)
	f.closers = append(f.closers, target.Close)
	return nil
}

// addDirect starts the server through which targets call each other without the
// layer, and lets clients call the targets of the entry service directly.
func (f *fleet) addDirect(ctx context.Context) error {
	addresses := make(map[string][]string, len(f.namesByService))
	for service, names := range f.namesByService {
		for _, name := range names {
			addresses[service] = append(addresses[service], f.targets[name].Address())
		}
	}
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for the outgoing calls of targets: %w", err)
	}
	server := &http.Server{Handler: newDirect(addresses), ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(l) }()
	f.closers = append(f.closers, func() { _ = server.Close() })
	for _, target := range f.targets {
		target.SetEgress(l.Addr().String())
	}
	f.entries = addresses[entryService]
	return nil
}

// multiplyDeepServiceTime sets the service time of the deepest service to factor
// times its normal value. A factor of 1 restores it.
func (f *fleet) multiplyDeepServiceTime(factor int) {
	for _, name := range f.namesByService[deepService] {
		f.targets[name].SetServiceTime(deepServiceTime * time.Duration(factor))
	}
}

// callsRun returns how many calls ran on the targets of a service.
func (f *fleet) callsRun(service string) int {
	total := 0
	for _, name := range f.namesByService[service] {
		total += f.targets[name].TotalRuns()
	}
	return total
}

// requestRuns returns how often a user request was started at the entry service.
func (f *fleet) requestRuns(request string) int {
	total := 0
	for _, name := range f.namesByService[entryService] {
		total += f.targets[name].RunsOfRequest(request)
	}
	return total
}

func (f *fleet) close() {
	for i := len(f.closers) - 1; i >= 0; i-- {
		f.closers[i]()
	}
	f.closers = nil
}
