package member

import "github.com/gypsumrail/gypsumrail"

// Contact does nothing: an instance that the platform's list no longer names is
// kept until peers and the own observation say that it is gone.
func (d *Directory) Contact(gypsumrail.Millis, bool) {}

// Expire does nothing: every other method drops what is over.
func (d *Directory) Expire(gypsumrail.Millis) {}
