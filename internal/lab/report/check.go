package report

import (
	"fmt"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/lab/trace"
)

// Miss is an outcome that a trace states and a replay did not meet.
type Miss struct {
	Trace   string
	Policy  string
	Seed    uint64
	Measure trace.Measure
	Value   float64           // measured value
	Bound   float64           // stated bound
	By      float64           // how far Value misses Bound
	At      gypsumrail.Millis // virtual time at which the measure was worst
	Known   bool              // listed in the file of known misses
}

// String returns the miss as one line, with its value, its bound and the virtual
// time.
func (m Miss) String() string {
	return fmt.Sprintf("%s: outcome %s of policy %s (seed %d) is %.4g, stated %.4g, missed by %.4g, worst at %.1f s",
		m.Trace, m.Measure, m.Policy, m.Seed, m.Value, m.Bound, m.By, float64(m.At)/1000)
}

// Value returns the value of a measure, and false if the replay has none. That
// is Recovery in a trace without a trigger, BaselineShare without a baseline
// policy, and an unknown measure.
func (r *Result) Value(measure trace.Measure) (float64, bool) {
	switch measure {
	case trace.WeightedShare:
		return r.Share, true
	case trace.InversionShare:
		if r.Sheds == 0 {
			return 0, true
		}
		return float64(r.Inversions) / float64(r.Sheds), true
	case trace.RetriesOver:
		return float64(r.RetriesOver), true
	case trace.Recovery:
		return float64(r.Recovery), r.Recovery >= 0
	case trace.RunsMax:
		return float64(r.RunsMax), true
	case trace.RunAfterNotRun:
		return float64(r.NotRunRan), true
	case trace.BaselineShare:
		return r.Baseline, r.Baseline > 0
	}
	return 0, false
}

// Check returns the outcomes that a result does not meet. An outcome without a
// policy applies to all policies. Recovery that does not happen before the end
// of the trace is a miss whatever the bound.
func Check(outcomes []trace.Outcome, r *Result) []Miss {
	var misses []Miss
	for _, o := range outcomes {
		value, ok := r.Value(o.Measure)
		if !ok || (o.Policy != "" && o.Policy != r.Policy) {
			continue
		}
		miss := Miss{
			Trace: r.Trace, Policy: r.Policy, Seed: r.Seed, Measure: o.Measure, Value: value, At: r.at[o.Measure],
		}
		if o.AtLeast != nil {
			miss.Bound, miss.By = *o.AtLeast, *o.AtLeast-value
		} else {
			miss.Bound, miss.By = *o.AtMost, value-*o.AtMost
		}
		if miss.By > 0 || (o.Measure == trace.Recovery && !r.Recovered) {
			misses = append(misses, miss)
		}
	}
	return misses
}
