package trial

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/gypsumrail/gypsumrail/internal/lab/xfail"
)

var (
	requestsFlag = flag.Int("requests", 0, "number of requests of TestLong, which is skipped if it is 0")
	redFlag      = flag.Bool("red", false, "also run the tests that KNOWN-RED.txt lists")
	seedFlag     = flag.Uint64("seed", 1, "seed of TestLong")
)

// knownRed skips a test that KNOWN-RED.txt lists in a line "test trial NAME: ...",
// and prints the line. With -args -red the test runs.
func knownRed(t *testing.T) {
	t.Helper()
	xfail.SkipListed(t, "../../../KNOWN-RED.txt", "trial", *redFlag)
}

func startDeployment(t *testing.T, settings Settings) *Deployment {
	t.Helper()
	d, err := Start(settings)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

func defaultSettings() Settings {
	return Settings{Zones: []string{"a", "b"}, Slots: 32, ServiceTime: 2 * time.Millisecond, AnswerBytes: 3000}
}

func faultLoad(requests int, seed uint64) Load {
	return Load{
		Requests: requests, Workers: 32, AttemptsMax: 4, Timeout: 3 * time.Second, OrderPercent: 30,
		ResendDelayMax: 100 * time.Millisecond, ThinkTime: 100 * time.Millisecond, Seed: seed,
	}
}

func runTrial(t *testing.T, settings Settings, load Load, kinds []Kind) *Report {
	t.Helper()
	report, err := Run(startDeployment(t, settings), load, kinds)
	if err != nil {
		t.Fatal(err)
	}
	if len(report.Broken) > 0 {
		t.Errorf("%s", report)
	} else {
		t.Logf("%s", report)
	}
	return report
}

// Injects random faults: single ones, two at once, and the same one twice. Guards
// against broken promises (P1, P3, P4, P5, P8, P9).
func TestFaults(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			report := runTrial(t, defaultSettings(), faultLoad(2000, seed), nil)
			if report.Succeeded < report.Requests/2 {
				t.Errorf("only %d of %d requests got an answer", report.Succeeded, report.Requests)
			}
		})
	}
}

// Like TestFaults with more requests, for faults that break a promise only rarely.
func TestLong(t *testing.T) {
	if *requestsFlag == 0 {
		t.Skip("run with -args -requests 100000 -seed 1")
	}
	runTrial(t, defaultSettings(), faultLoad(*requestsFlag, *seedFlag), nil)
}
