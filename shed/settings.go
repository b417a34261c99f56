package shed

import "github.com/gypsumrail/gypsumrail"

// Settings of a shedder. A value of zero or less takes the default.
type Settings struct {
	Target gypsumrail.Millis // queue delay above which the threshold rises; default 20 ms
	Life   gypsumrail.Millis // for which a learned threshold counts; default 1 s
}

func (s Settings) withDefaults() Settings {
	if s.Target <= 0 {
		s.Target = 20
	}
	if s.Life <= 0 {
		s.Life = gypsumrail.Second
	}
	return s
}
