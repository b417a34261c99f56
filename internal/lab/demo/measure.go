package demo

import (
	"strconv"
	"time"

	"github.com/gypsumrail/gypsumrail"
)

// Run holds the measurements of one run. Classes, Weighted and WeightedTrigger
// do not count requests that arrived during the warm-up. DeepPerRequest,
// RanTwice and HeldBack do.
type Run struct {
	Layer           bool     // the run with the layer
	Classes         []Class  // in the order of workload
	Weighted        float64  // share of requests answered in time, each weighted with its importance + 1
	WeightedTrigger float64  // the same for requests that arrived during the trigger
	Recovery        *float64 // seconds from the end of the trigger to recovery; nil if the run did not recover
	Observed        float64  // seconds from the end of the trigger to the end of the run
	DeepPerRequest  float64  // calls that ran at the deepest service per user request
	RanTwice        int      // requests that were started more than once although their class is not repeatable
	HeldBack        int      // requests that were not sent because too many were in flight
}

// Class holds the result of one class. A request is in time if its own, complete
// answer arrived before its deadline.
type Class struct {
	Name          string
	Importance    gypsumrail.Importance
	Sent          int
	InTime        int
	SentTrigger   int // arrived during the trigger
	InTimeTrigger int
}

// ratio returns some / all. It returns 1 if all is 0, so that a phase without
// requests does not count as failed.
func ratio(some, all float64) float64 {
	if all == 0 {
		return 1
	}
	return some / all
}

// measure evaluates a run that has ended.
func measure(layer bool, t timeline, l *load, f *fleet) Run {
	r := Run{Layer: layer, HeldBack: l.notSent, Observed: (t.length - t.triggerEnd).Seconds()}
	for _, c := range workload {
		r.Classes = append(r.Classes, Class{Name: c.class, Importance: l.records.Classes[c.class].Importance})
	}
	for i, s := range l.requests {
		c := &r.Classes[s.class]
		if !l.records.Classes[c.Name].Repeatable && f.requestRuns(requestID(i)) > 1 {
			r.RanTwice++
		}
		if s.at < t.warmup {
			continue
		}
		c.Sent++
		c.InTime += oneIf(s.inTime)
		if s.at >= t.triggerStart && s.at < t.triggerEnd {
			c.SentTrigger++
			c.InTimeTrigger += oneIf(s.inTime)
		}
	}
	var sum, all, sumTrigger, allTrigger float64
	for _, c := range r.Classes {
		weight := float64(c.Importance) + 1
		sum, all = sum+weight*float64(c.InTime), all+weight*float64(c.Sent)
		sumTrigger, allTrigger = sumTrigger+weight*float64(c.InTimeTrigger), allTrigger+weight*float64(c.SentTrigger)
	}
	r.Weighted, r.WeightedTrigger = ratio(sum, all), ratio(sumTrigger, allTrigger)
	r.DeepPerRequest = ratio(float64(f.callsRun(deepService)), float64(len(l.requests)))
	if after, ok := recovery(l.requests, t); ok {
		seconds := after.Seconds()
		r.Recovery = &seconds
	}
	return r
}

// oneIf returns 1 for true and 0 for false.
func oneIf(b bool) int {
	if b {
		return 1
	}
	return 0
}

// requestID returns the identity of the request with the given index, as the
// request header states it.
func requestID(number int) string { return "demo-" + strconv.Itoa(number) }

// recoveredShare is the share of requests answered in time from which a run
// counts as recovered. It is not relative to the share before the trigger.
// Otherwise, a run in which many requests failed before the trigger would count as
// recovered as soon as no more than that fail.
const recoveredShare = 0.95

// Windows in which recovery is measured. The long one shows that it lasts.
const (
	shortWindow = time.Second
	longWindow  = 3 * time.Second
	windowStep  = 100 * time.Millisecond
)

// recovery returns the time from the end of the trigger to the first moment after
// which recoveredShare of the requests are answered in time, both of those that
// arrive in the short window and of those in the long one. It returns false if
// there is no such moment.
func recovery(requests []userRequest, t timeline) (time.Duration, bool) {
	shareIn := func(from, until time.Duration) float64 {
		var sum, all float64
		for _, s := range requests {
			if s.at >= from && s.at < until {
				all++
				sum += float64(oneIf(s.inTime))
			}
		}
		return ratio(sum, all)
	}
	for at := t.triggerEnd; at+longWindow <= t.length; at += windowStep {
		if shareIn(at, at+shortWindow) >= recoveredShare && shareIn(at, at+longWindow) >= recoveredShare {
			return at - t.triggerEnd, true
		}
	}
	return 0, false
}
