// Package loads turns the compact workload of a scenario into user requests.
//
// Everything random about a request (arrival, service time of every call in its
// tree, seed of its client) is drawn here, before any policy runs. So all
// policies and the oracle see the same requests with the same work, and a
// difference between their results is one of decisions.
package loads

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/lab/trace"
)

// Micros is virtual time in microseconds. Section 1 of the design states
// delays of 1.5 ms, so the driver needs a finer unit than Millis.
type Micros int64

// Of converts milliseconds.
func Of(m gypsumrail.Millis) Micros { return Micros(m) * 1000 }

// OfFloat converts milliseconds with a fraction.
func OfFloat(millis float64) Micros { return Micros(math.Round(millis * 1000)) }

// Millis converts to the unit of events, rounding down.
func (m Micros) Millis() gypsumrail.Millis { return gypsumrail.Millis(m / 1000) }

// Call is one call in the tree of a class. The entry call has index 0.
type Call struct {
	Service string
	Steps   [][]int // calls made while this one runs: in sequence, each step in parallel
	work    *trace.Work
}

// Tree is the calls that one request of a class makes, parents before children.
type Tree struct {
	Class *gypsumrail.Class
	Calls []Call
}

// Request is one user request.
type Request struct {
	Index int
	ID    string
	Tree  *Tree
	Phase *trace.Phase
	At    Micros
	Work  []Micros // by call of the tree
	Seed  uint64   // of the client
}

// Deadline returns the point in time after which an answer is not useful.
func (r *Request) Deadline() Micros { return r.At + Of(r.Phase.Deadline) }

// Requests draws the requests of a scenario in order of arrival.
func Requests(file *trace.File, seed uint64) []Request {
	trees := map[string]*Tree{}
	var all []Request
	for i := range file.Phases {
		phase := &file.Phases[i]
		if phase.Rate == 0 {
			continue
		}
		tree := trees[phase.Class]
		if tree == nil {
			class := file.Records.Classes[phase.Class]
			tree = &Tree{Class: class}
			tree.add(file, class.Service)
			trees[phase.Class] = tree
		}
		// Each phase has its own generator, so a change to one phase leaves the others alone.
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		mean := 1e6 / phase.Rate
		for at := float64(Of(phase.From)); ; {
			at += random.ExpFloat64() * mean
			if at >= float64(Of(phase.Until)) {
				break
			}
			all = append(all, tree.draw(phase, Micros(at), random))
		}
	}
	slices.SortStableFunc(all, func(a, b Request) int { return int(a.At - b.At) })
	for i := range all {
		all[i].Index = i
		all[i].ID = "r" + strconv.Itoa(i)
	}
	return all
}

func (t *Tree) add(file *trace.File, service string) int {
	index := len(t.Calls)
	t.Calls = append(t.Calls, Call{Service: service, work: file.WorkOf(t.Class.Name, service)})
	var steps [][]int
	for _, step := range file.StepsOf(t.Class.Name, service) {
		var calls []int
		for _, name := range step {
			calls = append(calls, t.add(file, name))
		}
		steps = append(steps, calls)
	}
	t.Calls[index].Steps = steps
	return index
}

func (t *Tree) draw(phase *trace.Phase, at Micros, random *rand.Rand) Request {
	r := Request{Tree: t, Phase: phase, At: at, Work: make([]Micros, len(t.Calls)), Seed: random.Uint64()}
	for i := range t.Calls {
		r.Work[i] = OfFloat(drawWork(t.Calls[i].work, random))
	}
	return r
}

func drawWork(work *trace.Work, random *rand.Rand) float64 {
	switch work.Spread {
	case trace.Exponential:
		return work.MeanMillis * random.ExpFloat64()
	case trace.Lognormal:
		// The mean of a lognormal variable is exp(mu + sigma²/2).
		return work.MeanMillis * math.Exp(work.Sigma*random.NormFloat64()-work.Sigma*work.Sigma/2)
	}
	return work.MeanMillis
}

// MeanWork returns the mean service time of a call.
func (c *Call) MeanWork() Micros { return OfFloat(c.work.MeanMillis) }
