package demo

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gypsumrail/gypsumrail"
)

// sample is one user request.
type sample struct {
	class  int           // index in the scene
	at     time.Duration // arrival, from the begin of the run
	useful bool          // answered whole and in time
	done   bool
}

// arrivals returns the requests of a run in order. They depend on the timeline
// alone, so both runs get the same ones.
func arrivals(t timeline) []sample {
	random := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // arrivals only
	rates := func(at time.Duration) (all float64, byClass []float64) {
		for _, c := range scene {
			rate := c.rate
			if at >= t.from && at < t.until {
				rate *= c.surge
			}
			byClass = append(byClass, rate)
			all += rate
		}
		return all, byClass
	}
	var list []sample
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
		list = append(list, sample{class: class, at: at})
	}
}

// load makes the requests of a run when they are due. It is safe for concurrent use.
type load struct {
	caller  *caller
	records *gypsumrail.Records

	mu       sync.Mutex
	samples  []sample
	sent     int
	heldBack int // not sent because too many were running
}

// run makes all requests and waits for the last one, or for the end of ctx.
func (l *load) run(ctx context.Context, began time.Time) {
	var running sync.WaitGroup
	slots := make(chan struct{}, runningMax)
	defer running.Wait()
	for i := range l.samples {
		select {
		case <-time.After(time.Until(began.Add(l.samples[i].at))):
		case <-ctx.Done():
			return
		}
		l.mu.Lock()
		l.sent = i + 1
		l.mu.Unlock()
		select {
		case slots <- struct{}{}:
		default:
			l.finish(i, false, true)
			continue
		}
		running.Go(func() {
			defer func() { <-slots }()
			class := scene[l.samples[i].class]
			l.finish(i, l.caller.request(ctx, i, class, l.records.Classes[class.class].Repeatable), false)
		})
	}
}

func (l *load) finish(i int, useful, heldBack bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples[i].useful, l.samples[i].done = useful, true
	if heldBack {
		l.heldBack++
	}
}

// lately returns how many requests arrived from one time until another, how
// many of these have not ended, and how many were useful.
func (l *load) lately(from, until time.Duration) (sent, pending, useful int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.samples[:l.sent] {
		if s.at < from || s.at >= until {
			continue
		}
		sent++
		pending += one(!s.done)
		useful += one(s.useful)
	}
	return sent, pending, useful
}
