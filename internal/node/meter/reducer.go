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

// part is the kind of work that the time of a step is counted under.
type part string

// Control is the work that a node also does while it has no calls.
const (
	partCalls   part = "calls"
	partControl part = "control"
)

var parts = [...]part{partCalls, partControl}

func partOf(kind gypsumrail.EventKind) part {
	switch kind {
	case gypsumrail.Tick, gypsumrail.RecordsRead, gypsumrail.RecordsConfirmed, gypsumrail.InstancesRead, gypsumrail.Exchanged,
		gypsumrail.PeerFailed, gypsumrail.PeerCalled, gypsumrail.DrainAsked, gypsumrail.ReleaseAsked,
		gypsumrail.GrantAsked, gypsumrail.GrantReplied:
		return partControl
	}
	return partCalls
}

// Node is the reducer that MeasuredNode wraps.
type Node interface {
	Step(event *gypsumrail.Event) []gypsumrail.Effect
	Status() core.Status
	Records() *gypsumrail.Records
}

// copyInterval is the time between two snapshots of the node's status.
const copyInterval = gypsumrail.Second

// MeasuredNode wraps a reducer and records in a meter its exchanges with peers, the
// allowances that it forwards and its status. Like the reducer it is not safe for
// concurrent use.
type MeasuredNode struct {
	Node
	meter     *Meter
	records   *gypsumrail.Records
	adoptedAt map[gypsumrail.ValueName]gypsumrail.Millis
	copiedAt  gypsumrail.Millis
}

// MeasureNode wraps a reducer so that its figures are recorded in the meter.
func (m *Meter) MeasureNode(node Node) *MeasuredNode {
	return &MeasuredNode{
		Node: node, meter: m, copiedAt: -copyInterval,
		adoptedAt: make(map[gypsumrail.ValueName]gypsumrail.Millis, 2),
	}
}

// Step runs one step of the reducer and records its figures. At most once a second
// it copies the status for scrapes.
func (n *MeasuredNode) Step(event *gypsumrail.Event) []gypsumrail.Effect {
	if event.Exchange != nil {
		n.meter.receivedBytes.Add(peer.ExchangeSize(*event.Exchange))
	}
	n.countGrantBytes(event)
	effects := n.Node.Step(event)
	for i := range effects {
		switch e := &effects[i]; e.Kind {
		case gypsumrail.Forward:
			n.meter.forwardedAllowance.Update(float64(e.Allowance))
		case gypsumrail.SendExchange:
			if e.Exchange != nil {
				n.meter.sentBytes.Add(peer.ExchangeSize(*e.Exchange))
			}
		case gypsumrail.AskGrant:
			n.meter.sentBytes.Add(peer.GrantAskSize(*e.Ask))
		case gypsumrail.ReplyGrant:
			n.meter.sentBytes.Add(peer.GrantReplySize(*e.Granted))
		case gypsumrail.Adopt:
			n.adoptedAt[e.Value.Name] = event.At
		}
	}
	if records := n.Records(); records != n.records {
		n.records = records
		n.meter.SetRecords(records)
	}
	if event.Kind == gypsumrail.Tick && event.At-n.copiedAt >= copyInterval {
		n.copiedAt = event.At
		n.storeSnapshot(event.At)
	}
	return effects
}

// countGrantBytes counts the bytes of a message between a node and a broker.
func (n *MeasuredNode) countGrantBytes(event *gypsumrail.Event) {
	if event.Ask != nil {
		n.meter.receivedBytes.Add(peer.GrantAskSize(*event.Ask))
	}
	if event.Granted != nil && event.Granted.Incarnation != 0 {
		n.meter.receivedBytes.Add(peer.GrantReplySize(*event.Granted))
	}
}

// snapshot is a copy of the node's status that scrapes read.
type snapshot struct {
	status core.Status
	ages   map[gypsumrail.ValueName]time.Duration // time since each value was adopted
}

func (n *MeasuredNode) storeSnapshot(now gypsumrail.Millis) {
	s := &snapshot{status: n.Status(), ages: make(map[gypsumrail.ValueName]time.Duration, len(n.adoptedAt))}
	for name, at := range n.adoptedAt {
		s.ages[name] = (now - at).Duration()
	}
	n.meter.latestSnapshot.Store(s)
}

// write writes the status as metrics. A nil snapshot, as before the first tick,
// writes nothing.
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
	metrics.WriteGaugeFloat64(w, "gypsumrail_rate_limit", st.RateLimit)
	if st.RecordsAge != nil {
		metrics.WriteGaugeFloat64(w, "gypsumrail_records_confirmed_age_seconds", st.RecordsAge.Duration().Seconds())
	}
	metrics.WriteGaugeFloat64(w, "gypsumrail_grant_shares", st.Grants.Shares)
	metrics.WriteGaugeUint64(w, "gypsumrail_grant_delegations", uint64(st.Grants.Delegated))
	metrics.WriteGaugeUint64(w, "gypsumrail_grant_waiting", uint64(st.Grants.Waiting))
	slowdown := 1.0
	if st.Load != nil {
		slowdown = st.Load.Slowdown
	}
	metrics.WriteGaugeFloat64(w, "gypsumrail_slowdown", slowdown)
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
		writeZones(w, &service)
	}
	writeCounts(w, &st.Counts)
	writeGrantCounts(w, &st.Grants)
}

// writeZones writes the state of the other zones of a service, of which a router bounds the
// number.
func writeZones(w io.Writer, service *core.ServiceStatus) {
	for _, z := range service.Zones {
		labels := fmt.Sprintf("{service=%q,zone=%q}", service.Name, z.Zone)
		metrics.WriteGaugeFloat64(w, "gypsumrail_zone_fraction"+labels, z.Fraction)
		metrics.WriteCounterUint64(w, "gypsumrail_zone_calls_total"+labels, z.Calls)
		metrics.WriteCounterUint64(w, "gypsumrail_zone_bytes_total"+labels, z.Bytes)
		if z.Known {
			metrics.WriteGaugeFloat64(w, "gypsumrail_zone_utilization"+labels, z.Utilization)
		}
	}
}

func writeCounts(w io.Writer, c *core.Counts) {
	for _, count := range [...]struct {
		name  string
		value uint64
	}{
		{"arrived", c.Arrived}, {"served", c.Served}, {"retries", c.Retries}, {"joined", c.Joined},
		{"shed", c.Shed}, {"evicted", c.Evicted}, {"expired", c.Expired}, {"dropped_events", c.Dropped},
		{"pauses", c.Pauses}, {"resolves", c.Resolves}, {"exchanges", c.Exchanges}, {"silent_connections", c.SilentConns},
		{"target_crashes", c.Crashes}, {"quarantines", c.Quarantines}, {"over_limit", c.OverLimit}, {"no_grant", c.NoGrant},
	} {
		metrics.WriteCounterUint64(w, "gypsumrail_"+count.name+"_total", count.value)
	}
}

func writeGrantCounts(w io.Writer, g *gypsumrail.GrantStatus) {
	for _, count := range [...]struct {
		name  string
		value uint64
	}{
		{"asked", g.Asked}, {"unreplied", g.Unreplied}, {"answered", g.Answered},
		{"tokens_granted", g.Granted}, {"tokens_taken", g.Taken}, {"tokens_expired", g.Expired},
	} {
		metrics.WriteCounterUint64(w, "gypsumrail_grant_"+count.name+"_total", count.value)
	}
}

func zeroOrOne(b bool) int {
	if b {
		return 1
	}
	return 0
}
