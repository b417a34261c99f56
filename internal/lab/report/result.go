// Package report turns the counts of replays into measures, checks them
// against the stated outcomes of a trace and writes tables.
package report

import (
	"cmp"
	"slices"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/lab/counts"
	"github.com/gypsumrail/gypsumrail/internal/lab/loads"
	"github.com/gypsumrail/gypsumrail/internal/lab/trace"
)

// Class is the result of one class of requests.
type Class struct {
	Name       string
	Importance gypsumrail.Importance
	Offered    int
	Good       int // answered in time, all of the chain
	Oracle     int // that the oracle answers in time
	Sheds      int // refusals for load, at any node
	Inversions int // of the sheds, those while a lower importance was admitted
	Late       int // refusals because the deadline was too close
}

// Result is the result of one replay.
type Result struct {
	Trace        string
	Policy       string
	Seed         uint64
	Classes      []Class
	Weighted     float64 // good requests, each counted with its importance + 1
	Oracle       float64 // the same of the oracle
	Share        float64 // Weighted / Oracle
	ShareNow     float64 // Weighted / that of the oracle without waiting
	Baseline     float64 `json:",omitempty"` // Weighted / that of the best baseline
	WorkMillis   int64   // of all targets
	WastedMillis int64   // of it, for requests that were not good
	Attempts     float64 // per user request
	AttemptsMax  int
	Retries      int
	RetriesOver  int // the most retries of one request above the bound of its class
	Sheds        int
	Inversions   int
	Recovery     gypsumrail.Millis // -1: no trigger
	Recovered    bool              // false: not until the end, Recovery is a lower bound
	RunsMax      int               // of one call of a class that is not repeatable
	NotRunRan    int
	at           map[trace.Measure]gypsumrail.Millis // where each measure was worst
}

// Yardstick tells for each request whether the oracle answers it in time, and
// whether it does so without holding requests back.
type Yardstick struct {
	Oracle []bool
	Now    []bool
}

// ratio is 1 if there was nothing to reach.
func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 1
	}
	return part / whole
}

const (
	second = loads.Micros(1_000_000)
	// recoveryShare is the part of the goodput before the trigger that counts as recovered.
	recoveryShare = 0.95
	recoveryStep  = second / 10
	// recoveryWindow is how long the mean must stay recovered, so that one lucky
	// second does not count.
	recoveryWindow = 5 * second
	// preTriggerSpan is the span before the trigger that later goodput is compared with.
	preTriggerSpan = 10 * second
)

// NewResult computes the measures of one replay.
func NewResult(file *trace.File, seed uint64, policy string, t *counts.Tally, oracle Yardstick) *Result {
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
	r.addClasses(t)
	r.addRecovery(file, t)
	return r
}

func (r *Result) addRequests(t *counts.Tally, oracle Yardstick) {
	classes := map[string]*Class{}
	var missed []float64 // weighted, by second of arrival
	attempts, now := 0, 0.0
	for i := range t.Requests {
		request, user := &t.Requests[i], &t.Users[i]
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
		if oracle.Now[i] {
			now += weight
		}
		if oracle.Oracle[i] {
			c.Oracle++
			r.Oracle += weight
			missed[request.At/second] += weight
		}
		if user.Good {
			c.Good++
			r.Weighted += weight
			missed[request.At/second] -= weight
		} else {
			r.WastedMillis += int64(user.Worked.Millis())
		}
		r.WorkMillis += int64(user.Worked.Millis())
		attempts += user.Attempts
		r.AttemptsMax = max(r.AttemptsMax, user.Attempts)
		r.Retries += user.Retries
	}
	if len(t.Requests) > 0 {
		r.Attempts = float64(attempts) / float64(len(t.Requests))
	}
	r.Share, r.ShareNow = ratio(r.Weighted, r.Oracle), ratio(r.Weighted, now)
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

func (r *Result) addClasses(t *counts.Tally) {
	for i := range r.Classes {
		c := &r.Classes[i]
		c.Sheds, c.Inversions, c.Late = t.Sheds[c.Name], t.Inverted[c.Name], t.Late[c.Name]
		r.Sheds += c.Sheds
		r.Inversions += c.Inversions
	}
}

// addRecovery finds the first second after the trigger whose goodput is back.
// Requests count at their arrival and as a share of those that arrived, so that
// answers to a backlog do not hide that new requests still fail, and chance in
// the arrivals does not count as a loss.
func (r *Result) addRecovery(file *trace.File, t *counts.Tally) {
	r.Recovery = -1
	trigger := file.Header.Trigger
	if trigger.Until == 0 {
		return
	}
	end := loads.Of(file.Header.Until)
	good, offered := make([]int, end/recoveryStep+1), make([]int, end/recoveryStep+1)
	for i := range t.Users {
		step := t.Requests[i].At / recoveryStep
		offered[step]++
		if t.Users[i].Good {
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
	triggerStart, triggerEnd := loads.Of(trigger.From), loads.Of(trigger.Until)
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

// CompareBaselines sets, on each result of one trace and seed, the weighted
// goodput as a share of the best baseline's.
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
