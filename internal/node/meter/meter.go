// Package meter keeps the metrics of one node.
//
// Callers choose the names of services, classes and tenants in their requests,
// so a meter that made a time series for each name it saw could be filled up
// from outside. Labels therefore only take names of the records in force;
// everything else counts under "other". The figures that the reducer owns are
// copied once a second between two steps, so that a scrape never waits for a
// step and a step never waits for a scrape.
package meter

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/shell"
)

// seriesMax bounds the series that depend on names of the records. A histogram
// counts as one; it has about 20 lines for a usual spread of latencies. Beyond
// the bound calls count under "other" for all names, which takes at most one
// series for each origin, outcome and reason more.
const seriesMax = 2000

// Meter counts and times what one node does. It is safe for concurrent use.
type Meter struct {
	set        *metrics.Set
	latest     atomic.Pointer[snapshot]
	queueDelay *metrics.Histogram
	allowance  *metrics.Histogram
	steps      map[part]*metrics.FloatCounter
	refused    map[gypsumrail.Reason]*metrics.Counter
	sent       *metrics.Counter
	received   *metrics.Counter

	mu       sync.RWMutex
	names    names
	counters map[callKey]*metrics.Counter
	times    map[timeKey]*metrics.Histogram
}

var _ shell.Meter = (*Meter)(nil)

// callKey is the labels of a count of calls.
type callKey struct {
	origin  gypsumrail.Origin
	service string
	class   string
	outcome gypsumrail.Outcome
	reason  gypsumrail.Reason
}

// timeKey is the labels of a latency: a class or a tenant.
type timeKey struct {
	origin gypsumrail.Origin
	class  string
	tenant string
}

// New returns a meter that knows no names yet.
func New() *Meter {
	set := metrics.NewSet()
	m := &Meter{
		set:        set,
		queueDelay: set.NewHistogram("gypsumrail_queue_delay_seconds"),
		allowance:  set.NewHistogram("gypsumrail_forwarded_allowance"),
		sent:       set.NewCounter(`gypsumrail_exchange_bytes_total{direction="sent"}`),
		received:   set.NewCounter(`gypsumrail_exchange_bytes_total{direction="received"}`),
		refused:    make(map[gypsumrail.Reason]*metrics.Counter, len(reasons)),
		steps:      make(map[part]*metrics.FloatCounter, len(parts)),
		counters:   make(map[callKey]*metrics.Counter),
		times:      make(map[timeKey]*metrics.Histogram),
		names:      namesOf(nil),
	}
	for _, p := range parts {
		m.steps[p] = set.NewFloatCounter(`gypsumrail_step_seconds_total{part="` + string(p) + `"}`)
	}
	for reason := range reasons {
		if reason != gypsumrail.ReasonNone {
			m.refused[reason] = set.NewCounter(`gypsumrail_refusals_total{reason="` + string(reason) + `"}`)
		}
	}
	m.refused[other] = set.NewCounter(`gypsumrail_refusals_total{reason="` + other + `"}`)
	set.RegisterMetricsWriter(func(w io.Writer) { m.latest.Load().write(w) })
	return m
}

// ServeHTTP writes all metrics in the text format of Prometheus, with those of
// the process and of the Go runtime.
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// Ended takes a call that got its answer or was refused.
func (m *Meter) Ended(end shell.End) {
	m.mu.RLock()
	call := m.names.call(end)
	class, tenant := timeKey{origin: call.origin, class: call.class}, timeKey{tenant: m.names.tenant(end.Tenant)}
	counter, classTime, tenantTime := m.counters[call], m.times[class], m.times[tenant]
	m.mu.RUnlock()
	if counter == nil {
		counter = m.counter(call)
	}
	counter.Inc()
	if end.Reason != gypsumrail.ReasonNone {
		m.refused[call.reason].Inc()
		return // a refusal is quick and would hide how long answers take
	}
	if classTime == nil {
		classTime = m.histogram(class)
	}
	classTime.Update(end.Took.Seconds())
	if end.Origin != gypsumrail.FromCaller {
		return
	}
	if tenantTime == nil {
		tenantTime = m.histogram(tenant)
	}
	tenantTime.Update(end.Took.Seconds())
}

// Stepped takes the time of one step of the reducer with its effects.
func (m *Meter) Stepped(kind gypsumrail.EventKind, took time.Duration) {
	m.steps[partOf(kind)].Add(took.Seconds())
}

// counter makes the series of a key, or returns the one of "other" if there are too many.
func (m *Meter) counter(key callKey) *metrics.Counter {
	m.mu.Lock()
	defer m.mu.Unlock()
	key = m.names.again(key)
	if m.counters[key] == nil {
		if len(m.counters)+len(m.times) >= seriesMax {
			key.service, key.class = other, other
		}
		m.counters[key] = m.set.GetOrCreateCounter(key.series())
	}
	return m.counters[key]
}

// histogram is counter for a latency.
func (m *Meter) histogram(key timeKey) *metrics.Histogram {
	m.mu.Lock()
	defer m.mu.Unlock()
	key = m.names.againTime(key)
	if m.times[key] == nil {
		if len(m.counters)+len(m.times) >= seriesMax {
			key = key.other()
		}
		m.times[key] = m.set.GetOrCreateHistogram(key.series())
	}
	return m.times[key]
}

// SetRecords puts the names of a revision in force as label values and removes
// the series of names that it no longer has.
func (m *Meter) SetRecords(records *gypsumrail.Records) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.names = namesOf(records)
	for key := range m.counters {
		if m.names.again(key) != key {
			m.set.UnregisterMetric(key.series())
			delete(m.counters, key)
		}
	}
	for key := range m.times {
		if m.names.againTime(key) != key {
			m.set.UnregisterMetric(key.series())
			delete(m.times, key)
		}
	}
}

// Refusals returns how many calls ended without an answer of a target, by
// reason, since the start.
func (m *Meter) Refusals() map[gypsumrail.Reason]uint64 {
	counts := make(map[gypsumrail.Reason]uint64)
	for reason, counter := range m.refused {
		if n := counter.Get(); n > 0 {
			counts[reason] = n
		}
	}
	return counts
}
