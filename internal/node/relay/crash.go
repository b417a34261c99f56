package relay

import (
	"time"
)

// endCheckDelay is the time between the two checks of targetEnded. A process that ends
// closes its sockets one after the other, which takes milliseconds if it has thousands.
const endCheckDelay = 20 * time.Millisecond

// targetEnded reports whether this node's target has ended, which is called after a run
// on it broke: nothing accepts connections at its address. A target that only cut the
// connection of one run still accepts them.
func (r *Relay) targetEnded() bool {
	for attempt := range 2 {
		if attempt > 0 {
			time.Sleep(endCheckDelay)
		}
		conn, err := r.targets.Get(r.settings.Target)
		if err != nil {
			return true
		}
		r.targets.Put(conn, 0)
	}
	return false
}
