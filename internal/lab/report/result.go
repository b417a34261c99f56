// Package report computes measures from the counts of replays, checks them
// against the outcomes that a trace states, and writes them as tables.
package report

import (
	"cmp"
	"slices"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/lab/counts"
	"github.com/gypsumrail/gypsumrail/internal/lab/loads"
	"github.com/gypsumrail/gypsumrail/internal/lab/trace"
)

// Class holds the result of one class.
type Class struct {
	Name       string
	Importance gypsumrail.Importance
	Offered    int // user requests that arrived
	Good       int // user requests answered in time and completely
	Oracle     int // user requests that the oracle answers in time
	Sheds      int // calls refused for load, at any node
	Inversions int // of Sheds, those while a lower importance was admitted
	Late       int // calls refused on arrival because the deadline was too close
}

// Result holds the measures of one replay.
type Result struct {
	Trace        string
	Policy       string
	Seed         uint64
	Classes      []Class
	Weighted     float64 // weighted goodput: good requests, each weighted with its importance + 1
	Oracle       float64 // weighted goodput of the oracle
	Share        float64 // Weighted / Oracle
	ShareNow     float64 // Weighted / weighted goodput of the oracle without waiting
	Baseline     float64 `json:",omitempty"` // Weighted / weighted goodput of the best baseline policy; 0 without one
	WorkMillis   int64   // time that all targets worked
	WastedMillis int64   // of WorkMillis, for requests that were not good
	Attempts     float64 // attempts of nodes per user request, mean
	AttemptsMax  int     // attempts of nodes for one user request, largest
	Retries      int
	RetriesOver  int // most retries of one request beyond the allowance of its class
	Sheds        int
	Inversions   int
	Recovery     gypsumrail.Millis                   // time from the end of the trigger to recovery; -1 without a trigger
	Recovered    bool                                // if false, the trace ends before recovery and Recovery is a lower bound
	RunsMax      int                                 // most runs of one call of a class that is not repeatable
	NotRunRan    int                                 // calls that ran although their caller received NotRun
	at           map[trace.Measure]gypsumrail.Millis // virtual time at which each measure was worst
}

// OracleAnswers holds, by index of the request, whether the oracle answers it in
// time. A result is compared with it.
type OracleAnswers struct {
	Oracle    []bool // the oracle may let requests wait
	NoWaiting []bool // the oracle must start each request in the second of its arrival or not at all
}

// ratio returns part / whole, and 1 if whole is 0.
func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 1
	}
	return part / whole
}

const (
	second = loads.Micros(1_000_000)
	// recoveryShare is the share of the goodput before the trigger from which a
	// replay counts as recovered.
	recoveryShare = 0.95
	// recoveryStep is the interval between the times at which recovery is checked.
	recoveryStep = second / 10
	// recoveryWindow is the time over which the mean goodput must have recovered
	// too, so that a single good second does not count.
	recoveryWindow = 5 * second
	// preTriggerSpan is the time before the trigger whose goodput is the
	// reference.
	preTriggerSpan = 10 * second
)

// NewResult computes the measures of one replay, except Baseline, which
// CompareBaselines sets.
func NewResult(file *trace.File, seed uint64, policy string, t *counts.Tally, oracle OracleAnswers) *Result {
	r := &Result{
		Trace: file.Header.Name, Policy: policy, Seed: seed,
		RunsMax: t.Runs.Value, NotRunRan: t.NotRunRan.Value, RetriesOver: t.RetriesOver.Value,
		at: map[trace.Measure]gypsumrail.Millis{
			trace.RunsMax:        t.Runs.At.Millis(),
			trace.RunAfterNotRun: t.NotRunRan.At.Millis(),
			trace.RetriesOver:    t.RetriesOver.At.Millis(),
			trace.InversionShare: t.MaxInversions.At.Millis(),
			trace.Recovery:       file.Header.Trigger.Until,
		},
	}
	r.addRequests(t, oracle)
	r.addRefusals(t)
	r.addRecovery(file, t)
	return r
}

// addRequests computes the measures that are sums over user requests, and
// Classes.
func (r *Result) addRequests(t *counts.Tally, oracle OracleAnswers) {
	classes := map[string]*Class{}
	var missed []float64               // weighted goodput below the oracle, by second of arrival
	attempts, withoutWaiting := 0, 0.0 // weighted goodput of the oracle without waiting
	for i := range t.Requests {
		request, counted := &t.Requests[i], &t.ByRequest[i]
		class := request.Tree.Class
		c := classes[class.Name]
		if c == nil {
			c = &Class{Name: class.Name, Importance: class.Importance}
			classes[class.Name] = c
		}
		c.Offered++
		weight := float64(class.Importance + 1)
		for int(request.At/second) >= len(missed) {
			missed = append(missed, 0)
		}
		if oracle.NoWaiting[i] {
			withoutWaiting += weight
		}
		if oracle.Oracle[i] {
			c.Oracle++
			r.Oracle += weight
			missed[request.At/second] += weight
		}
		if counted.Good {
			c.Good++
			r.Weighted += weight
			missed[request.At/second] -= weight
		} else {
			r.WastedMillis += int64(counted.Worked.Millis())
		}
		r.WorkMillis += int64(counted.Worked.Millis())
		attempts += counted.Attempts
		r.AttemptsMax = max(r.AttemptsMax, counted.Attempts)
		r.Retries += counted.Retries
	}
	if len(t.Requests) > 0 {
		r.Attempts = float64(attempts) / float64(len(t.Requests))
	}
	r.Share, r.ShareNow = ratio(r.Weighted, r.Oracle), ratio(r.Weighted, withoutWaiting)
	if len(missed) > 0 {
		worst := loads.Micros(slices.Index(missed, slices.Max(missed))) * second
		r.at[trace.WeightedShare] = worst.Millis()
		r.at[trace.BaselineShare] = worst.Millis()
	}
	for _, c := range classes {
		r.Classes = append(r.Classes, *c)
	}
	slices.SortFunc(r.Classes, func(a, b Class) int {
		return cmp.Or(cmp.Compare(b.Importance, a.Importance), cmp.Compare(a.Name, b.Name))
	})
}

// addRefusals adds the refusals, which are counted by class.
func (r *Result) addRefusals(t *counts.Tally) {
	for i := range r.Classes {
		c := &r.Classes[i]
		c.Sheds, c.Inversions, c.Late = t.Sheds[c.Name], t.Inverted[c.Name], t.Late[c.Name]
		r.Sheds += c.Sheds
		r.Inversions += c.Inversions
	}
}

// addRecovery finds the first second after the trigger in which goodput has
// recovered. Goodput is the share of good requests among those that arrived in a
// span. Requests count at their arrival, so that answers to a backlog do not
// hide that new requests still fail. A share is used, so that random changes of
// the arrival rate do not count as a loss.
func (r *Result) addRecovery(file *trace.File, t *counts.Tally) {
	r.Recovery = -1
	trigger := file.Header.Trigger
	if trigger.Until == 0 {
		return
	}
	end := loads.FromMillis(file.Header.Until)
	good, offered := make([]int, end/recoveryStep+1), make([]int, end/recoveryStep+1)
	for i := range t.ByRequest {
		step := t.Requests[i].At / recoveryStep
		offered[step]++
		if t.ByRequest[i].Good {
			good[step]++
		}
	}
	share := func(from, span loads.Micros) float64 {
		until := min(from+span, end)
		sum, all := 0, 0
		for step := from / recoveryStep; step < until/recoveryStep; step++ {
			sum += good[step]
			all += offered[step]
		}
		return float64(sum) / float64(max(all, 1))
	}
	triggerStart, triggerEnd := loads.FromMillis(trigger.From), loads.FromMillis(trigger.Until)
	threshold := share(max(0, triggerStart-preTriggerSpan), min(triggerStart, preTriggerSpan)) * recoveryShare
	at := triggerEnd
	for ; at+second <= end; at += recoveryStep {
		if share(at, second) >= threshold && share(at, recoveryWindow) >= threshold {
			r.Recovered = true
			break
		}
	}
	r.Recovery = (at - triggerEnd).Millis()
	r.at[trace.Recovery] = at.Millis()
}

// CompareBaselines sets Baseline on the results of one trace and seed. The
// baseline policies are none and static. If neither is among the results, it
// sets nothing.
func CompareBaselines(results []*Result) {
	best := 0.0
	for _, r := range results {
		if r.Policy == "none" || r.Policy == "static" {
			best = max(best, r.Weighted)
		}
	}
	for _, r := range results {
		if best > 0 {
			r.Baseline = r.Weighted / best
		}
	}
}
