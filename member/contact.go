package member

import "github.com/gypsumrail/gypsumrail"

// Contact does nothing: an instance that the platform's list no longer names is
// kept until peers and the own observation say that it is gone.
func (d *Directory) Contact(gypsumrail.Millis, bool) {}

// Expire moves the clock, which every other method does as well.
func (d *Directory) Expire(now gypsumrail.Millis) { d.advance(now) }
