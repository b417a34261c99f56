package shed

import "github.com/gypsumrail/gypsumrail"

// Settings configures a shedder. A value of zero or less selects the default.
type Settings struct {
	TargetDelay    gypsumrail.Millis // standing delay above which Threshold raises its threshold; default 20 ms
	ReportLifetime gypsumrail.Millis // how long the reported threshold of another service is used; default 1 s
}

func (s Settings) withDefaults() Settings {
	if s.TargetDelay <= 0 {
		s.TargetDelay = 20
	}
	if s.ReportLifetime <= 0 {
		s.ReportLifetime = gypsumrail.Second
	}
	return s
}
