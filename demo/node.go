package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/admin"
	"github.com/gypsumrail/gypsumrail/core"
	"github.com/gypsumrail/gypsumrail/meter"
	"github.com/gypsumrail/gypsumrail/notice"
	"github.com/gypsumrail/gypsumrail/parts"
	"github.com/gypsumrail/gypsumrail/record"
	"github.com/gypsumrail/gypsumrail/shell"
	"github.com/gypsumrail/gypsumrail/stubs"
	"github.com/gypsumrail/gypsumrail/wire"
)

// readyTime bounds the start of the nodes.
const readyTime = 10 * time.Second

// addNodes starts the platform and a node beside each target, and waits until
// all nodes are ready.
func (f *fleet) addNodes(ctx context.Context, records *gypsumrail.Records) error {
	platform, err := stubs.NewPlatform("")
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	f.closers = append(f.closers, platform.Close)
	platform.Publish(gypsumrail.ValueRecords, recordSet)
	var list []gypsumrail.Instance
	var ready errgroup.Group
	for _, name := range targetNames(records) {
		self, ports, err := f.addNode(ctx, records.Targets[name], platform.Address())
		if err != nil {
			return err
		}
		list = append(list, self)
		f.entries = append(f.entries, ports.Callers)
		f.nodes = append(f.nodes, Node{Name: name, Admin: ports.Admin})
		ready.Go(func() error { return awaitReady(ctx, ports.Admin) })
	}
	content, err := wire.FormatInstances(list)
	if err != nil {
		return fmt.Errorf("list of instances: %w", err)
	}
	platform.Publish(gypsumrail.ValueInstances, content)
	return ready.Wait() //nolint:wrapcheck // the error names the node
}

func (f *fleet) addNode(ctx context.Context, t *gypsumrail.Target, platform string) (gypsumrail.Instance, shell.Addresses, error) {
	const free = "127.0.0.1:0"
	listeners, err := shell.Listen(ctx, shell.Addresses{Callers: free, Egress: free, Peers: free, Admin: free})
	if err != nil {
		return gypsumrail.Instance{}, shell.Addresses{}, fmt.Errorf("node %s: %w", t.Name, err)
	}
	ports := listeners.Addresses()
	self := gypsumrail.Instance{
		Name: t.Name, Service: t.Service, Zone: t.Zone, Address: ports.Peers, State: gypsumrail.Live, Version: 1,
		Incarnation: gypsumrail.Incarnation(uint64(time.Now().UnixMilli())<<20 | uint64(rand.Int64N(1<<20))), //nolint:gosec // not a secret
	}
	clock := clock{time.Now()}
	m := meter.New()
	node := m.Watch(parts.NewNode(self, core.Settings{}, parts.Settings{}))
	s := shell.New(shell.Settings{Self: self, Target: f.targets[t.Name].Address(), Platform: platform}, shell.Parts{
		Reducer: node,
		Status: func() any {
			return admin.Node{Status: node.Status(), SchemaMax: record.SchemaMax, Refusals: m.Refusals()}
		},
		Records: func(content []byte) (*gypsumrail.Records, error) {
			return record.Parse(string(gypsumrail.ValueRecords), content, record.Options{})
		},
		Logger: notice.New(io.Discard, clock, notice.Settings{Node: t.Name}), Meter: m, Metrics: m, Clock: clock,
	}, listeners)
	f.targets[t.Name].SetEgress(ports.Egress)
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Run(ctx)
	}()
	f.closers = append(f.closers, func() {
		cancel()
		<-ended
	})
	return self, ports, nil
}

// clock counts from the start of a node.
type clock struct{ start time.Time }

func (c clock) Now() gypsumrail.Millis { return gypsumrail.MillisOf(time.Since(c.start)) }

// awaitReady waits until a node has records in force.
func awaitReady(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTime)
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
