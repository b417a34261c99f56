package route

import (
	"cmp"
	"slices"

	"github.com/gypsumrail/gypsumrail"
)

const (
	// quietGaps is how many mean times between answers may pass without one before
	// the node of an upstream is asked. At random arrivals three pass in one of
	// twenty cases, which costs one control message.
	quietGaps = 3
	// askEvery is the least time between two questions to the same node. It is not
	// below the time that a control message may take. While the node answers and its
	// target does not, the time doubles up to askMost: all senders ask.
	askEvery = gypsumrail.Second / 2
	askMost  = 8 * gypsumrail.Second
)

// quiet is how long an upstream has given no sign of life while calls were
// outstanding. A cut network or a frozen machine shows up in nothing else:
// connections stay open, and the calls look like slow ones until they time out.
type quiet struct {
	since gypsumrail.Millis // start of the current time with calls and without a sign
	held  gypsumrail.Millis // such time before calls were last outstanding
	asked gypsumrail.Millis // of the last question to its node
	wait  gypsumrail.Millis // until the next one; 0 if there was none
	asks  bool              // its node was asked after the last sign
	lost  bool              // its node gave no answer
}

var _ gypsumrail.Detector = (*Router)(nil)

// begin counts the first of some calls.
func (q *quiet) begin(now gypsumrail.Millis) { q.since = now - q.held }

// end counts the last of some calls, which may have got no answer.
func (q *quiet) end(now gypsumrail.Millis) { q.held = now - q.since }

// answered takes an answer to a call.
func (q *quiet) answered(now gypsumrail.Millis) {
	*q = quiet{since: now, asked: q.asked, wait: min(q.wait, askEvery)}
}

// seen takes a sign of life of the node and reports whether the upstream counted as lost.
func (q *quiet) seen(now gypsumrail.Millis) bool {
	lost, wait := q.lost, q.wait
	if q.asks && !lost {
		wait = min(2*wait, askMost)
	}
	*q = quiet{since: now, asked: q.asked, wait: wait}
	return lost
}

// overdue tells whether more time passed without a sign than is usual for an
// upstream with this many calls.
func (u *upstream) overdue(now, after gypsumrail.Millis) bool {
	if u.outstanding == 0 {
		return false
	}
	gap := u.latencyAt(now) / float64(u.outstanding)
	return now-u.quiet.since > after+gypsumrail.Millis(quietGaps*gap)
}

// Overdue appends the upstreams whose nodes are to be asked now: those whose
// answers are overdue, and those that are lost.
func (r *Router) Overdue(now gypsumrail.Millis, dst []gypsumrail.Instance) []gypsumrail.Instance {
	if r.settings.QuietAfter <= 0 {
		return dst
	}
	now = r.clock(now)
	for _, u := range r.upstreams {
		q := &u.quiet
		if u.listed == 0 || u.Instance.Name == r.self.Name || q.wait > 0 && now-q.asked < q.wait {
			continue
		}
		if q.lost || u.overdue(now, r.settings.QuietAfter) {
			q.asked, q.asks, q.wait = now, true, max(q.wait, askEvery)
			if q.lost {
				q.wait = askEvery
			}
			dst = append(dst, u.Instance)
		}
	}
	slices.SortFunc(dst, func(a, b gypsumrail.Instance) int { return cmp.Compare(a.Name, b.Name) })
	return dst
}

// Seen takes a sign of life of an upstream's node.
func (r *Router) Seen(now gypsumrail.Millis, name string) bool {
	u := r.upstreams[name]
	return u != nil && u.quiet.seen(r.clock(now))
}

// Lost takes a question that the node of an upstream did not answer.
func (r *Router) Lost(now gypsumrail.Millis, name string) bool {
	r.clock(now)
	u := r.upstreams[name]
	if u == nil || !u.quiet.asks || u.quiet.lost {
		return false
	}
	u.quiet.lost = true
	return true
}
