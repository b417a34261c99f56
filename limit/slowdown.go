package limit

import "github.com/gypsumrail/gypsumrail"

// slowdownTime is how long a stated slowdown counts. A busy target states it in many
// answers a second, so an older one only means that no call of this target has ended since,
// and machines are slow for about this long at a time.
const slowdownTime = 600 * gypsumrail.Millis(1)

// Slowdown is how many times longer than usual work takes on the machine of a target, as
// the target states in its answers. It converts between time and work, which is the time
// that a run takes on a machine as usual. The zero value is a machine as usual. It is not
// safe for concurrent use.
type Slowdown struct {
	factor float64           // of the last statement; 0 if there was none
	until  gypsumrail.Millis // end of the time in which factor counts
	work   float64           // work that one run could do up to workAt, in milliseconds
	workAt gypsumrail.Millis
}

// Set records a stated slowdown. It counts for slowdownTime and is moved into the range
// from gypsumrail.SlowdownMin to gypsumrail.SlowdownMax. One of 0 or less or NaN changes nothing.
func (s *Slowdown) Set(now gypsumrail.Millis, factor float64) {
	if !(factor > 0) {
		return
	}
	s.work, s.workAt = s.Work(now), max(now, s.workAt)
	s.factor, s.until = min(max(factor, gypsumrail.SlowdownMin), gypsumrail.SlowdownMax), now+slowdownTime
}

// At returns the slowdown in force: 1 without a statement that still counts.
func (s *Slowdown) At(now gypsumrail.Millis) float64 {
	if s.factor == 0 || now >= s.until {
		return 1
	}
	return s.factor
}

// Work returns the work that one run could do from an arbitrary point in time to now. The
// difference of two values is the work of a run between them, whatever the slowdown was.
func (s *Slowdown) Work(now gypsumrail.Millis) float64 {
	if s.factor == 0 {
		return float64(now)
	}
	slowed := max(0, min(now, s.until)-s.workAt)
	usual := max(0, now-max(s.until, s.workAt))
	return s.work + float64(slowed)/s.factor + float64(usual)
}

// Stretch returns how long some work takes that begins at a time from now on, if the
// slowdown ends when the last statement no longer counts.
func (s *Slowdown) Stretch(from gypsumrail.Millis, work float64) float64 {
	factor := s.At(from)
	if factor == 1 {
		return work
	}
	left := float64(s.until - from)
	if work*factor <= left {
		return work * factor
	}
	return left + work - left/factor
}
