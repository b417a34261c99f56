package core

import (
	"strconv"

	"github.com/gypsumrail/gypsumrail"
)

// isForeign reports whether a client's request comes from another availability zone: the
// shell knows that, or the directory has the sender.
func (n *Node) isForeign(arrival *gypsumrail.Arrival) bool {
	if n.settings.ForeignShare <= 0 || arrival.Hop > 0 {
		return false
	}
	if arrival.Foreign || arrival.From == "" {
		return arrival.Foreign
	}
	sender, known := n.parts.Directory.Lookup(arrival.From)
	return known && sender.Zone != n.self.Zone
}

// refusesForeign reports whether so many slots are taken that requests from other zones are
// refused.
func (n *Node) refusesForeign() bool {
	taken := n.running + n.parts.Queue.Len()
	return float64(taken) >= n.settings.ForeignShare*float64(n.parts.Limiter.Limit())
}

// recordTransfer counts bytes of a call to or from an upstream.
func (n *Node) recordTransfer(upstream string, bytes int) {
	if n.balancer != nil {
		n.balancer.Transferred(upstream, bytes)
	}
}

// recordZone records what the answer of an upstream says about its zone: the size of the
// response, or that the zone has no capacity for the call.
func (n *Node) recordZone(s *senderCall, upstream string, result *gypsumrail.Result) {
	if n.balancer == nil {
		return
	}
	switch {
	case result.Outcome == gypsumrail.Ran && result.Reason == gypsumrail.ReasonNone:
		n.sizes.Record(s.class.Name, s.bytes, result.Bytes)
		n.balancer.Transferred(upstream, result.Bytes)
	case result.Outcome == gypsumrail.NotRun && isOverloadReason(result.Reason):
		s.home = n.balancer.RefusedAbroad(n.now, upstream) || s.home
	}
}

// refusedAbroad reports whether the last attempt of a call was its only one in another zone.
func (n *Node) refusedAbroad(s *senderCall) bool {
	abroad := 0
	for i := range s.attempts {
		if s.attempts[i].upstream.Zone != n.self.Zone {
			abroad++
		}
	}
	return abroad == 1 && s.attempts[len(s.attempts)-1].upstream.Zone != n.self.Zone
}

// reportZones logs the services that began or stopped leaving the own zone.
func (n *Node) reportZones() {
	if n.balancer == nil {
		return
	}
	n.zoneChanges = n.balancer.ZoneChanges(n.now, n.zoneChanges[:0])
	for _, change := range n.zoneChanges {
		notice := gypsumrail.NoticeZoneKept
		if change.Leaves {
			notice = gypsumrail.NoticeZoneLeft
		}
		n.emit(gypsumrail.Effect{
			Kind: gypsumrail.Log, Notice: notice, Subject: change.Service,
			Detail: "Utilization=" + strconv.FormatFloat(change.Utilization, 'f', 2, 64) + " Fraction=" + strconv.FormatFloat(change.Fraction, 'f', 3, 64),
		})
	}
}

func (n *Node) zoneLoads(service string) []gypsumrail.ZoneLoad {
	if n.balancer == nil {
		return nil
	}
	return n.balancer.ZoneLoads(service)
}
