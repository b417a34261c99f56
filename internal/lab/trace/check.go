package trace

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"github.com/gypsumrail/gypsumrail"
)

// Limits of a scenario. They bound the memory and the time of a replay.
const (
	lengthMax    = 10 * gypsumrail.Minute
	rateMax      = 100_000   // requests per second
	requestsMax  = 5_000_000 // user requests of one scenario
	retriesMax   = 100       // of one client
	depthMax     = 16        // of a call tree
	factorMax    = 1000      // by which a fault multiplies service times
	millisMax    = 600_000   // of a time in a phase or of the mean service time
	treeCallsMax = 256       // calls of one user request
)

var eventKinds = []gypsumrail.EventKind{
	gypsumrail.CallArrived, gypsumrail.CallerGone, gypsumrail.AttemptAnswered, gypsumrail.AttemptFailed,
	gypsumrail.AnswerDone, gypsumrail.TargetAnswered, gypsumrail.TargetFailed, gypsumrail.TargetDone,
	gypsumrail.TargetReported, gypsumrail.Tick, gypsumrail.RecordsRead, gypsumrail.RecordsConfirmed, gypsumrail.InstancesRead,
	gypsumrail.Exchanged, gypsumrail.PeerFailed, gypsumrail.PeerCalled, gypsumrail.ResolveAsked,
	gypsumrail.Resolved, gypsumrail.TicketsAsked, gypsumrail.DrainAsked, gypsumrail.ReleaseAsked,
	gypsumrail.GrantAsked, gypsumrail.GrantReplied,
}

var measures = []Measure{
	WeightedShare, InversionShare, RetriesOver, Recovery, RunsMax, RunAfterNotRun, BaselineShare,
}

func knownEvent(kind gypsumrail.EventKind) bool { return slices.Contains(eventKinds, kind) }

// inRange tells whether a number is in a range; it is false for NaN.
func inRange(x, low, high float64) bool { return x >= low && x <= high }

func (s Span) check(until gypsumrail.Millis) error {
	if s.From < 0 || s.Until <= s.From || s.Until > until {
		return fmt.Errorf("the span from %d until %d is empty or outside 0 to %d", s.From, s.Until, until)
	}
	return nil
}

func (f *File) checkHeader() error {
	h := &f.Header
	switch h.Kind {
	case KindNode:
		if h.Self.Name == "" {
			return errors.New("a Node trace needs the field Self with a Name")
		}
		return nil
	case KindScenario:
	default:
		return fmt.Errorf("unknown Kind %q; known are Node and Scenario", h.Kind)
	}
	if f.Records == nil {
		return errors.New("a Scenario needs Records or RecordsFile")
	}
	for _, target := range f.Records.Targets {
		if target.Conns < target.Slots {
			return fmt.Errorf("target %q accepts fewer connections than it has slots", target.Name)
		}
	}
	if h.Until <= 0 || h.Until > lengthMax {
		return fmt.Errorf("field Until is %d ms; the range is 1 to %d ms", h.Until, lengthMax)
	}
	for _, d := range []float64{h.Delays.LocalMillis, h.Delays.ZoneMillis, h.Delays.ClientMillis} {
		if !inRange(d, 0, 10_000) {
			return fmt.Errorf("one of the Delays is %v ms; the range is 0 to 10000 ms", d)
		}
	}
	if h.Trigger != (Span{}) {
		if err := h.Trigger.check(h.Until); err != nil {
			return fmt.Errorf("field Trigger: %w", err)
		}
	}
	for i, o := range h.Outcomes {
		if !slices.Contains(measures, o.Measure) {
			return fmt.Errorf("outcome %d has the unknown Measure %q", i, o.Measure)
		}
		if (o.AtLeast == nil) == (o.AtMost == nil) {
			return fmt.Errorf("outcome %d needs exactly one of AtLeast and AtMost", i)
		}
	}
	return nil
}

func (f *File) addLine(l *Line) error {
	fieldsSet := 0
	var err error
	if l.Phase != nil {
		fieldsSet++
		err = f.addPhase(l.Phase)
	}
	if l.Calls != nil {
		fieldsSet++
		err = f.addCalls(l.Calls)
	}
	if l.Work != nil {
		fieldsSet++
		err = f.addWork(l.Work)
	}
	if l.Fault != nil {
		fieldsSet++
		err = f.addFault(l.Fault)
	}
	if fieldsSet != 1 {
		return errors.New("a line needs exactly one of Phase, Calls, Work and Fault")
	}
	return err
}

func (f *File) addPhase(p *Phase) error {
	records := f.Records
	if records.Classes[p.Class] == nil {
		return fmt.Errorf("unknown class %q", p.Class)
	}
	if p.Account != "" && records.Accounts[p.Account] == nil {
		return fmt.Errorf("unknown account %q", p.Account)
	}
	if !f.hasZone(p.Zone) {
		return fmt.Errorf("no target is in zone %q", p.Zone)
	}
	if !inRange(p.Rate, 0, rateMax) {
		return fmt.Errorf("field Rate is %v requests per second; the range is 0 to %d", p.Rate, rateMax)
	}
	if p.Deadline <= 0 || p.Deadline > millisMax || p.Timeout < 0 || p.Timeout > p.Deadline ||
		p.Backoff < 0 || p.Backoff > millisMax {
		return errors.New("field Deadline, Timeout or Backoff is out of range: Deadline is 1 to 600000 ms, Timeout 0 to Deadline, Backoff 0 to 600000 ms")
	}
	if p.Retries < 0 || p.Retries > retriesMax {
		return fmt.Errorf("field Retries is %d; the range is 0 to %d", p.Retries, retriesMax)
	}
	if err := (Span{p.From, p.Until}).check(f.Header.Until); err != nil {
		return err
	}
	f.Phases = append(f.Phases, *p)
	return nil
}

func (f *File) hasZone(zone string) bool {
	for _, t := range f.Records.Targets {
		if t.Zone == zone {
			return true
		}
	}
	return false
}

func (f *File) addCalls(c *Calls) error {
	records := f.Records
	service := records.Services[c.Service]
	if service == nil || records.Classes[c.Class] == nil {
		return fmt.Errorf("class %q or service %q is unknown", c.Class, c.Service)
	}
	if f.StepsOf(c.Class, c.Service) != nil {
		return fmt.Errorf("class %q has two lines of Calls for service %q", c.Class, c.Service)
	}
	for _, step := range c.Steps {
		for _, name := range step {
			if !slices.Contains(service.Dependencies, name) {
				return fmt.Errorf("service %q is not a dependency of %q in the records", name, c.Service)
			}
		}
	}
	f.Calls = append(f.Calls, *c)
	return nil
}

func (f *File) addWork(w *Work) error {
	records := f.Records
	if records.Services[w.Service] == nil || (w.Class != "" && records.Classes[w.Class] == nil) {
		return fmt.Errorf("class %q or service %q is unknown", w.Class, w.Service)
	}
	if !inRange(w.MeanMillis, 0, millisMax) || !inRange(w.Sigma, 0, 3) {
		return errors.New("field MeanMillis or Sigma is out of range: MeanMillis is 0 to 600000 ms, Sigma 0 to 3")
	}
	if !slices.Contains([]Spread{Fixed, Exponential, Lognormal}, w.Spread) {
		return fmt.Errorf("unknown Spread %q", w.Spread)
	}
	f.Work = append(f.Work, *w)
	return nil
}

func (f *File) addFault(fault *Fault) error {
	records := f.Records
	if records.Services[fault.Service] == nil {
		return fmt.Errorf("unknown service %q", fault.Service)
	}
	if t := records.Targets[fault.Target]; fault.Target != "" && (t == nil || t.Service != fault.Service) {
		return fmt.Errorf("service %q has no target %q", fault.Service, fault.Target)
	}
	switch fault.Kind {
	case Slow, Restart:
		if !inRange(fault.Factor, 1, factorMax) {
			return fmt.Errorf("field Factor is %v; the range is 1 to %d", fault.Factor, factorMax)
		}
	case FewerSlots, ReportFalse:
		if fault.Slots < 1 || fault.Busy < 0 || fault.Slots > math.MaxInt32 || fault.Busy > math.MaxInt32 {
			return errors.New("field Slots or Busy is out of range: Slots is 1 to 2147483647, Busy 0 to 2147483647")
		}
	case Down, ReportFrozen, Refuses:
	default:
		return fmt.Errorf("unknown kind of fault %q", fault.Kind)
	}
	if err := (Span{fault.From, fault.Until}).check(f.Header.Until); err != nil {
		return err
	}
	f.Faults = append(f.Faults, *fault)
	return nil
}

// checkWorkload runs the checks that need all lines. Every request must have a
// finite call tree with known service times, and the number of requests is bounded.
func (f *File) checkWorkload() error {
	if f.Header.Kind != KindScenario {
		return nil
	}
	requests := 0.0
	for i := range f.Phases {
		p := &f.Phases[i]
		requests += p.Rate * float64(p.Until-p.From) / 1000
		calls := 0
		if err := f.checkTree(p.Class, f.Records.Classes[p.Class].Service, 1, &calls); err != nil {
			return err
		}
	}
	if requests > requestsMax {
		return fmt.Errorf("the phases have %.0f requests; the limit is %d", requests, requestsMax)
	}
	return nil
}

func (f *File) checkTree(class, service string, depth int, calls *int) error {
	*calls++
	if depth > depthMax || *calls > treeCallsMax {
		return fmt.Errorf("the call tree of class %q is deeper than %d or has more than %d calls", class, depthMax, treeCallsMax)
	}
	if f.WorkOf(class, service) == nil {
		return fmt.Errorf("class %q has no Work for service %q", class, service)
	}
	for _, step := range f.StepsOf(class, service) {
		for _, name := range step {
			if err := f.checkTree(class, name, depth+1, calls); err != nil {
				return err
			}
		}
	}
	return nil
}

// StepsOf returns the steps of outgoing calls of a service for a class, nil if
// there are none.
func (f *File) StepsOf(class, service string) [][]string {
	for i := range f.Calls {
		if f.Calls[i].Class == class && f.Calls[i].Service == service {
			return f.Calls[i].Steps
		}
	}
	return nil
}

// WorkOf returns the service time of a service for a class. Without a line for the
// class it returns the line for all classes, and nil if there is none either.
func (f *File) WorkOf(class, service string) *Work {
	var fallback *Work
	for i := range f.Work {
		if w := &f.Work[i]; w.Service == service {
			if w.Class == class {
				return w
			}
			if w.Class == "" {
				fallback = w
			}
		}
	}
	return fallback
}
