package route

import "github.com/gypsumrail/gypsumrail"

// Sent counts a call sent to an upstream, until Answered or Failed.
func (r *Router) Sent(now gypsumrail.Millis, name string) {
	r.clock(now)
	if u := r.upstreams[name]; u != nil {
		if u.outstanding == 0 {
			u.quiet.begin(r.now)
		}
		u.outstanding++
	}
}

// Answered takes the end of an attempt that got an answer. A negative latency
// stands for an answer without a run, such as a refusal: a fast refusal must not
// make an upstream look fast. The report may be nil.
func (r *Router) Answered(now gypsumrail.Millis, name string, latency gypsumrail.Millis, report *gypsumrail.Report) {
	now = r.clock(now)
	u := r.ended(now, name)
	if u == nil {
		return
	}
	u.quiet.answered(now)
	u.failures, u.ejections = 0, 0
	if u.ejectedUntil != 0 {
		u.ejectedUntil = 0
		u.service.recount = true
	}
	if report != nil && report.Instance == name {
		u.learn(now, report, r.settings.LeavingTime)
	}
	if latency >= 0 {
		sample := max(float64(latency), latencyMin)
		u.latency = average(u.latency, sample)
		u.service.latency = average(u.service.latency, sample)
	}
	r.release(u)
}

// Failed takes the end of an attempt that got no answer. A silent connection, a
// caller that left and a resend that took over say nothing about the upstream.
func (r *Router) Failed(now gypsumrail.Millis, name string, reason gypsumrail.Reason) {
	now = r.clock(now)
	u := r.ended(now, name)
	if u == nil {
		return
	}
	switch reason {
	case gypsumrail.ReasonTargetFailed, gypsumrail.ReasonMisdirected:
		u.quiet.answered(now) // by its node
	}
	switch reason {
	case gypsumrail.ReasonSilent, gypsumrail.ReasonCallerGone, gypsumrail.ReasonSuperseded:
	case gypsumrail.ReasonMisdirected:
		u.gone(now)
	case gypsumrail.ReasonConnect:
		u.unreachable(now)
	default:
		u.fail(now)
	}
	r.release(u)
}

// ended takes one call off the upstream.
func (r *Router) ended(now gypsumrail.Millis, name string) *upstream {
	u := r.upstreams[name]
	if u != nil {
		if u.outstanding == 1 {
			u.quiet.end(now)
		}
		u.outstanding = max(u.outstanding-1, 0)
		u.usedAt = now
	}
	return u
}

// release forgets an upstream that is not listed and has no calls.
func (r *Router) release(u *upstream) {
	if u.listed == 0 && u.outstanding == 0 {
		delete(r.upstreams, u.Instance.Name)
	}
}

// learn takes what an upstream reports of itself. A report with a sequence
// number that is not new is left out, whether it was overtaken by a later one or
// the reporter stands still: what it said last then ages, and the own
// observation remains.
func (u *upstream) learn(now gypsumrail.Millis, report *gypsumrail.Report, leavingTime gypsumrail.Millis) {
	if report.Incarnation < u.Instance.Incarnation {
		return
	}
	if report.Incarnation > u.Instance.Incarnation {
		u.restart(now, report.Incarnation)
	}
	switch {
	case report.Leaving && leavingTime > 0:
		u.ejectedUntil = now + leavingTime
		u.service.recount = true
	case report.Leaving && !u.leaving:
		u.leaving = true // final for this incarnation
		u.service.recount = true
	}
	if u.reported && report.Sequence <= u.sequence {
		return
	}
	u.reported, u.reportedAt, u.sequence = true, now, report.Sequence
	u.limit, u.queued, u.threshold = report.Limit, max(report.Queued, 0), report.Threshold
	// The reported calls include the own ones.
	u.others = max(float64(report.InFlight)+float64(u.queued)-float64(u.outstanding), 0)
}

// restart drops what was learned of an earlier run. Outstanding calls still end
// one by one. A first known incarnation is not a restart.
func (u *upstream) restart(now gypsumrail.Millis, incarnation gypsumrail.Incarnation) {
	known := u.Instance.Incarnation != 0
	u.Instance.Incarnation = incarnation
	if !known {
		return
	}
	u.leaving, u.reported, u.latency = false, false, 0
	u.failures, u.ejections, u.ejectedUntil = 0, 0, 0
	u.chill(now)
	u.service.recount = true
}

// chill begins the slow start of an upstream that started at the given time.
func (u *upstream) chill(started gypsumrail.Millis) {
	u.coldFrom, u.coldUntil = started, started+u.service.coldStart
	u.service.coldUntil = max(u.service.coldUntil, u.coldUntil)
}

func average(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + (sample-old)*latencyShare
}
