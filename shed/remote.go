package shed

import "github.com/gypsumrail/gypsumrail"

// remoteThresholds stores the thresholds of other services. It implements the
// sender role of a shedder.
type remoteThresholds struct {
	known serviceTable
}

// RecordThreshold records the threshold that one upstream of a service reported
// in an answer.
func (r *remoteThresholds) RecordThreshold(now gypsumrail.Millis, service, upstream string, threshold gypsumrail.Level) {
	r.known.record(now, service, upstream, threshold)
}

// RecordHint records a hint about a service further down the call graph. It ignores
// a hint that is older than the stored one or than Settings.ReportLifetime.
func (r *remoteThresholds) RecordHint(now gypsumrail.Millis, hint gypsumrail.Hint) {
	r.known.recordHint(now, hint)
}

// Refuses returns the first of the services whose threshold is above the level.
// Services without a known threshold admit every level.
func (r *remoteThresholds) Refuses(now gypsumrail.Millis, level gypsumrail.Level, services []string) (string, bool) {
	for _, service := range services {
		if known, found := r.known.threshold(now, service); found && level < known.level {
			return service, true
		}
	}
	return "", false
}

// Hints appends at most limit services with a threshold above zero to dst, the
// highest threshold first.
func (r *remoteThresholds) Hints(now gypsumrail.Millis, limit int, dst []gypsumrail.Hint) []gypsumrail.Hint {
	return r.known.hints(now, limit, dst)
}
