package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/lab/stubs"
	"github.com/gypsumrail/gypsumrail/internal/node/build"
	"github.com/gypsumrail/gypsumrail/internal/node/shell"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
	"github.com/gypsumrail/gypsumrail/record"
)

// readyTimeout limits how long a node may take to become ready.
const readyTimeout = 10 * time.Second

// addNodes starts the platform stub and a node beside each target, and waits
// until all nodes are ready.
func (f *fleet) addNodes(ctx context.Context, records *gypsumrail.Records) error {
	platform, err := stubs.NewPlatform("")
	if err != nil {
		return fmt.Errorf("start the platform stub: %w", err)
	}
	f.closers = append(f.closers, platform.Close)
	platform.Publish(gypsumrail.ValueRecords, recordsJSON)
	var list []gypsumrail.Instance
	var ready errgroup.Group
	for _, name := range targetNames(records) {
		self, ports, err := f.addNode(ctx, records.Targets[name], platform.Address())
		if err != nil {
			return fmt.Errorf("node %s: %w", name, err)
		}
		list = append(list, self)
		f.entries = append(f.entries, ports.Callers)
		f.nodes = append(f.nodes, Node{Name: name, Admin: ports.Admin})
		ready.Go(func() error { return awaitReady(ctx, ports.Admin) })
	}
	content, err := wire.FormatInstances(list)
	if err != nil {
		return fmt.Errorf("format the instance list: %w", err)
	}
	platform.Publish(gypsumrail.ValueInstances, content)
	return ready.Wait() //nolint:wrapcheck // the error names the node
}

// addNode starts a node beside a target. It returns the instance and the
// addresses of the node.
func (f *fleet) addNode(ctx context.Context, t *gypsumrail.Target, platform string) (gypsumrail.Instance, shell.Addresses, error) {
	const free = "127.0.0.1:0"
	node, err := build.New(ctx, build.Settings{
		Self:   gypsumrail.Instance{Name: t.Name, Service: t.Service, Zone: t.Zone},
		Listen: shell.Addresses{Callers: free, Egress: free, Peers: free, Admin: free},
		Target: f.targets[t.Name].Address(), Platform: platform, SchemaMax: record.SchemaMax, Log: io.Discard,
	})
	if err != nil {
		return gypsumrail.Instance{}, shell.Addresses{}, err
	}
	f.targets[t.Name].SetEgress(node.Addresses().Egress)
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = node.Run(ctx)
	}()
	f.closers = append(f.closers, func() {
		cancel()
		<-ended
	})
	return node.Self(), node.Addresses(), nil
}

// awaitReady polls /readyz until the node answers 200, which it does once it
// has adopted the records.
func awaitReady(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", http.NoBody)
		if err != nil {
			return fmt.Errorf("node at %s: %w", address, err)
		}
		if answer, err := http.DefaultClient.Do(r); err == nil {
			_ = answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("node at %s is not ready: %w", address, ctx.Err())
		}
	}
}
