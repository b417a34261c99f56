package blame

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/gypsumrail/gypsumrail"
)

// step is one piece of evidence about a request, or a check of its standing.
type step struct {
	at      gypsumrail.Millis
	crash   string // address of the node beside the target that crashed
	trial   string // the same, for a crash on trial
	done    bool   // the request completed
	want    gypsumrail.Standing
	forward gypsumrail.Millis // for a check: Left
}

// Guards against a request that crashes targets time after time, and against a verdict on
// innocents: those beside it, those of a target that crashes for its own reasons, and
// popular requests that run at each crash and complete elsewhere.
func TestStanding(t *testing.T) {
	const s, m = gypsumrail.Second, gypsumrail.Minute
	for _, test := range []struct {
		name  string
		steps []step
	}{
		{"one crash", []step{{at: 0, crash: "a"}, {at: 1, want: gypsumrail.Suspected, forward: m - 1}, {at: m, want: gypsumrail.Clear}}},
		{"two targets, the second on trial", []step{{at: 0, crash: "a"}, {at: 100, trial: "b"}, {at: 101, want: gypsumrail.Quarantined, forward: m - 1}}},
		{"two targets that end together", []step{{at: 0, crash: "a"}, {at: 1, crash: "b"}, {at: 2, want: gypsumrail.Suspected, forward: m - 1}}},
		{"three targets", []step{
			{at: 0, crash: "a"}, {at: 100, crash: "b"}, {at: 200, crash: "c"}, {at: 201, want: gypsumrail.Quarantined, forward: 2*m - 1}}},
		{"a trial that its node reports after the sender", []step{
			{at: 0, crash: "a"}, {at: 100, crash: "b"}, {at: 110, trial: "b"}, {at: 110, want: gypsumrail.Quarantined, forward: m - 10}}},
		{"one crash reported twice", []step{{at: 0, crash: "a"}, {at: 900, crash: "a"}, {at: 901, want: gypsumrail.Suspected, forward: m - 901}}},
		{"one target crashes twice", []step{{at: 0, crash: "a"}, {at: 3 * s, crash: "a"}, {at: 3 * s, want: gypsumrail.Suspected, forward: m}}},
		{"one target crashes three times", []step{
			{at: 0, crash: "a"}, {at: 3 * s, crash: "a"}, {at: 6 * s, crash: "a"}, {at: 6 * s, want: gypsumrail.Quarantined, forward: 2 * m}}},
		{"completes in between", []step{
			{at: 0, crash: "a"}, {at: 50, done: true}, {at: 51, want: gypsumrail.Clear}, {at: 100, crash: "b"}, {at: 101, want: gypsumrail.Suspected, forward: m - 1}}},
		{"completes after the verdict", []step{{at: 0, crash: "a"}, {at: 100, trial: "b"}, {at: 150, done: true}, {at: 151, want: gypsumrail.Clear}}},
		{"is tried after the quarantine and crashes", []step{
			{at: 0, crash: "a"}, {at: 100, trial: "b"}, {at: 100 + m, want: gypsumrail.Suspected, forward: m},
			{at: 200 + m, trial: "c"}, {at: 201 + m, want: gypsumrail.Quarantined, forward: 2*m - 1}}},
		{"is tried three times after the third crash", []step{
			{at: 0, crash: "a"}, {at: 1, trial: "b"}, {at: 1 + m, trial: "c"}, {at: 1 + 3*m, trial: "a"}, {at: 1 + 7*m, trial: "b"},
			{at: 1 + 15*m, trial: "c"}, {at: 1 + 15*m, want: gypsumrail.Quarantined, forward: 12 * 60 * m}}},
		{"is forgotten", []step{{at: 0, crash: "a"}, {at: 100, trial: "b"}, {at: 100 + 2*m, want: gypsumrail.Clear}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := New()
			for i, step := range test.steps {
				table.Expire(step.at)
				switch {
				case step.crash != "":
					table.RecordCrash(step.at, step.crash, 7, false)
				case step.trial != "":
					table.RecordCrash(step.at, step.trial, 7, true)
				case step.done:
					table.RecordCompletion(step.at, 7)
				default:
					got := table.Judge(step.at, 7)
					if got.Standing != step.want || got.Left != step.forward {
						t.Errorf("step %d: %q for %d ms, want %q for %d ms", i, got.Standing, got.Left, step.want, step.forward)
					}
				}
			}
			if got := table.Judge(0, 8).Standing; got != gypsumrail.Clear {
				t.Errorf("another request is %q", got)
			}
		})
	}
}

// Guards against a verdict on innocents that ran beside the guilty request when targets
// crashed: once, at each crash by chance, or as another request that crashes targets too.
func TestBystanders(t *testing.T) {
	type crash struct {
		at       gypsumrail.Millis
		address  string
		trial    bool
		requests []uint64
	}
	const s, guilty, beside = gypsumrail.Second, uint64(7), uint64(8)
	for _, test := range []struct {
		name    string
		crashes []crash
		at      gypsumrail.Millis
		want    gypsumrail.Standing // of the request beside the guilty one
	}{
		{"no verdict yet", []crash{{0, "a", false, []uint64{guilty, beside}}}, 10, gypsumrail.Suspected},
		{"beside it at the first crash", []crash{
			{0, "a", false, []uint64{guilty, beside}}, {100, "b", true, []uint64{guilty}}}, 110, gypsumrail.Clear},
		{"beside it at the last crash", []crash{
			{0, "a", false, []uint64{guilty}}, {100, "b", true, []uint64{guilty, beside}}}, 110, gypsumrail.Clear},
		{"beside it at both crashes, on trial", []crash{
			{0, "a", false, []uint64{guilty, beside}}, {100, "b", true, []uint64{guilty, beside}}}, 110, gypsumrail.Quarantined},
		{"and not at the third", []crash{
			{0, "a", false, []uint64{guilty, beside}}, {100, "b", true, []uint64{beside}}, {100, "b", false, []uint64{guilty}},
			{140, "c", false, []uint64{guilty}}}, 150, gypsumrail.Clear},
		{"at two crashes of several requests", []crash{
			{0, "a", false, []uint64{guilty, beside}}, {100, "b", true, []uint64{guilty}}, {200, "c", false, []uint64{9, beside}},
			{300, "d", true, []uint64{9}}}, 310, gypsumrail.Suspected},
		{"crashes one target without it", []crash{
			{0, "a", false, []uint64{guilty, beside}}, {100, "b", true, []uint64{guilty}}, {5 * s, "c", false, []uint64{beside}}}, 5 * s, gypsumrail.Suspected},
		{"crashes two targets without it", []crash{
			{0, "a", false, []uint64{guilty, beside}}, {100, "b", true, []uint64{guilty}},
			{5 * s, "c", false, []uint64{beside}}, {6 * s, "d", true, []uint64{beside}}}, 6 * s, gypsumrail.Quarantined},
		{"at another crash of the same target", []crash{
			{0, "a", false, []uint64{guilty}}, {100, "b", true, []uint64{guilty}}, {5 * s, "a", false, []uint64{beside}}}, 5 * s, gypsumrail.Suspected},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := New()
			for _, c := range test.crashes {
				for _, fingerprint := range c.requests {
					table.RecordCrash(c.at, c.address, fingerprint, c.trial)
				}
			}
			if got := table.Judge(test.at, guilty).Standing; len(test.crashes) > 1 && got != gypsumrail.Quarantined {
				t.Errorf("the guilty request is %q", got)
			}
			if got := table.Judge(test.at, beside).Standing; got != test.want {
				t.Errorf("the request beside it is %q, want %q", got, test.want)
			}
		})
	}
}

// Guards against nodes that judge differently because messages arrive late, twice or in
// another order.
func TestMergeInAnyOrder(t *testing.T) {
	source := New()
	source.RecordCrash(1000, "a", 1, false)
	source.RecordCrash(1000, "a", 2, false)
	first := source.News(1010)
	source.RecordCompletion(1100, 2)
	source.RecordCrash(1200, "b", 1, true)
	second := source.News(1210)
	want := source.Judgments(2000, 10)
	for _, order := range [][]gypsumrail.Evidence{{first, second}, {second, first}, {second, first, second}} {
		table := New()
		for _, evidence := range order {
			table.Merge(1210, shift(evidence, first, second))
		}
		if diff := cmp.Diff(want, table.Judgments(2000, 10)); diff != "" {
			t.Errorf("judgments (-want +got):\n%s", diff)
		}
		if table.Digest() != source.Digest() {
			t.Error("the digests differ")
		}
		if news := table.News(2000); len(news.Crashes) == 0 {
			t.Error("a peer's news are not passed on")
		}
		if table.Digest() == 0 {
			t.Error("the digest does not show repeated crashes")
		}
		table.Merge(1210, shift(first, first, second))
		if diff := cmp.Diff(gypsumrail.Evidence{}, table.News(2000)); diff != "" {
			t.Errorf("known evidence is passed on again:\n%s", diff)
		}
	}
}

// shift returns evidence as it is when the second message was made. The first was made
// 200 ms earlier.
func shift(evidence, first, _ gypsumrail.Evidence) gypsumrail.Evidence {
	if !cmp.Equal(evidence, first) {
		return evidence
	}
	shifted := gypsumrail.Evidence{}
	for _, c := range evidence.Crashes {
		c.Age += 200
		shifted.Crashes = append(shifted.Crashes, c)
	}
	return shifted
}

// Guards against memory without bound: targets that crash again and again under requests
// of which no two are equal, or a client that sends such requests on purpose.
func TestBound(t *testing.T) {
	table := New()
	table.RecordCrash(0, "a", 1, false)
	table.RecordCrash(10, "b", 1, true)
	for i := range 3 * entriesMax {
		table.RecordCrash(gypsumrail.Millis(20+i), fmt.Sprintf("t%d", i), uint64(i+10), false)
	}
	if n := len(table.entries); n > entriesMax {
		t.Errorf("%d entries", n)
	}
	if got := table.Judge(9000, 1).Standing; got != gypsumrail.Quarantined {
		t.Errorf("the quarantined request was forgotten: %q", got)
	}
	total := 0
	for _, c := range table.Main(9000).Crashes {
		total += len(c.Requests)
	}
	if total > mainMax+1 { // one of them has two crashes
		t.Errorf("%d requests in one message", total)
	}
	if got := table.Main(9000).Crashes[0].Requests; !cmp.Equal(got, []uint64{1}) {
		t.Errorf("the message begins with requests %v, want the quarantined one", got)
	}
	table.Expire(5 * gypsumrail.Minute)
	if n := len(table.entries); n != 0 {
		t.Errorf("%d entries are left", n)
	}
}
