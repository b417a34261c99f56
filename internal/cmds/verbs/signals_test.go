package verbs

import (
	"bytes"
	"context"
	"errors"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/gypsumrail/gypsumrail"
)

// fakeStoppable records what is asked of it. Run returns when the test closes drained, or
// sends an error on it.
type fakeStoppable struct {
	asked   chan string
	drained chan error
}

func (f *fakeStoppable) Run(context.Context) error { return <-f.drained }
func (f *fakeStoppable) Drain()                    { f.asked <- "Drain" }
func (f *fakeStoppable) LogForcedExit()            { f.asked <- "LogForcedExit" }
func (f *fakeStoppable) LogNotice(_ gypsumrail.Notice, detail string) {
	f.asked <- detail
}

// Guards against a drain that a further signal cuts off, with the requests that are in
// flight: only the second SIGINT of an operator may end the process early.
func TestSignals(t *testing.T) {
	const term, interrupt, hangup = syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP
	for _, test := range []struct {
		name    string
		signals []syscall.Signal
		want    []string
		code    int
	}{
		{"one SIGTERM", []syscall.Signal{term}, []string{"Drain"}, ExitOK},
		{"many SIGTERMs", []syscall.Signal{term, term, term, term}, []string{"Drain", "Signal=SIGTERM", "Signal=SIGTERM", "Signal=SIGTERM"}, ExitOK},
		{"SIGHUP before and between", []syscall.Signal{hangup, term, hangup, term}, []string{"Changed=none", "Drain", "Changed=none", "Signal=SIGTERM"}, ExitOK},
		{"one SIGINT", []syscall.Signal{interrupt}, []string{"Drain"}, ExitOK},
		{"one SIGINT between SIGTERMs", []syscall.Signal{term, interrupt, term}, []string{"Drain", "Signal=SIGINT", "Signal=SIGTERM"}, ExitOK},
		{"two SIGINTs", []syscall.Signal{interrupt, interrupt}, []string{"Drain", "LogForcedExit"}, ExitNotMet},
		{"two SIGINTs after a SIGTERM", []syscall.Signal{term, interrupt, interrupt}, []string{"Drain", "Signal=SIGINT", "LogForcedExit"}, ExitNotMet},
	} {
		t.Run(test.name, func(t *testing.T) {
			node := &fakeStoppable{asked: make(chan string, 10), drained: make(chan error)}
			signals := stopSignals{terminate: make(chan os.Signal), interrupt: make(chan os.Signal), reload: make(chan os.Signal)}
			code := make(chan int, 1)
			go func() { code <- serveUntilDrained("sidecar", node, signals, &bytes.Buffer{}) }()
			var got []string
			for _, s := range test.signals {
				to := map[syscall.Signal]chan os.Signal{term: signals.terminate, interrupt: signals.interrupt, hangup: signals.reload}[s]
				select {
				case to <- s:
				case early := <-code:
					t.Fatalf("exit code %d before %v", early, s)
				}
				select {
				case asked := <-node.asked:
					got = append(got, asked)
				case early := <-code:
					t.Fatalf("exit code %d at %v", early, s)
				}
			}
			if test.code == ExitOK {
				close(node.drained)
			}
			if got := <-code; got != test.code {
				t.Errorf("exit code %d, want %d", got, test.code)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("asked of the node (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a SIGTERM that is lost, because SIGHUPs or earlier ones fill the channel
// before the node is assembled and reads it.
func TestSignalsBeforeStart(t *testing.T) {
	signals := notifySignals()
	for range 20 {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	for range 3 {
		if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(50 * time.Millisecond) // for the delivery of all signals
	node := &fakeStoppable{asked: make(chan string, 10), drained: make(chan error, 1)}
	go func() {
		for asked := range node.asked {
			if asked == "Drain" {
				node.drained <- errors.New("the drain began")
			}
		}
	}()
	var errOut bytes.Buffer
	if code := serveUntilDrained("sidecar", node, signals, &errOut); code != ExitNotMet || !strings.Contains(errOut.String(), "the drain began") {
		t.Errorf("exit code %d, %s", code, &errOut)
	}
}
