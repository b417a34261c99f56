package route

import (
	"cmp"
	"slices"

	"github.com/gypsumrail/gypsumrail"
)

const (
	// answerGapsMax is the number of mean intervals between answers that may pass
	// without an answer before the node of an upstream is probed. If answers arrive
	// at random, three pass in one of twenty cases, which costs one control message.
	answerGapsMax = 3
	// probeIntervalMin is the shortest time between two probes of the same node. It is
	// not below the time that a control message may take. While the node answers and
	// its target does not, the interval doubles up to probeIntervalMax, because all
	// senders probe the node.
	probeIntervalMin = gypsumrail.Second / 2
	probeIntervalMax = 8 * gypsumrail.Second
)

// detector is the state of the failure detector for one upstream. It measures how
// long neither the upstream nor its node has answered while calls were
// outstanding. Nothing else reveals a network partition or a frozen machine:
// connections stay open, and calls look slow until they time out.
type detector struct {
	silentSince   gypsumrail.Millis // start of the current silence, moved forward by the times without outstanding calls
	silentBefore  gypsumrail.Millis // length of the silence when the last outstanding call ended
	probedAt      gypsumrail.Millis // time of the last probe of the node
	probeInterval gypsumrail.Millis // from probedAt to the next probe; 0 before the first probe
	probePending  bool              // the node was probed after the last answer
	lost          bool              // the node did not answer a probe
}

var _ gypsumrail.Detector = (*Router)(nil)

// firstCallSent resumes the silence when an upstream without outstanding calls
// gets one.
func (d *detector) firstCallSent(now gypsumrail.Millis) { d.silentSince = now - d.silentBefore }

// lastCallEnded suspends the silence when the last outstanding call ends, with or
// without an answer.
func (d *detector) lastCallEnded(now gypsumrail.Millis) { d.silentBefore = now - d.silentSince }

// callAnswered ends the silence after an answer to a call. It clears lost, and
// lowers the probe interval to probeIntervalMin.
func (d *detector) callAnswered(now gypsumrail.Millis) {
	*d = detector{silentSince: now, probedAt: d.probedAt, probeInterval: min(d.probeInterval, probeIntervalMin)}
}

// nodeSeen ends the silence after a message from the node and reports whether the
// upstream was lost. If a probe is pending and the upstream was not lost, the
// probe interval doubles.
func (d *detector) nodeSeen(now gypsumrail.Millis) bool {
	lost, interval := d.lost, d.probeInterval
	if d.probePending && !lost {
		interval = min(2*interval, probeIntervalMax)
	}
	*d = detector{silentSince: now, probedAt: d.probedAt, probeInterval: interval}
	return lost
}

// overdue reports whether the silence is longer than the given time plus
// answerGapsMax mean intervals between answers.
func (u *upstream) overdue(now, after gypsumrail.Millis) bool {
	if u.outstanding == 0 {
		return false
	}
	gap := u.latencyAt(now) / float64(u.outstanding)
	return now-u.detector.silentSince > after+gypsumrail.Millis(answerGapsMax*gap)
}

// DueProbes appends to dst the upstreams whose nodes are to be probed now, ordered
// by name: those whose answers are overdue, and those that are lost.
func (r *Router) DueProbes(now gypsumrail.Millis, dst []gypsumrail.Instance) []gypsumrail.Instance {
	if r.settings.ProbeAfter <= 0 {
		return dst
	}
	now = r.advance(now)
	for _, u := range r.upstreams {
		d := &u.detector
		if u.listedBy == 0 || u.Instance.Name == r.self.Name || d.probeInterval > 0 && now-d.probedAt < d.probeInterval {
			continue
		}
		if d.lost || u.overdue(now, r.settings.ProbeAfter) {
			d.probedAt, d.probePending, d.probeInterval = now, true, max(d.probeInterval, probeIntervalMin)
			if d.lost {
				d.probeInterval = probeIntervalMin
			}
			dst = append(dst, u.Instance)
		}
	}
	slices.SortFunc(dst, func(a, b gypsumrail.Instance) int { return cmp.Compare(a.Name, b.Name) })
	return dst
}

// NodeAnswered records a message from an upstream's node and reports whether the
// upstream was lost.
func (r *Router) NodeAnswered(now gypsumrail.Millis, name string) bool {
	u := r.upstreams[name]
	return u != nil && u.detector.nodeSeen(r.advance(now))
}

// ProbeFailed records that the node of an upstream did not answer a probe. It
// returns false if no probe is pending, the upstream is already lost, or it is
// unknown.
func (r *Router) ProbeFailed(now gypsumrail.Millis, name string) bool {
	r.advance(now)
	u := r.upstreams[name]
	if u == nil || !u.detector.probePending || u.detector.lost {
		return false
	}
	u.detector.lost = true
	return true
}
