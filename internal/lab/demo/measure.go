package demo

import (
	"strconv"
	"time"

	"github.com/gypsumrail/gypsumrail"
)

// Run is what was measured in one run. The warm-up is not counted.
type Run struct {
	Layer           bool
	Classes         []Class
	Weighted        float64  // share answered in time, each request counted with its importance + 1
	WeightedTrigger float64  // the same of the requests that arrived during the trigger
	Recovery        *float64 // seconds after the trigger; nil if it did not happen within the run
	Observed        float64  // seconds after the trigger that the run went on
	DeepPerRequest  float64  // calls that ran at the deepest service, per user request
	RanTwice        int      // requests that may not be repeated and were started more than once
	HeldBack        int      // requests that were not sent because too many were running
}

// Class is the result of one class. A request is in time if its whole and own
// answer arrived before its deadline.
type Class struct {
	Name          string
	Importance    gypsumrail.Importance
	Sent          int
	InTime        int
	SentTrigger   int // arrived during the trigger
	InTimeTrigger int
}

// share returns 1 for none of none, so that an empty part does not look bad.
func share(some, all float64) float64 {
	if all == 0 {
		return 1
	}
	return some / all
}

func measure(layer bool, t timeline, l *load, f *fleet) Run {
	r := Run{Layer: layer, HeldBack: l.heldBack, Observed: (t.length - t.until).Seconds()}
	for _, c := range scene {
		r.Classes = append(r.Classes, Class{Name: c.class, Importance: l.records.Classes[c.class].Importance})
	}
	for i, s := range l.samples {
		c := &r.Classes[s.class]
		if !l.records.Classes[c.Name].Repeatable && f.ranRequest(requestOf(i)) > 1 {
			r.RanTwice++
		}
		if s.at < t.warm {
			continue
		}
		c.Sent++
		c.InTime += one(s.useful)
		if s.at >= t.from && s.at < t.until {
			c.SentTrigger++
			c.InTimeTrigger += one(s.useful)
		}
	}
	var sum, all, sumTrigger, allTrigger float64
	for _, c := range r.Classes {
		weight := float64(c.Importance) + 1
		sum, all = sum+weight*float64(c.InTime), all+weight*float64(c.Sent)
		sumTrigger, allTrigger = sumTrigger+weight*float64(c.InTimeTrigger), allTrigger+weight*float64(c.SentTrigger)
	}
	r.Weighted, r.WeightedTrigger = share(sum, all), share(sumTrigger, allTrigger)
	r.DeepPerRequest = share(float64(f.ran(deepService)), float64(len(l.samples)))
	if after, ok := recovery(l.samples, t); ok {
		seconds := after.Seconds()
		r.Recovery = &seconds
	}
	return r
}

func one(b bool) int {
	if b {
		return 1
	}
	return 0
}

// requestOf returns the identity of a request.
func requestOf(number int) string { return "demo-" + strconv.Itoa(number) }

// recoveredShare is the share of requests in time from which a run counts as
// recovered. It is a share of all requests and not of those that were in time
// before the trigger, so that a run that was bad before is not well after it.
const recoveredShare = 0.95

// Windows of the recovery time. The long one shows that it lasts.
const (
	shortWindow = time.Second
	longWindow  = 3 * time.Second
	windowStep  = 100 * time.Millisecond
)

// recovery returns the time after the trigger from which the requests that
// arrive in a short and in a long window are answered in time.
func recovery(samples []sample, t timeline) (time.Duration, bool) {
	shareIn := func(from, until time.Duration) float64 {
		var sum, all float64
		for _, s := range samples {
			if s.at >= from && s.at < until {
				all++
				sum += float64(one(s.useful))
			}
		}
		return share(sum, all)
	}
	for at := t.until; at+longWindow <= t.length; at += windowStep {
		if shareIn(at, at+shortWindow) >= recoveredShare && shareIn(at, at+longWindow) >= recoveredShare {
			return at - t.until, true
		}
	}
	return 0, false
}
