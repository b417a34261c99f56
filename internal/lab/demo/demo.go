// Package demo implements 'gypsumrail demo', which compares a small call graph
// under overload with and without the overload control layer ("the layer").
//
// It is meant for newcomers, who can see the effect before they read about it.
// The demonstration starts stubs of the platform and of the targets of three
// services and sends the same user requests in two runs. In the first run, they
// pass through complete nodes. In the second, targets call each other directly
// and retry at each hop. In both, the deepest service slows down while the
// request rate rises. The result compares how many requests were answered in
// time. Everything runs in one process on loopback ports, so the figures depend
// on the machine, and only the comparison of the two runs is meaningful.
package demo

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/gypsumrail/gypsumrail"
)

// Range and default of Settings.Seconds. Below the minimum, the windows that
// measure the recovery time do not fit between the trigger and the end of a run.
const (
	SecondsMin     = 20
	SecondsMax     = 300
	SecondsDefault = 38
)

// startupTime is the part of each run that is reserved for its startup and
// shutdown. No requests arrive in it.
const startupTime = time.Second

// Settings configure a demonstration.
type Settings struct {
	Seconds  int                // length of both runs together, SecondsMin to SecondsMax
	Started  func(nodes []Node) // called once, when the nodes of the first run are ready; may be nil
	Progress func(Progress)     // called once a second during both runs; may be nil
}

// Node identifies a running node of the demonstration, so that users can query
// its status.
type Node struct {
	Name  string
	Admin string // IP address and port of the endpoint for operators
}

// Progress is the state of a run. It counts the requests that arrived between two
// seconds and one second ago, most of which have ended.
type Progress struct {
	Layer   bool          // the run with the layer
	At      time.Duration // time since the start of the run, in whole seconds
	Length  time.Duration // length of the run
	Phase   string        // phase in which the counted requests arrived
	Sent    int           // requests that arrived
	InTime  int           // of these, answered in time so far
	Pending int           // of these, not ended yet
}

// Result holds the measurements of both runs.
type Result struct {
	Seconds    float64 // duration of the demonstration
	Processors int     // processors that the process may use
	Runs       []Run   // with the layer, then without it
}

// Run makes the run with the layer and then the run without it. They do not
// overlap, so that they do not compete for the machine. Run returns an error if
// Seconds is out of range, if a run does not start, or if ctx ends first.
func (s Settings) Run(ctx context.Context) (*Result, error) {
	if s.Seconds < SecondsMin || s.Seconds > SecondsMax {
		return nil, fmt.Errorf("demo: a length of %d seconds is outside the range from %d to %d", s.Seconds, SecondsMin, SecondsMax)
	}
	began := time.Now()
	result := &Result{Processors: runtime.GOMAXPROCS(0)}
	t := newTimeline(time.Duration(s.Seconds)*time.Second/2 - startupTime)
	for _, layer := range []bool{true, false} {
		run, err := s.runOnce(ctx, t, layer)
		if err != nil {
			return nil, err
		}
		result.Runs = append(result.Runs, run)
	}
	result.Seconds = time.Since(began).Seconds()
	return result, nil
}

// runOnce makes one run, with the layer or without it.
func (s Settings) runOnce(ctx context.Context, t timeline, layer bool) (Run, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	records := parseRecords()
	f, err := startFleet(ctx, records, layer)
	if err != nil {
		return Run{}, fmt.Errorf("demo: %w", err)
	}
	defer f.close()
	if s.Started != nil && layer {
		s.Started(f.nodes)
	}
	l := &load{caller: newCaller(f.entries, layer), records: records, requests: arrivals(t)}
	began := time.Now()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.run(ctx, began)
	}()
	s.applyTrigger(f, l, t, began, ended)
	if ctx.Err() != nil {
		return Run{}, fmt.Errorf("demo: %w", ctx.Err())
	}
	return measure(layer, t, l, f), nil
}

// applyTrigger slows the deepest service down from triggerStart to triggerEnd. It
// reports progress once a second and returns when all requests have ended.
func (s Settings) applyTrigger(f *fleet, l *load, t timeline, began time.Time, ended <-chan struct{}) {
	degrade := time.AfterFunc(time.Until(began.Add(t.triggerStart)), func() { f.multiplyDeepServiceTime(slowFactor) })
	restore := time.AfterFunc(time.Until(began.Add(t.triggerEnd)), func() { f.multiplyDeepServiceTime(1) })
	defer degrade.Stop()
	defer restore.Stop()
	second := time.NewTicker(time.Second)
	defer second.Stop()
	for {
		select {
		case <-ended:
			return
		case <-second.C:
			if s.Progress == nil {
				continue
			}
			at := time.Since(began).Truncate(time.Second)
			from := at - 2*time.Second // late enough for most of these requests to have ended
			p := Progress{Layer: l.caller.throughNodes, At: at, Length: t.length, Phase: t.phase(from)}
			p.Sent, p.Pending, p.InTime = l.countArrivals(from, from+time.Second)
			s.Progress(p)
		}
	}
}

// phase returns the name of the phase at a time since the start of the run.
func (t timeline) phase(at time.Duration) string {
	switch {
	case at < t.warmup:
		return "warm-up"
	case at < t.triggerStart:
		return "steady"
	case at < t.triggerEnd:
		return "surge, and " + deepService + " is slow"
	}
	return "after the trigger"
}

// startTargets starts a stub for each target of the records.
func startTargets(records *gypsumrail.Records) (*fleet, error) {
	f := newFleet()
	for _, name := range targetNames(records) {
		if err := f.addTarget(records, records.Targets[name]); err != nil {
			f.close()
			return nil, err
		}
	}
	return f, nil
}
