package limit

import (
	"math"
	"math/rand/v2"

	"github.com/google/btree"

	"github.com/gypsumrail/gypsumrail"
)

// scenario describes a simulated target over time in steps of 1 ms. The target
// shares its cores among the running calls. A call needs work ms of one core and
// then waits for its own outgoing calls.
type scenario struct {
	name              string
	cores, work, wait func(now gypsumrail.Millis) float64
	slots             func(now gypsumrail.Millis) float64 // calls in flight above which the target refuses; 0 for no bound
	from, to          gypsumrail.Millis                   // span in which the outcome is measured
	goodput           float64                             // smallest accepted mean over the seeds
	limitMax          float64                             // largest accepted mean limit in the span
	ceiling           int                                 // stated by the records
}

func always(v float64) func(gypsumrail.Millis) float64 {
	return func(gypsumrail.Millis) float64 { return v }
}

func during(from, to gypsumrail.Millis, inside, outside float64) func(gypsumrail.Millis) float64 {
	return func(now gypsumrail.Millis) float64 {
		if now >= from && now < to {
			return inside
		}
		return outside
	}
}

type running struct {
	finish   float64 // end of this part: progress of the target if computing, time if waiting
	started  gypsumrail.Millis
	computed gypsumrail.Millis // when it ended computing
	inFlight int
	id       int
}

func finishesBefore(a, b running) bool {
	return a.finish < b.finish || a.finish == b.finish && a.id < b.id
}

// outcome holds the results in the span of a scenario.
type outcome struct {
	goodput float64 // completions relative to a target that is always exactly full
	limit   float64 // mean
	self    float64 // mean time per call relative to an idle target
}

// simulate runs a scenario with as many calls in flight as the limit allows.
func simulate(limiter gypsumrail.Limiter, s scenario, seed uint64) outcome {
	random := rand.New(rand.NewPCG(seed, 7))
	limiter.SetCeiling(s.ceiling)
	computing := btree.NewG(16, finishesBefore)
	waiting := btree.NewG(16, finishesBefore)
	var out outcome
	progress, ideal, done, id := 0.0, 0.0, 0.0, 0
	for now := range s.to {
		slots := s.slots(now)
		progress += min(1, s.cores(now)/float64(max(1, computing.Len()))) / s.work(now)
		for first, found := computing.Min(); found && first.finish <= progress; first, found = computing.Min() {
			computing.DeleteMin()
			first.computed, first.finish = now, float64(now)+s.wait(now)*random.ExpFloat64()
			waiting.ReplaceOrInsert(first)
		}
		for first, found := waiting.Min(); found && first.finish <= float64(now); first, found = waiting.Min() {
			waiting.DeleteMin()
			self := first.computed - first.started
			limiter.Completed(now, gypsumrail.Sample{Latency: now - first.started, Self: self, InFlight: first.inFlight})
			if now >= s.from {
				done++
				out.self += float64(self) / s.work(now)
			}
		}
		for tries := limiter.Limit() - computing.Len() - waiting.Len(); tries > 0; tries-- {
			inFlight := computing.Len() + waiting.Len() + 1
			if slots > 0 && float64(inFlight) > slots {
				limiter.Completed(now, gypsumrail.Sample{InFlight: inFlight, Refused: true})
				continue
			}
			id++
			computing.ReplaceOrInsert(running{finish: progress + random.ExpFloat64(), started: now, inFlight: inFlight, id: id})
		}
		if now >= s.from {
			ceiling := float64(s.ceiling)
			if slots > 0 {
				ceiling = slots
			}
			ideal += min(s.cores(now)/s.work(now), ceiling/(s.work(now)+s.wait(now)))
			out.limit += float64(limiter.Limit())
		}
	}
	out.goodput, out.self = done/ideal, out.self/max(1, done)
	out.limit /= float64(s.to - s.from)
	return out
}

// gradient is the gradient algorithm, with which Adaptive is compared. It scales the
// limit by the ratio of the smallest to the present time per call and adds the
// square root of the limit.
type gradient struct {
	ceiling, limit, least float64
	window                window
}

func (g *gradient) Limit() int                      { return int(g.limit) }
func (g *gradient) Reported(gypsumrail.Millis, int) {}
func (g *gradient) SetCeiling(slots int)            { g.ceiling, g.limit = float64(slots), float64(slots)/4 }
func (g *gradient) Completed(now gypsumrail.Millis, sample gypsumrail.Sample) {
	g.window.add(now, sample)
	if !g.window.complete(now, 100, 100) {
		return
	}
	m := g.window.measure(now)
	g.window = window{start: now}
	if g.least == 0 || m.selfTime < g.least {
		g.least = m.selfTime
	}
	next := g.limit*min(1, max(0.5, 1.5*g.least/m.selfTime)) + math.Sqrt(g.limit)
	if m.errorShare > errorShareMax {
		next = g.limit * max(0.5, 1-m.errorShare)
	}
	g.limit = min(g.ceiling, max(1, 0.8*g.limit+0.2*next))
}
