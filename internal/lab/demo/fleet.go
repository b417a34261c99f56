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

// headerTime bounds how long the stand-in of a client library waits for headers.
const headerTime = 5 * time.Second

// fleet is the targets of a run and what carries calls to them.
type fleet struct {
	targets map[string]*stubs.Target // by name
	service map[string][]string      // names of targets by service
	nodes   []Node
	entries []string // addresses for the clients
	closers []func() // called in reverse order
}

func newFleet() *fleet {
	return &fleet{targets: make(map[string]*stubs.Target), service: make(map[string][]string)}
}

// startFleet starts the targets, with nodes beside them or without.
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
	f.service[t.Service] = append(f.service[t.Service], t.Name)
	f.closers = append(f.closers, target.Close)
	return nil
}

// addDirect lets targets call each other directly, and clients the entry service.
func (f *fleet) addDirect(ctx context.Context) error {
	addresses := make(map[string][]string, len(f.service))
	for service, names := range f.service {
		for _, name := range names {
			addresses[service] = append(addresses[service], f.targets[name].Address())
		}
	}
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("outgoing calls: %w", err)
	}
	server := &http.Server{Handler: newDirect(addresses), ReadHeaderTimeout: headerTime}
	go func() { _ = server.Serve(l) }()
	f.closers = append(f.closers, func() { _ = server.Close() })
	for _, target := range f.targets {
		target.SetEgress(l.Addr().String())
	}
	f.entries = addresses[entryService]
	return nil
}

// slow multiplies the service time of the deep service.
func (f *fleet) slow(factor int) {
	for _, name := range f.service[deepService] {
		f.targets[name].SetServiceTime(deepTime * time.Duration(factor))
	}
}

// ran returns how many calls ran on the targets of a service.
func (f *fleet) ran(service string) int {
	total := 0
	for _, name := range f.service[service] {
		total += f.targets[name].Total()
	}
	return total
}

// ranRequest returns how often a user request was started at the entry service.
func (f *fleet) ranRequest(request string) int {
	total := 0
	for _, name := range f.service[entryService] {
		total += f.targets[name].Ran(request)
	}
	return total
}

func (f *fleet) close() {
	for i := len(f.closers) - 1; i >= 0; i-- {
		f.closers[i]()
	}
	f.closers = nil
}
