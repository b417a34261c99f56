package verbs

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/relay"
	"github.com/gypsumrail/gypsumrail/internal/node/shell"
)

// stoppable is a node that a signal can drain.
type stoppable interface {
	Run(ctx context.Context) error
	Drain()
	LogNotice(notice gypsumrail.Notice, detail string)
	LogForcedExit()
}

// stopSignals receive the signals of a node's process. Each kind has a channel of its own,
// because a full channel drops signals: many SIGHUPs must not hide a SIGTERM.
type stopSignals struct {
	terminate, interrupt, reload chan os.Signal
}

// notifySignals starts to catch the signals. They stay caught until the process ends, so
// that one that arrives between the end of a drain and the end of the process does not
// turn a success into a failure.
func notifySignals() stopSignals {
	s := stopSignals{
		terminate: make(chan os.Signal, 1), interrupt: make(chan os.Signal, 2), reload: make(chan os.Signal, 1),
	}
	signal.Notify(s.terminate, syscall.SIGTERM)
	signal.Notify(s.interrupt, os.Interrupt)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// serveUntilDrained runs a node until it has drained, and returns the exit code. The first
// SIGTERM or SIGINT starts the drain. Further SIGTERMs change nothing: a platform sends one
// for each reason to stop a process, and SIGKILL after the grace time, so ending early
// would only cut off calls. A second SIGINT comes from an operator who does not want to
// wait, and ends the process at once.
func serveUntilDrained(verb string, node stoppable, signals stopSignals, errOut io.Writer) int {
	ended := make(chan error, 1)
	go func() { ended <- node.Run(context.Background()) }()
	draining, interrupted := false, false
	stop := func(name string) {
		if draining {
			node.LogNotice(shell.NoticeSignalIgnored, "Signal="+name)
			return
		}
		draining = true
		node.Drain()
	}
	for {
		select {
		case err := <-ended:
			if err != nil {
				fmt.Fprintf(errOut, "gypsumrail %s: %v\n", verb, err)
				return ExitNotMet
			}
			return ExitOK
		case <-signals.terminate:
			stop("SIGTERM")
		case <-signals.interrupt:
			if interrupted {
				node.LogForcedExit()
				return ExitNotMet
			}
			interrupted = true
			stop("SIGINT")
		case <-signals.reload:
			// All settings are flags, which a running process cannot read again.
			node.LogNotice(relay.NoticeReloaded, "Changed=none")
		}
	}
}
