package limit

import "github.com/gypsumrail/gypsumrail"

// Settings configures an Adaptive limiter. A value of zero or less selects the
// default.
type Settings struct {
	Ceiling int               // slots, until SetCeiling is called; default 1024
	Initial float64           // initial limit as a share of the ceiling, at most 1; default 1
	Window  gypsumrail.Millis // shortest sample window; default 100 ms
	Samples int               // completions that end a sample window, or 20 after ten times Window; default 250
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
		// With 100, noise reduced the limit of a healthy target in model_test.go.
		s.Samples = 250
	}
	return s
}
