package proc

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/gypsumrail/gypsumrail"
)

// Operators must be able to read the status and metrics of a running node. A
// node that was stopped for a while must be used again when it continues. A
// drain must outlast further SIGTERMs, and end at an operator's second SIGINT.
func TestOperations(t *testing.T) {
	f := newFleet(t)
	entry, paused := f.instanceNamed("front-a"), f.instanceNamed("deep-b")
	if err := f.call(entry, "read", "first"); err != nil {
		t.Fatal(err)
	}

	output, err := exec.CommandContext(t.Context(), f.program, "status", entry.admin).CombinedOutput()
	if err != nil || !strings.Contains(string(output), "front-a of service front in zone a") {
		t.Errorf("status: %v\n%s", err, output)
	}
	answer, err := client.Get("http://" + entry.admin + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	metrics, _ := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	if want := `gypsumrail_calls_total{origin="Caller",service="front",class="read",outcome="Ran",reason=""} 1`; !strings.Contains(string(metrics), want) {
		t.Errorf("the metrics do not contain %s", want)
	}

	// Calls in flight at the stopped process are detected as silent and sent to
	// another node.
	f.signal(paused, syscall.SIGSTOP)
	consecutive := 0
	f.await("20 good answers in a row without "+paused.name, func() bool {
		consecutive++
		if err := f.call(entry, "read", fmt.Sprintf("paused-%d", consecutive)); err != nil {
			t.Logf("without %s: %v", paused.name, err)
			consecutive = 0
		}
		return consecutive == 20
	})
	f.signal(paused, syscall.SIGCONT)
	f.await(paused.name+" to notice the pause and to be used again", func() bool {
		s, ok := f.status(paused)
		caller, okCaller := f.status(f.instanceNamed("middle-b"))
		return ok && okCaller && s.Node.Counts.Pauses > 0 && caller.usable() == len(f.instances)
	})

	// The targets do not answer, so a call stays in flight. Further SIGTERMs must not cut
	// it off. An operator ends the process with a second SIGINT.
	last := f.instanceNamed("front-b")
	last.target.SetServiceTime(time.Hour)
	entry.target.SetServiceTime(time.Hour)
	go func() { _ = f.call(last, "read", "held") }()
	f.await("a call in flight", func() bool { return f.runs("front", "held") > 0 })
	f.signal(last, syscall.SIGTERM)
	f.await("the drain to begin", func() bool {
		answer, err := client.Get("http://" + last.admin + "/readyz")
		if err != nil {
			return false
		}
		_ = answer.Body.Close()
		return answer.StatusCode == http.StatusServiceUnavailable
	})
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT, syscall.SIGTERM} {
		f.signal(last, s)
		time.Sleep(200 * time.Millisecond)
		if _, ok := f.status(last); !ok {
			t.Fatalf("%s does not answer after %v in its drain", last.name, s)
		}
	}
	f.signal(last, syscall.SIGINT)
	var exit *exec.ExitError
	if err := f.awaitExit(last); !errors.As(err, &exit) || exit.ExitCode() != 1 {
		t.Errorf("%s exited with %v, want exit code 1", last.name, err)
	}
	if !strings.Contains(last.output.String(), fmt.Sprintf("Notice=%d", gypsumrail.NoticeDrainStarted)) {
		t.Errorf("%s did not log the start of its drain", last.name)
	}
}
