// Package demo shows in one process what the layer does for a call graph under
// overload.
//
// A newcomer should see the effect before reading about it. The demonstration
// starts stand-ins for the platform and for the targets of three services, sends
// the same requests twice, once through complete nodes and once directly with
// retries at each hop, slows the deepest service down while demand surges, and
// compares what was answered in time. Everything runs on loopback ports, so the
// figures depend on the machine; the comparison is what counts.
package demo

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/gypsumrail/gypsumrail"
)

// Range of Settings.Seconds, and its default. Below the minimum the windows of
// the recovery time do not fit after the trigger.
const (
	SecondsMin     = 20
	SecondsMax     = 300
	SecondsDefault = 38
)

// startTime is the part of each run that is kept for starting and ending it.
const startTime = time.Second

// Settings of a demonstration.
type Settings struct {
	Seconds  int                // of both runs together, SecondsMin to SecondsMax
	Started  func(nodes []Node) // called when the nodes are ready; may be nil
	Progress func(Progress)     // called once a second; may be nil
}

// Node is a node of the demonstration, for those who want to look at it while
// it runs.
type Node struct {
	Name  string
	Admin string // IP address and port for operators
}

// Progress is the state of a run.
type Progress struct {
	Layer   bool
	At      time.Duration
	Length  time.Duration
	Phase   string // in which the counted requests arrived
	Sent    int    // requests that arrived in the second before the last
	InTime  int    // of these, answered in time so far
	Pending int    // of these, not ended yet
}

// Result compares both runs.
type Result struct {
	Seconds    float64 // that the demonstration took
	Processors int     // that the process may use
	Runs       []Run   // with the layer, then without it
}

// Run makes both runs one after the other, so that they do not compete for the
// machine. It ends early with ctx.
func (s Settings) Run(ctx context.Context) (*Result, error) {
	if s.Seconds < SecondsMin || s.Seconds > SecondsMax {
		return nil, fmt.Errorf("demo: %d seconds are outside %d to %d", s.Seconds, SecondsMin, SecondsMax)
	}
	began := time.Now()
	result := &Result{Processors: runtime.GOMAXPROCS(0)}
	t := timelineOf(time.Duration(s.Seconds)*time.Second/2 - startTime)
	for _, layer := range []bool{true, false} {
		run, err := s.one(ctx, t, layer)
		if err != nil {
			return nil, err
		}
		result.Runs = append(result.Runs, run)
	}
	result.Seconds = time.Since(began).Seconds()
	return result, nil
}

func (s Settings) one(ctx context.Context, t timeline, layer bool) (Run, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	records := records()
	f, err := startFleet(ctx, records, layer)
	if err != nil {
		return Run{}, fmt.Errorf("demo: %w", err)
	}
	defer f.close()
	if s.Started != nil && layer {
		s.Started(f.nodes)
	}
	l := &load{caller: newCaller(f.entries, layer), records: records, samples: arrivals(t)}
	began := time.Now()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.run(ctx, began)
	}()
	s.follow(f, l, t, began, ended)
	if ctx.Err() != nil {
		return Run{}, fmt.Errorf("demo: %w", ctx.Err())
	}
	return measure(layer, t, l, f), nil
}

// follow applies the trigger and reports progress until the load has ended.
func (s Settings) follow(f *fleet, l *load, t timeline, began time.Time, ended <-chan struct{}) {
	slow := time.AfterFunc(time.Until(began.Add(t.from)), func() { f.slow(slowFactor) })
	well := time.AfterFunc(time.Until(began.Add(t.until)), func() { f.slow(1) })
	defer slow.Stop()
	defer well.Stop()
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
			p := Progress{Layer: l.caller.keyed, At: at, Length: t.length, Phase: t.phase(from)}
			p.Sent, p.Pending, p.InTime = l.lately(from, from+time.Second)
			s.Progress(p)
		}
	}
}

func (t timeline) phase(at time.Duration) string {
	switch {
	case at < t.warm:
		return "warm-up"
	case at < t.from:
		return "steady"
	case at < t.until:
		return "surge, and " + deepService + " is slow"
	}
	return "after the trigger"
}

// startTargets starts the stand-ins of all targets.
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
