package trial

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/core"
	"github.com/gypsumrail/gypsumrail/internal/lab/stubs"
	"github.com/gypsumrail/gypsumrail/internal/node/client"
	"github.com/gypsumrail/gypsumrail/internal/node/form"
	"github.com/gypsumrail/gypsumrail/internal/node/setup"
	"github.com/gypsumrail/gypsumrail/internal/node/shell"
	"github.com/gypsumrail/gypsumrail/record"
)

// Instance is one node with its target.
type Instance struct {
	Name, Service, Zone string
	Ports               shell.Addresses
	Target              *stubs.Target
	SchemaMax           int // highest schema version that the node supports; zero for all

	toTarget *stubs.Relay
	running  atomic.Pointer[incarnation]
}

// incarnation is one run of an instance's node, from start to Kill or Drain.
type incarnation struct {
	shell  *shell.Shell
	cancel context.CancelFunc
	ended  chan struct{}
}

// Running reports whether the node runs. A draining node runs.
func (i *Instance) Running() bool { return i.running.Load() != nil }

// assignedAddresses holds the addresses that freePort returned, so that it returns
// none twice.
var assignedAddresses sync.Map

// loopbackHost returns a loopback IP address derived from the process ID. Other
// processes do not use it, so that a new incarnation finds its ports free.
func loopbackHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&63, pid>>8&255, pid&255)
}

// freePort returns an address with a free port below the range that the kernel
// assigns to outgoing connections.
func freePort() (string, error) {
	for range 1000 {
		address := fmt.Sprintf("%s:%d", loopbackHost(), 10000+rand.IntN(20000)) //nolint:gosec // not a secret
		if _, taken := assignedAddresses.LoadOrStore(address, true); taken {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err == nil {
			_ = l.Close()
			return address, nil
		}
	}
	return "", errors.New("trial: no free port found in 1000 tries")
}

func freePorts() (shell.Addresses, error) {
	var a shell.Addresses
	for _, to := range []*string{&a.Callers, &a.Egress, &a.Peers, &a.Admin} {
		address, err := freePort()
		if err != nil {
			return a, err
		}
		*to = address
	}
	return a, nil
}

type clock struct{ start time.Time }

func (c clock) Now() gypsumrail.Millis { return gypsumrail.MillisOf(time.Since(c.start)) }

type noLogger struct{}

func (noLogger) Log(gypsumrail.Notice, string, gypsumrail.Reason, string) {}

type noMeter struct{}

func (noMeter) RecordCall(shell.End)                           {}
func (noMeter) RecordStep(gypsumrail.EventKind, time.Duration) {}
func (noMeter) RecordFault(shell.Hop, form.Fault)              {}

// start starts a new incarnation of an instance's node.
func (i *Instance) start(platform string, seeds []string, dial client.Dial) error {
	listeners, err := shell.Listen(context.Background(), i.Ports)
	if err != nil {
		return fmt.Errorf("trial: %s: %w", i.Name, err)
	}
	self := gypsumrail.Instance{
		Name: i.Name, Service: i.Service, Zone: i.Zone, Address: i.Ports.Peers, Version: 1, State: gypsumrail.Live,
		Incarnation: gypsumrail.Incarnation(uint64(time.Now().UnixMilli())<<20 | rand.Uint64N(1<<20)), //nolint:gosec // as nodes do
	}
	node := setup.NewNode(self, core.Settings{}, setup.Settings{})
	ctx, cancel := context.WithCancel(context.Background())
	inc := &incarnation{cancel: cancel, ended: make(chan struct{})}
	inc.shell = shell.New(shell.Settings{
		Self: self, Target: i.toTarget.Address(), Platform: platform, Seeds: seeds, Dial: dial,
	}, shell.Parts{
		Reducer: node,
		Status:  func() any { return node.Status() },
		ParseRecords: func(content []byte) (*gypsumrail.Records, error) {
			return record.Parse(string(gypsumrail.ValueRecords), content, record.Options{SchemaMax: i.SchemaMax}) //nolint:wrapcheck // as nodes do
		},
		Logger: noLogger{}, Meter: noMeter{}, Clock: clock{time.Now()},
	}, listeners)
	i.running.Store(inc)
	go func() {
		defer close(inc.ended)
		_ = inc.shell.Run(ctx)
		cancel()
		i.running.CompareAndSwap(inc, nil)
	}()
	return nil
}

// Kill ends the node without a drain. Its open calls are cut off.
func (i *Instance) Kill() {
	if inc := i.running.Load(); inc != nil {
		inc.cancel()
		<-inc.ended
	}
}

// Drain drains the node and returns when it has ended.
func (i *Instance) Drain() {
	if inc := i.running.Load(); inc != nil {
		inc.shell.Drain()
		<-inc.ended
	}
}
