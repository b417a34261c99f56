package core

import "github.com/gypsumrail/gypsumrail"

// confirmation is what the store has confirmed about the records in force.
type confirmation struct {
	at    gypsumrail.Millis // a read sent at this time showed no newer records; negative if it was before the node's start
	known bool              // there was such a read
	stale bool              // requests were refused since the last confirmation
}

// recordsConfirmed records that a read of the store showed no newer records than those in
// force. Events may come late or out of order; the latest time counts.
func (n *Node) recordsConfirmed(event *gypsumrail.Event) {
	if n.records == nil {
		return // what a peer sends later could be older than what the read showed
	}
	c := &n.confirmation
	if at := min(event.Confirmed, n.now); !c.known || at > c.at {
		c.at, c.known = at, true
	}
	if c.stale && !n.recordsTooOld() {
		c.stale = false
		n.notice(gypsumrail.NoticeRecordsFresh, n.self.Name, gypsumrail.ReasonNone)
	}
}

// recordsTooOld reports whether the records in force may still hold a key that was revoked
// too long ago.
func (n *Node) recordsTooOld() bool {
	limit := n.settings.RecordsAgeMax
	return limit > 0 && (!n.confirmation.known || n.now-n.confirmation.at > limit)
}

// mayBeRevoked reports whether a request of a client has a key that may have been revoked
// too long ago. Calls of targets belong to a request that was admitted.
func (n *Node) mayBeRevoked(s *senderCall) bool {
	if s.origin != gypsumrail.FromCaller || s.account == "" || !n.recordsTooOld() {
		return false
	}
	if !n.confirmation.stale {
		n.confirmation.stale = true
		n.notice(gypsumrail.NoticeRecordsStale, n.self.Name, gypsumrail.ReasonStaleRecords)
	}
	return true
}

// importanceOf returns the importance of a user request: that of its account if it has one,
// else that of its class.
func (n *Node) importanceOf(class *gypsumrail.Class, account string) gypsumrail.Importance {
	if n.records != nil && account != "" {
		if a := n.records.Accounts[account]; a != nil && a.HasImportance {
			return a.Importance
		}
	}
	return class.Importance
}

// recordsAge returns the time since the store confirmed the records in force, or nil if it
// has not.
func (n *Node) recordsAge() *gypsumrail.Millis {
	if !n.confirmation.known {
		return nil
	}
	age := n.now - n.confirmation.at
	return &age
}
