package queue

import "github.com/gypsumrail/gypsumrail"

// Settings configures a queue. A value of zero or less selects the default.
type Settings struct {
	Capacity     int               // maximum number of queued calls; default 1024
	TargetDelay  gypsumrail.Millis // standing delay above which the newest call runs first; default 20 ms
	ArrivalOrder bool              // orders calls of one importance by arrival, regardless of invested work
	Window       gypsumrail.Millis // sliding window of the smallest delay; default 100 ms
}

func (s Settings) withDefaults() Settings {
	if s.Capacity <= 0 {
		s.Capacity = 1024
	}
	if s.TargetDelay <= 0 {
		s.TargetDelay = 20
	}
	if s.Window <= 0 {
		s.Window = 100
	}
	return s
}
