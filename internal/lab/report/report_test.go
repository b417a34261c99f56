package report

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/lab/counts"
	"github.com/gypsumrail/gypsumrail/internal/lab/loads"
	"github.com/gypsumrail/gypsumrail/internal/lab/trace"
)

// failingRun returns a tally with 100 requests a second for 30 s. Requests that
// arrive in [10 s, failUntil) fail, except during the second that starts at
// goodSecond. A goodSecond of 0 has no effect.
func failingRun(goodSecond, failUntil loads.Micros) (*trace.File, *counts.Tally, OracleAnswers) {
	class := &gypsumrail.Class{Name: "c", Importance: 1}
	phase := &trace.Phase{Deadline: 1000}
	var requests []loads.Request
	for i := range 3000 {
		requests = append(requests, loads.Request{
			Index: i, Tree: &loads.Tree{Class: class}, Phase: phase, At: loads.Micros(i) * 10_000,
		})
	}
	t := counts.New(requests)
	answerable := make([]bool, len(requests))
	for i := range requests {
		answerable[i] = true
		if at := requests[i].At; at < 10*second || at >= failUntil || at >= goodSecond && at < goodSecond+second {
			t.Answered(&requests[i], at)
		}
	}
	file := &trace.File{Header: trace.Header{Name: "t", Until: 30_000, Trigger: trace.Span{From: 10_000, Until: 12_000}}}
	return file, t, OracleAnswers{Oracle: answerable, NoWaiting: answerable}
}

// The recovery time must run from the end of the trigger until goodput has
// recovered for good, and a run that never recovers must not count as recovered.
func TestRecovery(t *testing.T) {
	tests := []struct {
		goodSecond loads.Micros
		failUntil  loads.Micros
		want       gypsumrail.Millis
		recovered  bool
	}{
		{0, 12 * second, 0, true},
		{0, 15 * second, 2900, true}, // steps of 100 ms; a window is recovered with 95 % of its requests good
		{12 * second, 15 * second, 2900, true},
		{0, 30 * second, 17_100, false},
	}
	for _, test := range tests {
		file, tally, answerable := failingRun(test.goodSecond, test.failUntil)
		r := NewResult(file, 1, "full", tally, answerable)
		// The mean over five seconds reaches 95 % up to 250 ms early.
		if r.Recovered != test.recovered || r.Recovery < test.want-200 || r.Recovery > test.want+100 {
			t.Errorf("recovery is %d ms (%t), want about %d ms (%t)", r.Recovery, r.Recovered, test.want, test.recovered)
		}
	}
}

// Each missed outcome must be reported with its amount and time, and a bound
// must be applied only to its own policy.
func TestCheck(t *testing.T) {
	half, nothing := 0.5, 0.0
	outcomes := []trace.Outcome{
		{Measure: trace.WeightedShare, Policy: "full", AtLeast: &half},
		{Measure: trace.WeightedShare, Policy: "none", AtLeast: &half},
		{Measure: trace.Recovery, AtMost: &half},
		{Measure: trace.RunAfterNotRun, AtMost: &nothing},
	}
	r := &Result{
		Trace: "t", Policy: "full", Seed: 1, Share: 0.25, Recovery: 0, Recovered: true, NotRunRan: 0,
		at: map[trace.Measure]gypsumrail.Millis{trace.WeightedShare: 7000},
	}
	want := "t: outcome WeightedShare of policy full (seed 1) is 0.25, stated 0.5, missed by 0.25, worst at 7.0 s"
	misses := Check(outcomes, r)
	if len(misses) != 1 || misses[0].String() != want {
		t.Errorf("misses are %v, want [%s]", misses, want)
	}
	r.Share, r.NotRunRan, r.Recovered = 0.5, 1, false
	var measures []trace.Measure
	for _, m := range Check(outcomes, r) {
		measures = append(measures, m.Measure)
	}
	if diff := cmp.Diff([]trace.Measure{trace.Recovery, trace.RunAfterNotRun}, measures); diff != "" {
		t.Errorf("missed measures (-want +got):\n%s", diff)
	}
}

// A list of known misses must excuse only the trace and measure that it names.
func TestKnown(t *testing.T) {
	known, err := ReadKnown(strings.NewReader("# Known\n\noutcome t WeightedShare: seen 0.25\n"))
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range []Miss{{Trace: "t", Measure: trace.Recovery}, {Trace: "u", Measure: trace.WeightedShare}} {
		if known.MarkSeen(m) {
			t.Errorf("%s of %s is excused", m.Measure, m.Trace)
		}
	}
	if diff := cmp.Diff([]string{"WeightedShare"}, known.Unseen("t")); diff != "" {
		t.Errorf("unseen before the miss (-want +got):\n%s", diff)
	}
	if !known.MarkSeen(Miss{Trace: "t", Measure: trace.WeightedShare}) {
		t.Error("the listed miss is not excused")
	}
	if unseen := known.Unseen("t"); len(unseen) != 0 {
		t.Errorf("unseen after the miss: %v", unseen)
	}
	if _, err := ReadKnown(strings.NewReader("outcome t")); err == nil {
		t.Error("an entry without a measure is accepted")
	}
}

// Tables must fit a terminal of 120 columns, with one seed and with several.
func TestTableWidth(t *testing.T) {
	file, tally, answerable := failingRun(0, 15*second)
	for _, seeds := range []int{1, 3} {
		g := &Group{File: file}
		for i := range 8 {
			var row []*Result
			for s := range seeds {
				row = append(row, NewResult(file, uint64(s), fmt.Sprint("full-part", i), tally, answerable))
			}
			g.Rows = append(g.Rows, row)
		}
		var text strings.Builder
		WriteTables(&text, g)
		for line := range strings.Lines(text.String()) {
			if n := len([]rune(strings.TrimSuffix(line, "\n"))); n > 120 {
				t.Errorf("%d columns with %d seeds: %s", n, seeds, line)
			}
		}
	}
}
