package spill

import "github.com/gypsumrail/gypsumrail"

// Zone describes what a zone offers for one service at the time of an update.
type Zone struct {
	Usable bool    // it has a usable upstream
	Slots  float64 // limits of all usable upstreams
}

// Report is the load report of an upstream.
type Report struct {
	Calls   int     // running and queued
	Limit   float64 // calls at once
	Refuses bool    // its threshold refuses levels
	Refused bool    // it came with a refusal
}

// State is the state of another zone, for operators.
type State struct {
	Zone        string
	Known       bool
	Utilization float64
	Fraction    float64
}

// zone is what a Balance knows about one zone.
type zone struct {
	name        string
	usable      bool
	known       bool
	refusing    bool
	utilization float64
	slots       float64

	reported    bool
	reportedAt  gypsumrail.Millis
	callsSum    float64 // of the reports, whose weight falls by reportDecay in each update
	limitSum    float64
	refusingSum float64

	fraction float64
	shown    float64 // the fraction that the reports show, which lag as much as their weights do
	left     float64 // calls sent there of late
	refused  float64 // of these
	halvedAt gypsumrail.Millis
}

func (z *zone) calls() float64 { return z.utilization * z.slots }
func (z *zone) short() bool    { return z.known && (z.utilization > shortFrom || z.refusing) }
func (z *zone) full() bool     { return z.utilization >= fullFrom || z.refusing }

func (z *zone) hasSpare() bool {
	return z.known && z.usable && z.utilization < spareBelow && !z.refusing
}

// report adds a report. All reports count, not only the last one of each upstream: an
// upstream that was full at its last report gets no calls for a while, and zones would look
// fuller than they are (0.90 instead of 0.65 in the model).
func (z *zone) report(now gypsumrail.Millis, report Report) {
	if report.Limit <= 0 {
		return
	}
	z.reported, z.reportedAt = true, now
	z.callsSum += min(max(float64(report.Calls), 0), utilizationMax*report.Limit)
	z.limitSum += report.Limit
	if report.Refuses {
		z.refusingSum += report.Limit
	}
}

// observe sets the utilization from the reports.
func (z *zone) observe(now, reportAge gypsumrail.Millis, offered Zone) {
	z.usable, z.slots = offered.Usable, offered.Slots
	z.known = z.reported && now-z.reportedAt < reportAge && z.limitSum > 0
	if !z.known {
		z.forget()
		return
	}
	z.utilization = z.callsSum / z.limitSum
	z.refusing = z.refusingSum >= refusingFrom*z.limitSum
	z.callsSum, z.limitSum, z.refusingSum = z.callsSum*reportDecay, z.limitSum*reportDecay, z.refusingSum*reportDecay
}

// forget drops the reports.
func (z *zone) forget() {
	z.reported, z.known, z.refusing, z.utilization = false, false, false, 0
	z.callsSum, z.limitSum, z.refusingSum = 0, 0, 0
}

// halve halves the fraction, at most once in an Interval: the calls that were sent with the
// fraction before are still under way.
func (z *zone) halve(now gypsumrail.Millis) {
	if z.halvedAt != 0 && now-z.halvedAt < Interval {
		return
	}
	z.halvedAt = now
	z.fraction /= 2
	if z.fraction < fractionMin {
		z.fraction = 0
	}
}
