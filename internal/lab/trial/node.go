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
	"github.com/gypsumrail/gypsumrail/internal/node/link"
	"github.com/gypsumrail/gypsumrail/internal/node/setup"
	"github.com/gypsumrail/gypsumrail/internal/node/shell"
	"github.com/gypsumrail/gypsumrail/record"
)

// Instance is one node with its target.
type Instance struct {
	Name, Service, Zone string
	Ports               shell.Addresses
	Target              *stubs.Target
	SchemaMax           int // highest schema version that the node knows; zero for all

	toTarget *stubs.Relay
	running  atomic.Pointer[run]
}

// run is one incarnation of a node.
type run struct {
	shell  *shell.Shell
	cancel context.CancelFunc
	ended  chan struct{}
}

// Running tells whether the node runs, drained or not.
func (i *Instance) Running() bool { return i.running.Load() != nil }

// given holds the ports that freePort returned, which others must not get again.
var given sync.Map

// host returns a loopback address that other processes do not use, so that a
// node that is replaced finds its ports free.
func host() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&63, pid>>8&255, pid&255)
}

// freePort returns an address below the ports that the kernel gives to outgoing
// connections.
func freePort() (string, error) {
	for range 1000 {
		address := fmt.Sprintf("%s:%d", host(), 10000+rand.IntN(20000)) //nolint:gosec // not a secret
		if _, taken := given.LoadOrStore(address, true); taken {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err == nil {
			_ = l.Close()
			return address, nil
		}
	}
	return "", errors.New("trial: no free port")
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

func (noMeter) Ended(shell.End)                             {}
func (noMeter) Stepped(gypsumrail.EventKind, time.Duration) {}

// start starts a new incarnation of an instance's node.
func (i *Instance) start(platform string, seeds []string, dial link.Dial) error {
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
	r := &run{cancel: cancel, ended: make(chan struct{})}
	r.shell = shell.New(shell.Settings{
		Self: self, Target: i.toTarget.Address(), Platform: platform, Seeds: seeds, Dial: dial,
	}, shell.Parts{
		Reducer: node,
		Status:  func() any { return node.Status() },
		Records: func(content []byte) (*gypsumrail.Records, error) {
			return record.Parse(string(gypsumrail.ValueRecords), content, record.Options{SchemaMax: i.SchemaMax}) //nolint:wrapcheck // as nodes do
		},
		Logger: noLogger{}, Meter: noMeter{}, Clock: clock{time.Now()},
	}, listeners)
	i.running.Store(r)
	go func() {
		defer close(r.ended)
		_ = r.shell.Run(ctx)
		cancel()
		i.running.CompareAndSwap(r, nil)
	}()
	return nil
}

// Kill ends the node at once; its open calls are cut off.
func (i *Instance) Kill() {
	if r := i.running.Load(); r != nil {
		r.cancel()
		<-r.ended
	}
}

// Drain shuts the node down gracefully and returns when it has ended.
func (i *Instance) Drain() {
	if r := i.running.Load(); r != nil {
		r.shell.Drain()
		<-r.ended
	}
}
