package route

import "github.com/gypsumrail/gypsumrail"

// Sent counts an attempt as outstanding until Answered or Failed is called for it.
func (r *Router) Sent(now gypsumrail.Millis, name string) {
	r.advance(now)
	if u := r.upstreams[name]; u != nil {
		if u.outstanding == 0 {
			u.detector.firstCallSent(r.latest)
		}
		u.outstanding++
		u.countSent()
	}
}

// Answered records the end of an attempt that was answered. A negative latency
// stands for an answer without a run, such as a rejection, and is not averaged: a
// fast rejection must not make an upstream look fast. The report may be nil.
func (r *Router) Answered(now gypsumrail.Millis, name string, latency gypsumrail.Millis, report *gypsumrail.Report) {
	now = r.advance(now)
	u := r.endCall(now, name)
	if u == nil {
		return
	}
	u.detector.callAnswered(now)
	u.failures, u.ejections = 0, 0
	if u.ejectedUntil != 0 {
		u.ejectedUntil = 0
		u.service.recountEjected = true
	}
	if report != nil && report.Instance == name && u.applyReport(now, report, r.settings.LeavingTime) {
		u.reportLoad(now, report.InFlight, latency < 0)
	}
	if latency >= 0 {
		sample := float64(latency)
		if report != nil && report.Instance == name && report.Slowdown > 0 {
			sample /= boundedSlowdown(report.Slowdown)
		}
		sample = max(sample, latencyMin)
		u.latency = ewma(u.latency, sample)
		u.service.latency = ewma(u.service.latency, sample)
	}
	r.removeIfUnused(u)
}

// Failed records the end of an attempt that was not answered. A silent connection,
// a caller that left and a resend that superseded the attempt say nothing about the
// upstream, so they do not count as its failures.
func (r *Router) Failed(now gypsumrail.Millis, name string, reason gypsumrail.Reason) {
	now = r.advance(now)
	u := r.endCall(now, name)
	if u == nil {
		return
	}
	switch reason {
	case gypsumrail.ReasonTargetFailed, gypsumrail.ReasonMisdirected:
		u.detector.callAnswered(now) // the upstream's node answered
	}
	switch reason {
	case gypsumrail.ReasonSilent, gypsumrail.ReasonCallerGone, gypsumrail.ReasonSuperseded:
	case gypsumrail.ReasonMisdirected:
		u.ejectMisdirected(now)
	case gypsumrail.ReasonConnect, gypsumrail.ReasonCrashed:
		u.ejectUnreachable(now)
	default:
		u.countFailure(now, reason == gypsumrail.ReasonTargetFailed)
	}
	r.removeIfUnused(u)
}

// endCall removes one outstanding call. It returns nil if the upstream is unknown.
func (r *Router) endCall(now gypsumrail.Millis, name string) *upstream {
	u := r.upstreams[name]
	if u != nil {
		if u.outstanding == 1 {
			u.detector.lastCallEnded(now)
		}
		u.outstanding = max(u.outstanding-1, 0)
		u.lastEndAt = now
	}
	return u
}

// removeIfUnused deletes an upstream that is not listed and has no outstanding calls.
func (r *Router) removeIfUnused(u *upstream) {
	if u.listedBy == 0 && u.outstanding == 0 {
		delete(r.upstreams, u.Instance.Name)
	}
}

// applyReport records the load report of an upstream. It ignores the load in a
// report whose sequence number is not higher than the last one: either a later
// report overtook it, or the reporter hangs. In the second case the last load
// ages, and only the sender's own observations remain. Once it has aged, a lower
// sequence number is that of a node that restarted beside the same target. It reports whether
// it recorded the load.
func (u *upstream) applyReport(now gypsumrail.Millis, report *gypsumrail.Report, leavingTime gypsumrail.Millis) bool {
	if report.Incarnation < u.Instance.Incarnation {
		return false
	}
	if report.Incarnation > u.Instance.Incarnation {
		u.restart(now, report.Incarnation)
	}
	switch {
	case report.Leaving && leavingTime > 0:
		u.ejectedUntil, u.unreachable = now+leavingTime, false
		u.service.recountEjected = true
	case report.Leaving && !u.leaving:
		u.leaving = true // final for this incarnation
		u.service.recountEjected = true
	}
	if u.reported && (report.Sequence == u.sequence || report.Sequence < u.sequence && now-u.reportedAt < reportMaxAge) {
		return false
	}
	u.reported, u.reportedAt, u.sequence = true, now, report.Sequence
	u.limit, u.queued, u.threshold = report.Limit, max(report.Queued, 0), report.Threshold
	u.rateLimit = report.RateLimit
	u.faultShare, u.faultAt = report.FaultShare, now
	u.slowdown = 0
	if report.Slowdown > 0 {
		u.slowdown = boundedSlowdown(report.Slowdown)
	}
	// The reported calls include this sender's own.
	u.others = max(float64(report.InFlight)+float64(u.queued)-float64(u.outstanding), 0)
	return true
}

// RateLimit returns the rate limit that an upstream reported of late, in calls a second,
// or 0.
func (r *Router) RateLimit(now gypsumrail.Millis, name string) float64 {
	if u := r.upstreams[name]; u != nil {
		return u.rateLimitAt(r.advance(now))
	}
	return 0
}

// restart records a later incarnation and resets the statistics of the earlier
// run. Outstanding calls of that run stay counted until they end. The first known
// incarnation is not a restart.
func (u *upstream) restart(now gypsumrail.Millis, incarnation gypsumrail.Incarnation) {
	known := u.Instance.Incarnation != 0
	u.Instance.Incarnation = incarnation
	if !known {
		return
	}
	u.leaving, u.reported, u.latency, u.faultShare = false, false, 0, 0
	u.failures, u.ejections, u.ejectedUntil = 0, 0, 0
	u.beginSlowStart(now)
	u.service.recountEjected = true
}

// beginSlowStart sets the slow start of an upstream that started at the given time.
func (u *upstream) beginSlowStart(started gypsumrail.Millis) {
	u.coldFrom, u.coldUntil = started, started+u.service.coldStart
	u.service.coldUntil = max(u.service.coldUntil, u.coldUntil)
}

// ewma adds a sample to an exponentially weighted moving average. An average of 0
// is empty.
func ewma(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + (sample-old)*latencyWeight
}

// boundedSlowdown moves a reported slowdown into the range of those that targets state.
func boundedSlowdown(slowdown float64) float64 {
	return min(max(slowdown, gypsumrail.SlowdownMin), gypsumrail.SlowdownMax)
}
