// Package meter keeps the metrics of one node.
//
// Callers choose the names of services, classes and accounts in their requests.
// With one time series for each name, a caller could exhaust the memory of the
// node. Label values are therefore limited to the names in the records in force;
// all other names are counted under "other". The reducer's own figures are
// copied once a second between two steps, so that scrapes and steps never wait
// for each other.
package meter

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/form"
	"github.com/gypsumrail/gypsumrail/internal/node/shell"
)

// seriesMax bounds the series whose labels hold names of the records. A histogram
// counts as one series; with usual latencies it writes about 20 lines. Beyond the
// bound all names of a call are replaced by "other", which adds at most one series
// for each origin, outcome and reason.
const seriesMax = 2000

// Meter holds the counters, gauges and histograms of one node. It is safe for
// concurrent use.
type Meter struct {
	set                *metrics.Set
	latestSnapshot     atomic.Pointer[snapshot]
	queueDelay         *metrics.Histogram
	forwardedAllowance *metrics.Histogram
	stepSeconds        map[part]*metrics.FloatCounter
	refusals           map[gypsumrail.Reason]*metrics.Counter
	sentBytes          *metrics.Counter
	receivedBytes      *metrics.Counter

	mu          sync.RWMutex
	labelValues labelValues
	counters    map[callKey]*metrics.Counter
	accounts    map[accountKey]*metrics.Counter
	latencies   map[latencyKey]*metrics.Histogram
}

var _ shell.Meter = (*Meter)(nil)

// callKey holds the labels of a counter of calls.
type callKey struct {
	origin  gypsumrail.Origin
	service string
	class   string
	outcome gypsumrail.Outcome
	reason  gypsumrail.Reason
}

// accountKey holds the labels of a counter of the requests of an account. There are at
// most accountsMax+2 accounts with 4 outcomes each, so that it needs no bound of its own.
type accountKey struct {
	account string
	outcome gypsumrail.Outcome
}

// latencyKey holds the labels of a latency histogram: an origin and a class, or
// only an account.
type latencyKey struct {
	origin  gypsumrail.Origin
	class   string
	account string
}

// New returns a meter that counts all names under "other" until SetRecords is
// called.
func New() *Meter {
	set := metrics.NewSet()
	m := &Meter{
		set:                set,
		queueDelay:         set.NewHistogram("gypsumrail_queue_delay_seconds"),
		forwardedAllowance: set.NewHistogram("gypsumrail_forwarded_allowance"),
		sentBytes:          set.NewCounter(`gypsumrail_exchange_bytes_total{direction="sent"}`),
		receivedBytes:      set.NewCounter(`gypsumrail_exchange_bytes_total{direction="received"}`),
		refusals:           make(map[gypsumrail.Reason]*metrics.Counter, len(reasons)),
		stepSeconds:        make(map[part]*metrics.FloatCounter, len(parts)),
		counters:           make(map[callKey]*metrics.Counter),
		accounts:           make(map[accountKey]*metrics.Counter),
		latencies:          make(map[latencyKey]*metrics.Histogram),
		labelValues:        newLabelValues(nil),
	}
	for _, p := range parts {
		m.stepSeconds[p] = set.NewFloatCounter(`gypsumrail_step_seconds_total{part="` + string(p) + `"}`)
	}
	for reason := range reasons {
		if reason != gypsumrail.ReasonNone {
			m.refusals[reason] = set.NewCounter(`gypsumrail_refusals_total{reason="` + string(reason) + `"}`)
		}
	}
	m.refusals[other] = set.NewCounter(`gypsumrail_refusals_total{reason="` + other + `"}`)
	set.RegisterMetricsWriter(func(w io.Writer) { m.latestSnapshot.Load().write(w) })
	return m
}

// ServeHTTP writes all metrics of the node, the process and the Go runtime in
// the Prometheus text format.
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// RecordCall counts a call that was answered or refused, and a call of an external
// caller also by its account. It records the latency of an answered call.
func (m *Meter) RecordCall(end shell.End) {
	m.mu.RLock()
	call := m.labelValues.call(end)
	class, account := latencyKey{origin: call.origin, class: call.class}, latencyKey{account: m.labelValues.account(end.Account)}
	counter, classLatency, accountLatency := m.counters[call], m.latencies[class], m.latencies[account]
	requests := accountKey{account.account, call.outcome}
	accountCounter := m.accounts[requests]
	m.mu.RUnlock()
	if end.Origin == gypsumrail.FromCaller {
		if accountCounter == nil {
			accountCounter = m.accountCounter(requests)
		}
		accountCounter.Inc()
	}
	if counter == nil {
		counter = m.counter(call)
	}
	counter.Inc()
	if end.Reason != gypsumrail.ReasonNone {
		m.refusals[call.reason].Inc()
		return // refusals are fast and would distort the latency of answers
	}
	if classLatency == nil {
		classLatency = m.histogram(class)
	}
	classLatency.Update(end.Duration.Seconds())
	if end.Origin != gypsumrail.FromCaller {
		return
	}
	if accountLatency == nil {
		accountLatency = m.histogram(account)
	}
	accountLatency.Update(end.Duration.Seconds())
}

// RecordStep adds the duration of one step of the reducer, including its effects.
func (m *Meter) RecordStep(kind gypsumrail.EventKind, took time.Duration) {
	m.stepSeconds[partOf(kind)].Add(took.Seconds())
}

// RecordFault counts an answer that was refused for its form.
func (m *Meter) RecordFault(hop shell.Hop, fault form.Fault) {
	m.set.GetOrCreateCounter(fmt.Sprintf("gypsumrail_malformed_answers_total{hop=%q,fault=%q}", string(hop), string(fault))).Inc()
}

// counter returns the counter of a key and creates it if needed. At seriesMax it
// returns the counter whose service and class are "other".
func (m *Meter) counter(key callKey) *metrics.Counter {
	m.mu.Lock()
	defer m.mu.Unlock()
	key = m.labelValues.restrictCall(key)
	if m.counters[key] == nil {
		if len(m.counters)+len(m.latencies) >= seriesMax {
			key.service, key.class = other, other
		}
		m.counters[key] = m.set.GetOrCreateCounter(key.series())
	}
	return m.counters[key]
}

// accountCounter returns the counter of a key and creates it if needed.
func (m *Meter) accountCounter(key accountKey) *metrics.Counter {
	m.mu.Lock()
	defer m.mu.Unlock()
	key = m.labelValues.restrictAccount(key)
	if m.accounts[key] == nil {
		m.accounts[key] = m.set.GetOrCreateCounter(key.series())
	}
	return m.accounts[key]
}

// histogram returns the histogram of a key and creates it if needed. At seriesMax
// it returns the histogram whose class or account is "other".
func (m *Meter) histogram(key latencyKey) *metrics.Histogram {
	m.mu.Lock()
	defer m.mu.Unlock()
	key = m.labelValues.restrictLatency(key)
	if m.latencies[key] == nil {
		if len(m.counters)+len(m.latencies) >= seriesMax {
			key = key.other()
		}
		m.latencies[key] = m.set.GetOrCreateHistogram(key.series())
	}
	return m.latencies[key]
}

// SetRecords allows the names in the records as label values and removes the
// series of names that the records no longer hold.
func (m *Meter) SetRecords(records *gypsumrail.Records) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.labelValues = newLabelValues(records)
	for key := range m.counters {
		if m.labelValues.restrictCall(key) != key {
			m.set.UnregisterMetric(key.series())
			delete(m.counters, key)
		}
	}
	for key := range m.accounts {
		if m.labelValues.restrictAccount(key) != key {
			m.set.UnregisterMetric(key.series())
			delete(m.accounts, key)
		}
	}
	for key := range m.latencies {
		if m.labelValues.restrictLatency(key) != key {
			m.set.UnregisterMetric(key.series())
			delete(m.latencies, key)
		}
	}
}

// Refusals returns the number of calls since the start that ended without an
// answer of a target, by reason.
func (m *Meter) Refusals() map[gypsumrail.Reason]uint64 {
	counts := make(map[gypsumrail.Reason]uint64)
	for reason, counter := range m.refusals {
		if n := counter.Get(); n > 0 {
			counts[reason] = n
		}
	}
	return counts
}
