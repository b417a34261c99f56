package demo

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gypsumrail/gypsumrail"
)

// userRequest holds the arrival and the outcome of one user request.
type userRequest struct {
	class  int           // index in workload
	at     time.Duration // arrival, from the start of the run
	inTime bool          // a complete answer arrived before the deadline
	done   bool          // answered, failed or not sent
}

// arrivals returns the requests of a run in order of arrival, as a Poisson
// process. They depend only on the timeline, so both runs get the same requests.
func arrivals(t timeline) []userRequest {
	random := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // arrivals only
	rates := func(at time.Duration) (all float64, byClass []float64) {
		for _, c := range workload {
			rate := c.rate
			if at >= t.triggerStart && at < t.triggerEnd {
				rate *= c.surge
			}
			byClass = append(byClass, rate)
			all += rate
		}
		return all, byClass
	}
	var list []userRequest
	for at := time.Duration(0); ; {
		all, byClass := rates(at)
		at += time.Duration(random.ExpFloat64() / all * float64(time.Second))
		if at >= t.length {
			return list
		}
		pick, class := random.Float64()*all, 0
		for class < len(byClass)-1 && pick >= byClass[class] {
			pick -= byClass[class]
			class++
		}
		list = append(list, userRequest{class: class, at: at})
	}
}

// load sends each request of a run at its arrival time. It is safe for
// concurrent use.
type load struct {
	caller  *caller
	records *gypsumrail.Records

	mu       sync.Mutex
	requests []userRequest
	arrived  int // requests that have arrived
	notSent  int // arrived while inFlightMax requests were in flight
}

// run sends all requests and waits until each has ended. If ctx ends, it sends no
// further requests.
func (l *load) run(ctx context.Context, began time.Time) {
	var running sync.WaitGroup
	slots := make(chan struct{}, inFlightMax)
	defer running.Wait()
	for i := range l.requests {
		select {
		case <-time.After(time.Until(began.Add(l.requests[i].at))):
		case <-ctx.Done():
			return
		}
		l.mu.Lock()
		l.arrived = i + 1
		l.mu.Unlock()
		select {
		case slots <- struct{}{}:
		default:
			l.finish(i, false, true)
			continue
		}
		running.Go(func() {
			defer func() { <-slots }()
			class := workload[l.requests[i].class]
			l.finish(i, l.caller.request(ctx, i, class, l.records.Classes[class.class].Repeatable), false)
		})
	}
}

// finish records the outcome of the request with index i.
func (l *load) finish(i int, inTime, notSent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[i].inTime, l.requests[i].done = inTime, true
	if notSent {
		l.notSent++
	}
}

// countArrivals returns how many requests arrived in [from, until), how many of
// these have not ended, and how many were answered in time.
func (l *load) countArrivals(from, until time.Duration) (arrived, pending, inTime int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.requests[:l.arrived] {
		if s.at < from || s.at >= until {
			continue
		}
		arrived++
		pending += oneIf(!s.done)
		inTime += oneIf(s.inTime)
	}
	return arrived, pending, inTime
}
