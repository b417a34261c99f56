package build

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"time"

	"go.uber.org/dig"
	"go.uber.org/fx"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/core"
	"github.com/gypsumrail/gypsumrail/internal/node/admin"
	"github.com/gypsumrail/gypsumrail/internal/node/clock"
	"github.com/gypsumrail/gypsumrail/internal/node/logs"
	"github.com/gypsumrail/gypsumrail/internal/node/meter"
	"github.com/gypsumrail/gypsumrail/internal/node/setup"
	"github.com/gypsumrail/gypsumrail/internal/node/shell"
	"github.com/gypsumrail/gypsumrail/record"
	"github.com/gypsumrail/gypsumrail/route"
)

// Node is a node with all its parts. It is safe for concurrent use.
type Node struct {
	app   *fx.App
	shell *shell.Shell
	ports shell.Addresses
	self  gypsumrail.Instance
	done  chan struct{} // closed when the shell has stopped
	err   error         // of the shell; read after done is closed
}

// New assembles a node and opens its ports. Connections are served once Run is
// called. The error says which part failed, such as a port that is in use.
func New(ctx context.Context, settings Settings) (*Node, error) {
	n := &Node{done: make(chan struct{})}
	n.app = fx.New(
		fx.NopLogger,
		fx.Supply(settings),
		fx.Provide(
			newClock, newSelfWithAddress, newListeners, newAddresses, newLogger, meter.New,
			newReducer, newParts, newShell,
		),
		fx.Populate(&n.shell, &n.ports, &n.self),
		fx.Invoke(n.registerLifecycle),
		fx.Supply(fx.Annotate(ctx, fx.As(new(context.Context)))),
	)
	if err := n.app.Err(); err != nil {
		// An operator needs the cause only, not the chain of constructors around it.
		return nil, fmt.Errorf("assemble the node: %w", dig.RootCause(err))
	}
	return n, nil
}

// registerLifecycle makes the shell start and stop with the application.
func (n *Node) registerLifecycle(life fx.Lifecycle, s *shell.Shell) {
	ctx, cancel := context.WithCancel(context.Background())
	life.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				defer close(n.done)
				n.err = s.Run(ctx)
			}()
			return nil
		},
		OnStop: func(stop context.Context) error {
			cancel()
			select {
			case <-n.done:
				return nil
			case <-stop.Done():
				return fmt.Errorf("the shell is still running: %w", stop.Err())
			}
		},
	})
}

// Run serves until the node has drained or ctx ends, then stops the node and
// returns the error of the shell.
func (n *Node) Run(ctx context.Context) error {
	if err := n.app.Start(context.WithoutCancel(ctx)); err != nil {
		return fmt.Errorf("start the node: %w", err)
	}
	select {
	case <-n.done:
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.Background(), n.app.StopTimeout())
	defer cancel()
	if err := n.app.Stop(stop); err != nil {
		return fmt.Errorf("stop the node: %w", err)
	}
	return n.err
}

// Addresses returns the addresses of the open ports.
func (n *Node) Addresses() shell.Addresses { return n.ports }

// Self returns the node's own instance as it was at the start.
func (n *Node) Self() gypsumrail.Instance { return n.self }

// Drain starts a graceful shutdown, after which Run returns.
func (n *Node) Drain() { n.shell.Drain() }

// LogNotice logs an event of the process, such as a signal.
func (n *Node) LogNotice(notice gypsumrail.Notice, detail string) { n.shell.LogNotice(notice, detail) }

// LogForcedExit logs that a second signal ends the process before the drain is
// complete.
func (n *Node) LogForcedExit() { n.shell.LogForcedExit() }

func newClock() gypsumrail.Clock { return clock.New() }

// incarnationBits is the number of random bits in an incarnation. They distinguish
// two starts within one millisecond; the other bits are the time in milliseconds.
const incarnationBits = 20

// newSelf returns the node's own instance with a new incarnation.
func newSelf(settings Settings) gypsumrail.Instance {
	var random [4]byte
	_, _ = rand.Read(random[:]) // never fails
	self := settings.Self
	low := uint64(binary.BigEndian.Uint32(random[:])) & (1<<incarnationBits - 1)
	self.Incarnation = gypsumrail.Incarnation(uint64(time.Now().UnixMilli())<<incarnationBits | low)
	self.Version = 1
	self.State = gypsumrail.Live
	return self
}

// newSelfWithAddress returns the node's own instance. If the settings have no
// address it uses that of the open peers port, because the system may have chosen
// the port number.
func newSelfWithAddress(settings Settings, ports shell.Addresses) gypsumrail.Instance {
	self := newSelf(settings)
	if self.Address == "" {
		self.Address = ports.Peers
	}
	return self
}

func newAddresses(listeners *shell.Listeners) shell.Addresses { return listeners.Addresses() }

func newListeners(ctx context.Context, settings Settings) (*shell.Listeners, error) {
	return shell.Listen(ctx, settings.Listen) //nolint:wrapcheck // the error names the port
}

func newLogger(settings Settings, clock gypsumrail.Clock) shell.Logger {
	return logs.New(settings.Log, clock, logs.Settings{
		Node: settings.Self.Name, Level: settings.LogLevel, Formatter: settings.LogFormat,
	})
}

func newReducer(self gypsumrail.Instance, m *meter.Meter) *core.Node {
	return newMeasuredReducer(core.Settings{}, m, func(tuning setup.Tuning) core.Parts {
		return setup.New(self, setup.Settings{Route: route.Settings{Tuning: tuning}})
	})
}

// newMeasuredReducer returns a reducer whose queue records its delays in the
// meter, and whose router reads the tuning of each service from the records in
// force.
func newMeasuredReducer(settings core.Settings, m *meter.Meter, makeParts func(setup.Tuning) core.Parts) *core.Node {
	return setup.Node(settings, func(tuning setup.Tuning) core.Parts {
		parts := makeParts(tuning)
		parts.Queue = m.Queue(parts.Queue)
		return parts
	})
}

func newParts(settings Settings, node *core.Node, m *meter.Meter, logger shell.Logger, clock gypsumrail.Clock) shell.Parts {
	return shell.Parts{
		Reducer: m.MeasureNode(node),
		Status: func() any {
			return admin.Node{Status: node.Status(), SchemaMax: settings.SchemaMax, Refusals: m.Refusals()}
		},
		ParseRecords: func(content []byte) (*gypsumrail.Records, error) {
			return record.Parse(string(gypsumrail.ValueRecords), content, record.Options{SchemaMax: settings.SchemaMax})
		},
		Logger: logger, Meter: m, Metrics: m, Clock: clock,
	}
}

func newShell(settings Settings, self gypsumrail.Instance, parts shell.Parts, listeners *shell.Listeners) *shell.Shell {
	return shell.New(shell.Settings{
		Self: self, Target: settings.Target, Platform: settings.Platform, Seeds: settings.Seeds,
	}, parts, listeners)
}
