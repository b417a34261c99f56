package shed

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/queue"
)

var (
	_ gypsumrail.Shedder = (*Threshold)(nil)
	_ gypsumrail.Shedder = None{}
)

// receiver simulates a shedder in front of a queue and a target that completes
// one call per millisecond, in virtual time.
type receiver struct {
	shedder            gypsumrail.Shedder
	senders            bool // senders know the threshold and hold back lower calls
	random             *rand.Rand
	queue              *queue.Priority
	now                gypsumrail.Millis
	id                 gypsumrail.CallID
	completed, refused [10]int // by importance
}

func newReceiver(shedder gypsumrail.Shedder, seed uint64, senders bool) *receiver {
	return &receiver{shedder: shedder, senders: senders, random: rand.New(rand.NewPCG(seed, 1)),
		queue: queue.New(queue.Settings{Capacity: 2000})}
}

// run offers on average load calls per millisecond, of importances from lowest to
// 9, for a span.
func (r *receiver) run(span gypsumrail.Millis, load float64, lowest int) {
	r.completed, r.refused = [10]int{}, [10]int{}
	for end := r.now + span; r.now < end; r.now++ {
		for range 10 {
			if r.random.Float64() >= load/10 {
				continue
			}
			importance := lowest + r.random.IntN(10-lowest)
			level := gypsumrail.Level(importance*128 + r.random.IntN(128))
			admitted := level >= r.shedder.Threshold()
			if admitted || !r.senders {
				r.shedder.Offered(r.now, level, admitted)
			}
			if !admitted {
				r.refused[importance]++
				continue
			}
			r.id++
			r.queue.Push(r.now, gypsumrail.Waiting{Call: r.id, Level: level, Arrived: r.now, Deadline: r.now + 1000})
		}
		r.queue.Expire(r.now, 0, nil)
		if call, found := r.queue.Pop(r.now, 0); found {
			r.completed[call.Level/128]++
		}
		if r.now%100 == 99 {
			r.shedder.Observe(r.now, gypsumrail.Load{Limit: 1, InFlight: 1, Queued: r.queue.Len(), MinDelay: r.queue.MinDelay(r.now)})
		}
	}
}

func sum(counts [10]int) (total int) {
	for _, n := range counts {
		total += n
	}
	return total
}

// Under a surge the target must stay busy with a short queue and without refusals of
// the highest importance. After it the threshold must return to zero.
func TestSurge(t *testing.T) {
	for _, load := range []float64{1.5, 3, 6} {
		for _, senders := range []bool{false, true} {
			for seed := range uint64(20) {
				t.Run(fmt.Sprintf("load %g senders %t seed %d", load, senders, seed), func(t *testing.T) {
					shedder := New(Settings{})
					r := newReceiver(shedder, seed, senders)
					r.run(2000, 0.7, 0)
					if sum(r.refused) > 0 || shedder.Threshold() != 0 {
						t.Errorf("%d calls refused without overload", sum(r.refused))
					}
					r.run(2000, load, 0)
					r.run(6000, load, 0)
					if done := sum(r.completed); done < 5700 {
						t.Errorf("%d calls completed under overload, want at least 95%% of 6000", done)
					}
					if r.refused[9] > 0 {
						t.Errorf("%d calls of importance 9 refused although lower ones were admitted", r.refused[9])
					}
					if length := r.queue.Len(); length > 150 {
						t.Errorf("%d calls wait at the end of the surge, want at most 150 ms of work", length)
					}
					r.run(1500, 0.7, 0)
					if threshold := shedder.Threshold(); threshold != 0 {
						t.Errorf("threshold %d remains 1.5 s after the surge", threshold)
					}
				})
			}
		}
	}
}

// The highest importance must be refused if it overloads the target alone, and only
// after all lower levels.
func TestProtected(t *testing.T) {
	shedder := New(Settings{})
	r := newReceiver(shedder, 1, false)
	r.run(4000, 3, 9)
	r.run(4000, 3, 9)
	if done := sum(r.completed); done < 3800 || r.queue.Len() > 150 {
		t.Errorf("%d calls completed and %d wait under three times the load of importance 9", done, r.queue.Len())
	}
	// With a target that completes nothing, the lowest levels must be refused first.
	shedder = New(Settings{})
	first := 0 // window in which importance 9 is first refused
	for window := range 30 {
		for level := range gypsumrail.LevelMax {
			shedder.Offered(0, level, level >= shedder.Threshold())
		}
		before := shedder.Threshold()
		shedder.Observe(0, gypsumrail.Load{Limit: 1, InFlight: 1, Queued: 500, MinDelay: 500})
		after := shedder.Threshold()
		if window == 0 && after != 0 {
			t.Errorf("threshold %d after one window above the target delay", after)
		}
		if after > protectedLevel && before < protectedLevel || after > thresholdMax {
			t.Errorf("window %d raised the threshold from %d to %d", window, before, after)
		}
		if after > protectedLevel && first == 0 {
			first = window
		}
	}
	if first == 0 || first > 25 {
		t.Errorf("importance 9 first refused in window %d, threshold %d", first, shedder.Threshold())
	}
}

// The threshold must not follow noise: it stays between half of the target delay
// and all of it, and falls faster while the queue is empty.
func TestHysteresis(t *testing.T) {
	tests := []struct {
		name      string
		load      gypsumrail.Load
		low, high gypsumrail.Level // range of the next threshold, from 640
	}{
		{"above the target", gypsumrail.Load{Queued: 90, InFlight: 9, MinDelay: 21}, 641, 1280},
		{"at the target", gypsumrail.Load{Queued: 90, InFlight: 9, MinDelay: 20}, 640, 640},
		{"at half of the target", gypsumrail.Load{Queued: 90, InFlight: 9, MinDelay: 10}, 550, 639},
		{"empty", gypsumrail.Load{InFlight: 9}, 400, 550},
		{"long queue", gypsumrail.Load{Queued: 5000, MinDelay: 5000}, 950, 970}, // half of the 640 completions
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			shedder := New(Settings{})
			shedder.threshold, shedder.outstanding = 640, test.load.Queued+test.load.InFlight
			for level := range gypsumrail.LevelMax {
				shedder.demand.perWindow[level] = 1
				shedder.Offered(0, level, level >= 640)
			}
			shedder.Observe(100, test.load)
			if got := shedder.Threshold(); got < test.low || got > test.high {
				t.Errorf("threshold %d, want %d to %d", got, test.low, test.high)
			}
			for level := range gypsumrail.LevelMax {
				shedder.demand.perWindow[level] = 1e9
			}
			for range 8 {
				shedder.Observe(100, gypsumrail.Load{})
			}
			if got := shedder.Threshold(); got != 0 {
				t.Errorf("threshold %d after 8 empty windows, want 0 whatever the estimated demand", got)
			}
		})
	}
}

// A call that some upstream admits must not be refused. Reports and hints expire
// after one second, and an older hint must not replace a newer one.
func TestLearned(t *testing.T) {
	shedder := New(Settings{})
	shedder.RecordThreshold(0, "stock", "s1", 500)
	shedder.RecordThreshold(100, "stock", "s2", 300)
	shedder.RecordHint(100, gypsumrail.Hint{Service: "stock", Threshold: 900})
	shedder.RecordHint(100, gypsumrail.Hint{Service: "quote", Threshold: 400, Age: 50})
	shedder.RecordHint(100, gypsumrail.Hint{Service: "quote", Threshold: 0, Age: 60})
	shedder.RecordHint(100, gypsumrail.Hint{Service: "paper", Threshold: 400, Age: 1001})
	tests := []struct {
		now     gypsumrail.Millis
		level   gypsumrail.Level
		service string
		want    bool
	}{
		{100, 299, "stock", true},
		{100, 300, "stock", false},
		{1000, 399, "quote", true},
		{1050, 400, "quote", false},
		{1051, 399, "quote", false},
		{1100, 299, "stock", true},
		{1101, 0, "stock", false},
		{100, 0, "paper", false},
		{100, 0, "unknown", false},
	}
	for _, test := range tests {
		if _, got := shedder.Refuses(test.now, test.level, []string{"unknown", test.service}); got != test.want {
			t.Errorf("%s refuses level %d at %d: %t, want %t", test.service, test.level, test.now, got, test.want)
		}
	}
	want := []gypsumrail.Hint{{Service: "kept"}, {Service: "quote", Threshold: 400, Age: 150}, {Service: "stock", Threshold: 300, Age: 100}}
	if diff := cmp.Diff(want, shedder.Hints(200, 5, want[:1:1])); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(want[:2], shedder.Hints(200, 1, want[:1:1])); diff != "" {
		t.Error(diff)
	}
}

// The stored reports are bounded, and the newest one must not be replaced when a
// bound is reached.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shedder := New(Settings{})
		var reported [2]string // service and upstream of the previous report
		for i := range rapid.IntRange(1, 300).Draw(t, "reports") {
			service := fmt.Sprint("s", rapid.IntRange(0, 199).Draw(t, "service"))
			name := fmt.Sprint("u", rapid.IntRange(0, 199).Draw(t, "upstream"))
			if i%2 == 0 {
				service = "common"
			}
			shedder.RecordThreshold(gypsumrail.Millis(i), service, name, 700)
			if known := shedder.known.byName[reported[0]]; i > 0 && (known == nil || !slices.ContainsFunc(known.upstreams,
				func(u upstream) bool { return u.name == reported[1] })) {
				t.Fatalf("report %d about %v was replaced instead of an older one", i-1, reported)
			}
			reported = [2]string{service, name}
			if len(shedder.known.list) > servicesMax || len(shedder.known.byName) != len(shedder.known.list) {
				t.Fatalf("%d services kept, %d by name", len(shedder.known.list), len(shedder.known.byName))
			}
			for _, known := range shedder.known.list {
				if len(known.upstreams) > upstreamsMax {
					t.Fatalf("%d upstreams kept", len(known.upstreams))
				}
			}
		}
	})
}

func ExampleThreshold() {
	sender := New(Settings{})
	sender.RecordThreshold(0, "stock", "stock-1", 3*gypsumrail.LevelsPerImportance)
	uses := []string{"ordering", "stock"}
	fmt.Println(sender.Refuses(100, gypsumrail.LevelOf(2, "estimate"), uses))
	fmt.Println(sender.Refuses(100, gypsumrail.LevelOf(9, "material order"), uses))
	// Output:
	// stock true
	//  false
}

func BenchmarkRefuses(b *testing.B) {
	shedder := New(Settings{})
	uses := []string{"a", "b", "c", "d"}
	for _, service := range uses {
		for i := range 12 {
			shedder.RecordThreshold(0, service, fmt.Sprint("upstream-", i), 100)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		shedder.RecordThreshold(0, "d", "upstream-11", 100)
		shedder.Offered(0, 500, true)
		shedder.Refuses(0, 500, uses)
	}
}

func BenchmarkObserve(b *testing.B) {
	shedder := New(Settings{})
	b.ReportAllocs()
	for b.Loop() {
		shedder.Observe(0, gypsumrail.Load{Limit: 10, InFlight: 10, Queued: 10, MinDelay: 30})
	}
}
