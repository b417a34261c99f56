package limit

import "github.com/gypsumrail/gypsumrail"

// Settings of an adaptive limit. A value of zero or less takes the default.
type Settings struct {
	Ceiling int               // until SetCeiling is called; default 1024
	Initial float64           // share of the ceiling with which a target starts; default 1, which is also the most
	Window  gypsumrail.Millis // least span of one measurement; default 100 ms
	Samples int               // completions that a measurement needs before ten windows are over; default 250
}

func (s Settings) withDefaults() Settings {
	if s.Ceiling <= 0 {
		s.Ceiling = 1024
	}
	if s.Initial <= 0 || s.Initial > 1 {
		s.Initial = 1
	}
	if s.Window <= 0 {
		s.Window = 100
	}
	if s.Samples <= 0 {
		// With 100, noise cut the limit of a healthy target in the model.
		s.Samples = 250
	}
	return s
}
