package demo

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/record"
)

// Guards against a scene that the records contradict: unknown classes, targets
// without a service time, or no class that may not be repeated.
func TestScene(t *testing.T) {
	r, err := record.Parse("records.json", recordSet, record.Options{})
	if err != nil {
		t.Fatal(err)
	}
	once := 0
	for _, c := range scene {
		class := r.Classes[c.class]
		if class == nil || class.Service != entryService || len(class.Uses) != 3 || class.Deadline != gypsumrail.MillisOf(c.deadline) {
			t.Errorf("class %s is %+v", c.class, class)
			continue
		}
		once += one(!class.Repeatable)
	}
	if once != 1 || r.Tenants[tenant] == nil || len(r.Classes) != len(scene) {
		t.Errorf("%d classes may not be repeated; the records have %d classes", once, len(r.Classes))
	}
	for name, target := range r.Targets {
		if serviceTimes[target.Service] == 0 || target.Zone != zone {
			t.Errorf("target %s is not in the scene", name)
		}
	}
}

// Guards against runs that get different requests, and against a surge that
// does not happen.
func TestArrivals(t *testing.T) {
	line := timelineOf(30 * time.Second)
	first := arrivals(line)
	if diff := cmp.Diff(first, arrivals(line), cmp.AllowUnexported(sample{})); diff != "" {
		t.Errorf("two runs differ:\n%s", diff)
	}
	rate := func(from, until time.Duration) float64 {
		n := 0
		for _, s := range first {
			n += one(s.at >= from && s.at < until)
		}
		return float64(n) / (until - from).Seconds()
	}
	steady, surge := rate(0, line.from), rate(line.from, line.until)
	if steady < 200 || steady > 280 || surge < 380 || surge > 500 {
		t.Errorf("%.0f requests a second, and %.0f in the trigger", steady, surge)
	}
}

// Guards against a recovery that is counted before the requests are answered
// again, or that a single good second makes.
func TestRecovery(t *testing.T) {
	line := timeline{warm: time.Second, from: 3 * time.Second, until: 5 * time.Second, length: 15 * time.Second}
	tests := []struct {
		name     string
		badUntil time.Duration
		badFrom  time.Duration // again, for one second
		want     time.Duration
		ok       bool
	}{
		{"at once", 5 * time.Second, 0, 0, true},
		{"later", 8 * time.Second, 0, 2900 * time.Millisecond, true},
		{"a good second", 6 * time.Second, 7 * time.Second, 2900 * time.Millisecond, true},
		{"never", 14 * time.Second, 0, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var samples []sample
			for at := time.Duration(0); at < line.length; at += 10 * time.Millisecond {
				bad := at >= line.from && at < test.badUntil || test.badFrom > 0 && at >= test.badFrom && at < test.badFrom+time.Second
				samples = append(samples, sample{at: at, useful: !bad, done: true})
			}
			got, ok := recovery(samples, line)
			// A window may have 5 % of requests that are not in time.
			if ok != test.ok || got < test.want-200*time.Millisecond || got > test.want+200*time.Millisecond {
				t.Errorf("recovery after %v (%v), want %v (%v)", got, ok, test.want, test.ok)
			}
		})
	}
}

// Guards against a demonstration that does not run whole: nodes that are not
// ready, requests that nobody answers, or reservations that the layer starts
// twice. The figures depend on the machine and are not asserted.
func TestRun(t *testing.T) {
	line := timelineOf(5 * time.Second)
	steps, nodes := 0, 0
	settings := Settings{Progress: func(Progress) { steps++ }, Started: func(all []Node) { nodes = len(all) }}
	result := &Result{}
	for _, layer := range []bool{true, false} {
		run, err := settings.one(t.Context(), line, layer)
		if err != nil {
			t.Fatal(err)
		}
		result.Runs = append(result.Runs, run)
	}
	var out strings.Builder
	if err := result.Write(&out); err != nil {
		t.Fatal(err)
	}
	t.Log(out.String())
	if steps == 0 || nodes != 6 {
		t.Errorf("%d nodes and %d steps of progress were reported", nodes, steps)
	}
	if result.Runs[0].RanTwice != 0 {
		t.Errorf("%d reservations were started twice", result.Runs[0].RanTwice)
	}
	for _, run := range result.Runs {
		for _, c := range run.Classes {
			if c.Sent == 0 || c.InTime == 0 {
				t.Errorf("class %s of %s has %d requests, %d in time", c.Name, title(&run), c.Sent, c.InTime)
			}
		}
	}
}
