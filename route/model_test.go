package route

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/btree"

	"github.com/gypsumrail/gypsumrail"
)

// world is a virtual-time model of one service: senders with a router each
// share servers with a first-in-first-out queue. Times are in microseconds.
type world struct {
	servers, senders, slots int
	load                    float64 // of the capacity of equal servers
	service                 float64 // mean time of a run
	slow                    float64 // factor of the first server
	liar                    bool    // the first server reports no load
	slowFrom, until         int64   // the first server is slow from here on
	router                  func(i int) gypsumrail.Router
}

// outcome is what the callers saw.
type outcome struct {
	mean, p99 float64 // ms, of calls answered in time
	late      float64 // share of calls not answered within the deadline
	first     float64 // share of calls sent to the first server
}

const deadline = 500_000 // µs

type arrival struct {
	at     int64
	sender int
}

type event struct {
	at     int64
	order  int
	server int // -1: an arrival
	call   arrival
}

func (w world) run(seed uint64) outcome {
	random := rand.New(rand.NewPCG(seed, 1))
	names, list := make([]string, w.servers), make([]gypsumrail.Upstream, w.servers)
	for i := range list {
		names[i] = fmt.Sprintf("u%02d", i)
		list[i] = gypsumrail.Upstream{Instance: gypsumrail.Instance{Name: names[i], Incarnation: 1, State: gypsumrail.Live}, Slots: w.slots}
	}
	routers := make([]gypsumrail.Router, w.senders)
	for i := range routers {
		routers[i] = w.router(i)
		routers[i].SetUpstreams(0, "s", list)
	}
	busy, queues, sequences := make([]int, w.servers), make([][]arrival, w.servers), make([]uint64, w.servers)
	events := btree.NewG(8, func(a, b event) bool { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.order, b.order)) < 0 })
	order := 0
	push := func(at int64, server int, call arrival) {
		order++
		events.ReplaceOrInsert(event{at, order, server, call})
	}
	begin := func(now int64, server int, call arrival) {
		mean := w.service
		if server == 0 && now >= w.slowFrom {
			mean *= w.slow
		}
		busy[server]++
		push(now+int64(random.ExpFloat64()*mean), server, call)
	}
	gap := w.service / (float64(w.servers*w.slots) * w.load)
	push(0, -1, arrival{})
	var latencies []float64
	all, first, late := 0, 0, 0
	for events.Len() > 0 {
		e, _ := events.DeleteMin()
		now := gypsumrail.Millis(e.at / 1000)
		if e.server < 0 {
			if e.at < w.until {
				push(e.at+int64(random.ExpFloat64()*gap), -1, arrival{})
			}
			call := arrival{at: e.at, sender: random.IntN(w.senders)}
			to, _ := routers[call.sender].Choose(now, gypsumrail.Choice{Service: "s", Random: random.Uint64()})
			server := slices.Index(names, to.Name)
			routers[call.sender].Sent(now, to.Name)
			all++
			if server == 0 {
				first++
			}
			if busy[server] < w.slots {
				begin(e.at, server, call)
			} else {
				queues[server] = append(queues[server], call)
			}
			continue
		}
		busy[e.server]--
		took := e.at - e.call.at
		if took > deadline {
			late++
		} else {
			latencies = append(latencies, float64(took)/1000)
		}
		// As a receiver does, calls that their callers gave up leave the queue.
		queue := queues[e.server]
		for len(queue) > 0 && e.at-queue[0].at > deadline {
			late++
			routers[queue[0].sender].Failed(now, names[e.server], gypsumrail.ReasonDeadline)
			queue = queue[1:]
		}
		if len(queue) > 0 {
			begin(e.at, e.server, queue[0])
			queue = queue[1:]
		}
		queues[e.server] = queue
		sequences[e.server]++
		report := gypsumrail.Report{
			Instance: names[e.server], Incarnation: 1, Sequence: sequences[e.server],
			Limit: w.slots, InFlight: busy[e.server], Queued: len(queue),
		}
		if e.server == 0 && w.liar {
			report.InFlight, report.Queued = 0, 0
		}
		routers[e.call.sender].Answered(now, names[e.server], gypsumrail.Millis(took/1000), &report)
	}
	slices.Sort(latencies)
	sum := 0.0
	for _, l := range latencies {
		sum += l
	}
	n := len(latencies)
	return outcome{sum / float64(n), latencies[n*99/100], float64(late) / float64(all), float64(first) / float64(all)}
}

const seeds = 20

// over returns the outcome of each seed and their mean.
func (w world) over() (mean outcome, each [seeds]outcome) {
	for i := range each {
		o := w.run(uint64(i) + 1)
		each[i] = o
		mean.mean += o.mean / seeds
		mean.p99 += o.p99 / seeds
		mean.late += o.late / seeds
		mean.first += o.first / seeds
	}
	return mean, each
}

// Guards against a choice that is worth less than the baselines, and against a
// herd to an upstream that reports zero load. The limits leave some room above
// the figures in the commit that added the test; go test -v prints them.
func TestRouterAgainstBaselines(t *testing.T) {
	base := world{servers: 10, senders: 5, slots: 8, load: 0.7, service: 20_000, slow: 1, until: 6_000_000}
	tests := []struct {
		name   string
		change func(*world)
		mean   float64 // most of the router's mean latency, as a factor of that of round robin
		late   float64 // most of the router's late share in any seed, as a factor of that of round robin
		first  float64 // most of the share of the first server
	}{
		{"steady", func(*world) {}, 1.02, 1, 0.11},
		{"steady at 85 % load", func(w *world) { w.load = 0.85 }, 1.05, 1, 0.11},
		{"one slow", func(w *world) { w.slow, w.slowFrom = 10, 2_000_000 }, 1.1, 0.1, 0.05},
		{"one reports zero", func(w *world) { w.liar = true }, 1.08, 1, 0.15},
		{"the slow one reports zero", func(w *world) { w.liar, w.slow, w.slowFrom = true, 10, 2_000_000 }, 1.1, 0.1, 0.06},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			play := func(name string, router func(int) gypsumrail.Router) (outcome, [seeds]outcome) {
				w := base
				test.change(&w)
				w.router = router
				mean, each := w.over()
				t.Logf("%-11s mean %5.1f ms  p99 %5.1f ms  late %5.2f %%  first %4.1f %%", name, mean.mean, mean.p99, 100*mean.late, 100*mean.first)
				return mean, each
			}
			router, routers := play("router", func(i int) gypsumrail.Router {
				return New(gypsumrail.Instance{Name: fmt.Sprint(i)}, Settings{})
			})
			turns, allTurns := play("round robin", func(int) gypsumrail.Router { return NewRoundRobin() })
			play("random", func(int) gypsumrail.Router { return NewRandom() })
			if router.mean > turns.mean*test.mean || router.first > test.first {
				t.Errorf("router %+v, round robin %+v", router, turns)
			}
			for i := range routers {
				if routers[i].late > allTurns[i].late*test.late {
					t.Errorf("seed %d: router %+v, round robin %+v", i+1, routers[i], allTurns[i])
				}
			}
		})
	}
}
