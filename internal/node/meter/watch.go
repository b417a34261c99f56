package meter

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/core"
	"github.com/gypsumrail/gypsumrail/internal/node/peer"
)

// part tells apart the time of the steps for calls and for control.
type part string

// The two parts of a node's work. Control is what goes on without calls.
const (
	partCalls   part = "calls"
	partControl part = "control"
)

var parts = [...]part{partCalls, partControl}

func partOf(kind gypsumrail.EventKind) part {
	switch kind {
	case gypsumrail.Tick, gypsumrail.RecordsRead, gypsumrail.InstancesRead, gypsumrail.Exchanged,
		gypsumrail.PeerFailed, gypsumrail.PeerCalled, gypsumrail.DrainAsked:
		return partControl
	}
	return partCalls
}

// Node is the reducer that Watched observes.
type Node interface {
	Step(event *gypsumrail.Event) []gypsumrail.Effect
	Status() core.Status
	Records() *gypsumrail.Records
}

// copyEvery is the time between two copies of the node's figures.
const copyEvery = gypsumrail.Second

// Watched is a reducer whose figures go to a meter. Like the reducer it is not
// safe for concurrent use.
type Watched struct {
	Node
	meter   *Meter
	records *gypsumrail.Records
	adopted map[gypsumrail.ValueName]gypsumrail.Millis
	copied  gypsumrail.Millis
}

// Watch returns the node with its figures going to the meter.
func (m *Meter) Watch(node Node) *Watched {
	return &Watched{
		Node: node, meter: m, copied: -copyEvery,
		adopted: make(map[gypsumrail.ValueName]gypsumrail.Millis, 2),
	}
}

// Step makes a step of the node.
func (w *Watched) Step(event *gypsumrail.Event) []gypsumrail.Effect {
	if event.Exchange != nil {
		w.meter.received.Add(peer.ExchangeSize(*event.Exchange))
	}
	effects := w.Node.Step(event)
	for i := range effects {
		switch e := &effects[i]; e.Kind {
		case gypsumrail.Forward:
			w.meter.allowance.Update(float64(e.Allowance))
		case gypsumrail.SendExchange:
			if e.Exchange != nil {
				w.meter.sent.Add(peer.ExchangeSize(*e.Exchange))
			}
		case gypsumrail.Adopt:
			w.adopted[e.Value.Name] = event.At
		}
	}
	if records := w.Records(); records != w.records {
		w.records = records
		w.meter.SetRecords(records)
	}
	if event.Kind == gypsumrail.Tick && event.At-w.copied >= copyEvery {
		w.copied = event.At
		w.copy(event.At)
	}
	return effects
}

// snapshot is a copy of the node's figures.
type snapshot struct {
	status core.Status
	ages   map[gypsumrail.ValueName]time.Duration
}

func (w *Watched) copy(now gypsumrail.Millis) {
	s := &snapshot{status: w.Status(), ages: make(map[gypsumrail.ValueName]time.Duration, len(w.adopted))}
	for name, at := range w.adopted {
		s.ages[name] = (now - at).Duration()
	}
	w.meter.latest.Store(s)
}

// write writes the figures. There are none before the first tick.
func (s *snapshot) write(w io.Writer) {
	if s == nil {
		return
	}
	st := &s.status
	for _, g := range [...]struct {
		name  string
		value int
	}{
		{"limit", st.Report.Limit}, {"in_flight", st.Report.InFlight}, {"queued", st.Report.Queued},
		{"threshold", int(st.Report.Threshold)}, {"reserved_slots", st.Reserved},
		{"sending", st.Sends}, {"serving", st.Serves}, {"ledger_entries", st.LedgerSize}, {"instances", st.Instances},
		{"reader", zeroOrOne(st.Reader)}, {"draining", zeroOrOne(st.Draining)}, {"defaults_in_use", zeroOrOne(st.Defaults)},
	} {
		metrics.WriteGaugeUint64(w, "gypsumrail_"+g.name, uint64(g.value))
	}
	for _, v := range st.Values {
		metrics.WriteGaugeUint64(w, fmt.Sprintf("gypsumrail_revision{value=%q}", v.Name), uint64(v.Revision))
		if age, ok := s.ages[v.Name]; ok {
			metrics.WriteGaugeFloat64(w, fmt.Sprintf("gypsumrail_revision_age_seconds{value=%q}", v.Name), age.Seconds())
		}
	}
	for _, service := range st.Services[:min(len(st.Services), servicesMax)] {
		usable := 0
		for _, u := range service.Upstreams {
			usable += zeroOrOne(u.Usable)
		}
		metrics.WriteGaugeFloat64(w, fmt.Sprintf("gypsumrail_retry_budget_left{service=%q}", service.Name), service.Budget)
		metrics.WriteGaugeUint64(w, fmt.Sprintf("gypsumrail_upstreams{service=%q,state=\"usable\"}", service.Name), uint64(usable))
		metrics.WriteGaugeUint64(w, fmt.Sprintf("gypsumrail_upstreams{service=%q,state=\"unusable\"}", service.Name), uint64(len(service.Upstreams)-usable))
	}
	writeCounts(w, &st.Counts)
}

func writeCounts(w io.Writer, c *core.Counts) {
	for _, count := range [...]struct {
		name  string
		value uint64
	}{
		{"arrived", c.Arrived}, {"served", c.Served}, {"retries", c.Retries}, {"joined", c.Joined},
		{"shed", c.Shed}, {"evicted", c.Evicted}, {"expired", c.Expired}, {"dropped_events", c.Dropped},
		{"pauses", c.Pauses}, {"resolves", c.Resolves}, {"exchanges", c.Exchanges}, {"silent_connections", c.SilentConns},
	} {
		metrics.WriteCounterUint64(w, "gypsumrail_"+count.name+"_total", count.value)
	}
}

func zeroOrOne(b bool) int {
	if b {
		return 1
	}
	return 0
}
