package fakes

import (
	"slices"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/lab/loads"
	"github.com/gypsumrail/gypsumrail/internal/lab/trace"
)

// coldSteps is the number of steps of the slow start in which a restarted target
// returns to full speed.
const coldSteps = 10

// Condition is the state of a target during one segment of time, as its faults
// determine it. It lasts until the next Condition of the Plan.
type Condition struct {
	From         loads.Micros
	Factor       float64      // service times are multiplied by it; 1 without faults
	Down         bool         // connections fail
	Refuses      bool         // new calls are answered with an overload error
	FrozenReport bool         // the load report repeats its last value
	Slots        int          // number of calls that can run at once
	FalseReport  *trace.Fault // gives the values of a false load report; nil if there is none
}

// Plan holds the conditions of one target over the whole scenario, in order of time. It is
// never changed, so it is safe for concurrent use.
type Plan []Condition

// NewPlan computes the conditions of a target from the faults of a scenario.
func NewPlan(file *trace.File, target *gypsumrail.Target) Plan {
	var faults []*trace.Fault
	changes := []loads.Micros{0}
	coldStart := loads.FromMillis(file.Records.Services[target.Service].ColdStart)
	for i := range file.Faults {
		f := &file.Faults[i]
		if f.Service != target.Service || (f.Target != "" && f.Target != target.Name) {
			continue
		}
		faults = append(faults, f)
		changes = append(changes, loads.FromMillis(f.From), loads.FromMillis(f.Until))
		if f.Kind == trace.Restart {
			for step := range coldSteps {
				changes = append(changes, loads.FromMillis(f.Until)+coldStart*loads.Micros(step+1)/coldSteps)
			}
		}
	}
	slices.Sort(changes)
	var plan Plan
	for _, at := range slices.Compact(changes) {
		c := Condition{From: at, Factor: 1, Slots: target.Slots}
		for _, f := range faults {
			c.apply(f, coldStart)
		}
		plan = append(plan, c)
	}
	return plan
}

// apply adds the effect of one fault. The slow start after a restart lasts for
// the time coldStart.
func (c *Condition) apply(f *trace.Fault, coldStart loads.Micros) {
	from, until := loads.FromMillis(f.From), loads.FromMillis(f.Until)
	if f.Kind == trace.Restart && c.From >= until && c.From < until+coldStart {
		c.Factor *= f.Factor - (f.Factor-1)*float64(c.From-until)/float64(coldStart)
	}
	if c.From < from || c.From >= until {
		return
	}
	switch f.Kind {
	case trace.Slow:
		c.Factor *= f.Factor
	case trace.Down, trace.Restart:
		c.Down = true
	case trace.Refuses:
		c.Refuses = true
	case trace.ReportFrozen:
		c.FrozenReport = true
	case trace.ReportFalse:
		c.FalseReport = f
	case trace.FewerSlots:
		c.Slots = min(c.Slots, f.Slots)
	}
}

// At returns the condition at a point in time.
func (p Plan) At(now loads.Micros) *Condition { return &p[p.index(now)] }

func (p Plan) index(now loads.Micros) int {
	i := len(p) - 1
	for i > 0 && p[i].From > now {
		i--
	}
	return i
}

// FinishTime returns when work that starts now ends. Work in progress speeds up
// or slows down when the condition changes.
func (p Plan) FinishTime(now, work loads.Micros) loads.Micros {
	for i := p.index(now); i+1 < len(p); i++ {
		span := p[i+1].From - now
		done := loads.Micros(float64(span) / p[i].Factor)
		if done >= work {
			return now + loads.Micros(float64(work)*p[i].Factor)
		}
		work -= done
		now = p[i+1].From
	}
	return now + loads.Micros(float64(work)*p[len(p)-1].Factor)
}
