// Package loads generates the user requests of a scenario from its phases.
//
// All random values of a request are drawn here, before any policy runs: the time
// of its arrival, the service time of every call in its tree, and the seed of its
// client. All policies and the oracle therefore see the same requests with the
// same work, and their results differ only because of their decisions.
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
// delays of 1.5 ms, so a replay needs a finer unit than Millis.
type Micros int64

// FromMillis converts milliseconds.
func FromMillis(m gypsumrail.Millis) Micros { return Micros(m) * 1000 }

// FromFloatMillis converts milliseconds with a fraction.
func FromFloatMillis(millis float64) Micros { return Micros(math.Round(millis * 1000)) }

// Millis converts to milliseconds, the unit of events, rounding down.
func (m Micros) Millis() gypsumrail.Millis { return gypsumrail.Millis(m / 1000) }

// Call is one call in the tree of a class. The entry call has index 0.
type Call struct {
	Service string
	Steps   [][]int // indexes of the outgoing calls; steps run in sequence, the calls of one step in parallel
	work    *trace.Work
}

// Tree holds the calls that each request of a class makes, parents before children.
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
	At    Micros   // time of arrival
	Work  []Micros // service time by index of the call in the tree
	Seed  uint64   // for the random choices of the client
}

// Deadline returns the point in time after which an answer is not useful.
func (r *Request) Deadline() Micros { return r.At + FromMillis(r.Phase.Deadline) }

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
			tree.addCall(file, class.Service)
			trees[phase.Class] = tree
		}
		// Each phase has its own generator, so a change to one phase does not change
		// the requests of the others.
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		meanGap := 1e6 / phase.Rate // microseconds between arrivals
		for at := float64(FromMillis(phase.From)); ; {
			at += random.ExpFloat64() * meanGap
			if at >= float64(FromMillis(phase.Until)) {
				break
			}
			all = append(all, tree.drawRequest(phase, Micros(at), random))
		}
	}
	slices.SortStableFunc(all, func(a, b Request) int { return int(a.At - b.At) })
	for i := range all {
		all[i].Index = i
		all[i].ID = "r" + strconv.Itoa(i)
	}
	return all
}

// addCall adds a call to a service and, recursively, its outgoing calls. It
// returns the index of the call.
func (t *Tree) addCall(file *trace.File, service string) int {
	index := len(t.Calls)
	t.Calls = append(t.Calls, Call{Service: service, work: file.WorkOf(t.Class.Name, service)})
	var steps [][]int
	for _, step := range file.StepsOf(t.Class.Name, service) {
		var calls []int
		for _, name := range step {
			calls = append(calls, t.addCall(file, name))
		}
		steps = append(steps, calls)
	}
	t.Calls[index].Steps = steps
	return index
}

func (t *Tree) drawRequest(phase *trace.Phase, at Micros, random *rand.Rand) Request {
	r := Request{Tree: t, Phase: phase, At: at, Work: make([]Micros, len(t.Calls)), Seed: random.Uint64()}
	for i := range t.Calls {
		r.Work[i] = FromFloatMillis(drawWork(t.Calls[i].work, random))
	}
	return r
}

// drawWork draws a service time in milliseconds.
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
func (c *Call) MeanWork() Micros { return FromFloatMillis(c.work.MeanMillis) }
