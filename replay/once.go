package replay

import "github.com/gypsumrail/gypsumrail"

// once accepts each value once.
type once struct{}

func (once) Current(gypsumrail.ValueName) (version gypsumrail.ValueVersion) { return }
func (once) Versions() []gypsumrail.ValueVersion                            { return nil }
func (once) Wants(gypsumrail.Millis, gypsumrail.ValueVersion, bool) bool    { return false }
func (once) Adopt(gypsumrail.Millis, gypsumrail.ValueVersion, bool) bool    { return true }
func (once) Missing(gypsumrail.Millis) bool                                 { return false }
