package core_test

import (
	"flag"
	"fmt"
	"testing"

	"github.com/gypsumrail/gypsumrail"
)

// Runs more seeds with, for example,
// go test ./core -run TestPromises -args -seeds 20000 -first 1000.
var (
	seeds     = flag.Int("seeds", 60, "number of seeds to try")
	firstSeed = flag.Int("first", 1, "first seed to try")
)

// Guards against broken promises about outcomes: a request that ran although it
// was refused with outcome NotRun (P4), a key that ran twice (P5), and more
// retries of one user request than its allowance (P1). The causes are lost,
// late and cut messages, failing targets, callers that leave and resend, and
// nodes that pause and crash.
func TestPromises(t *testing.T) {
	tests := []struct {
		name   string
		faults faults
	}{
		{"no faults", faults{}},
		{"lost messages", faults{loseRequest: 0.2, loseAnswer: 0.2}},
		{"failing targets", faults{targetFail: 0.3}},
		{"callers leave", faults{callerGone: 0.5, loseAnswer: 0.1}},
		{"pauses", faults{pause: 0.3, loseRequest: 0.1}},
		{"crashes", faults{crash: 0.3, loseAnswer: 0.1}},
		{"copies under load", faults{copyRequest: 0.5, loseAnswer: 0.1, slots: 1}},
		{"everything", faults{
			loseRequest: 0.15, loseAnswer: 0.15, copyRequest: 0.2, targetFail: 0.15, callerGone: 0.2, pause: 0.2, crash: 0.2, slots: 2,
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			answered, sent := 0, 0
			for i := range *seeds {
				seed := uint64(*firstSeed + i)
				l := newLab(seed, test.faults)
				sent += l.drive()
				answered += l.answered
				for _, broken := range l.broken() {
					t.Errorf("seed %d: %s", seed, broken)
				}
			}
			t.Logf("%d user requests, %d answered", sent, answered)
			if answered == 0 {
				t.Error("no request was answered, so nothing was tested")
			}
		})
	}
}

const labRequests = 12

// drive sends user requests, injects pauses and crashes, and returns the number
// of requests.
func (l *lab) drive() int {
	for i := range labRequests {
		at := gypsumrail.Millis(100 + l.rng.IntN(3000))
		keyed := i%2 == 0
		prefix := "r"
		if keyed {
			prefix = "o"
		}
		l.after(at, func() { l.start(fmt.Sprintf("%s%d", prefix, i), keyed) })
	}
	for _, n := range l.nodes {
		if l.chance(l.faults.pause) {
			l.after(gypsumrail.Millis(l.rng.IntN(3000)), func() { n.pausedUntil = l.now + gypsumrail.Millis(100+l.rng.IntN(4000)) })
		}
		if l.chance(l.faults.crash) {
			l.after(gypsumrail.Millis(l.rng.IntN(3000)), func() { l.crash(n) })
		}
	}
	l.runUntil(16 * gypsumrail.Second)
	return labRequests
}

// crash stops a node and boots it again later. Its state and the runs on its
// target are lost.
func (l *lab) crash(n *labNode) {
	n.alive = false
	for _, call := range n.calls {
		call.running = false
	}
	l.after(gypsumrail.Millis(200+l.rng.IntN(2000)), func() { l.boot(n) })
}

// broken returns one message for each broken promise. It uses only what the lab
// observed outside the nodes.
func (l *lab) broken() []string {
	var broken []string
	for _, refusal := range l.refusals {
		if refusal.outcome != gypsumrail.NotRun {
			continue
		}
		// With a key, NotRun covers the attempts before this one as well, because the
		// home refuses all attempts up to it.
		first := refusal.attempt
		if refusal.keyed {
			first = 1
		}
		for attempt := first; attempt <= refusal.attempt; attempt++ {
			if identity := identityOf(refusal.request, attempt); l.runs[identity+"@front"] > 0 {
				broken = append(broken, fmt.Sprintf("%s ran, but attempt %d was refused with outcome NotRun", identity, refusal.attempt))
			}
		}
	}
	for key, runs := range l.keyRuns {
		if runs > 1 {
			broken = append(broken, fmt.Sprintf("key %s ran %d times", key, runs))
		}
	}
	for request, retries := range l.retries {
		if retries > labAllowance {
			broken = append(broken, fmt.Sprintf("%s was retried %d times, want at most %d", request, retries, labAllowance))
		}
	}
	return broken
}
