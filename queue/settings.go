package queue

import "github.com/gypsumrail/gypsumrail"

// Settings of a queue. A value of zero or less takes the default.
type Settings struct {
	Capacity int               // most calls that wait; default 1024
	Target   gypsumrail.Millis // standing delay above which the newest call runs first; default 20 ms
	InTurn   bool              // within one importance calls run in the order of arrival, whatever was invested
	Window   gypsumrail.Millis // span over which the smallest delay is taken; default 100 ms
}

func (s Settings) withDefaults() Settings {
	if s.Capacity <= 0 {
		s.Capacity = 1024
	}
	if s.Target <= 0 {
		s.Target = 20
	}
	if s.Window <= 0 {
		s.Window = 100
	}
	return s
}
