package core

import (
	"slices"
	"strconv"

	"github.com/gypsumrail/gypsumrail"
)

// recordsRead puts a valid revision of the records in force.
func (n *Node) recordsRead(event *gypsumrail.Event) {
	if event.Records == nil || !n.adopt(event) {
		return
	}
	n.adopted(event, "")
	n.records = event.Records
	n.dropSplits()
	n.dropUses()
	n.setUpstreams()
}

// instancesRead merges the platform's list of instances.
func (n *Node) instancesRead(event *gypsumrail.Event) {
	if n.adopt(event) {
		n.adopted(event, n.listed.changes(event.Instances))
		n.listed = listOf(event.Instances)
		n.parts.Directory.MergeList(n.now, event.Instances)
		n.setUpstreams()
	}
}

// platformContact takes whether the platform can be read. While it cannot, the
// node asks peers for newer values more often.
func (n *Node) platformContact(ok bool) {
	n.away = !ok
	n.parts.Directory.Contact(n.now, ok)
	n.clocks.gossip = min(n.clocks.gossip, n.now-n.settings.GossipAway)
}

// adopt puts a value in force if it is newer.
func (n *Node) adopt(event *gypsumrail.Event) bool {
	fromPeer := event.Peer.Name != ""
	if !n.parts.Values.Adopt(n.now, event.Value, fromPeer) {
		// That several sources bring the same revision is usual, and so is a peer
		// whose answer was overtaken.
		current := n.parts.Values.Current(event.Value.Name)
		if event.Value.Revision > current.Revision || event.Value.Revision < current.Revision && !fromPeer {
			n.notice(gypsumrail.NoticeRevisionIgnored, string(event.Value.Name), gypsumrail.ReasonNone)
		}
		return false
	}
	n.defaults = false
	n.emit(gypsumrail.Effect{Kind: gypsumrail.Adopt, Value: event.Value})
	return true
}

// adopted logs what an adopted value changed and tells peers of it.
func (n *Node) adopted(event *gypsumrail.Event, changes string) {
	n.emit(gypsumrail.Effect{
		Kind: gypsumrail.Log, Notice: gypsumrail.NoticeRevisionAdopted, Subject: string(event.Value.Name),
		Detail: "Revision=" + strconv.FormatUint(uint64(event.Value.Revision), 10) + changes,
	})
	if n.settings.GossipEvery > 0 {
		n.announce(event)
	}
}

// announce tells some peers of an adopted value. Where all nodes watch the
// platform and there is no regular gossip, nobody needs to be told: a node that
// cannot read the platform asks.
func (n *Node) announce(event *gypsumrail.Event) {
	var told [announceMax]string
	for i := range announceMax {
		peer, ok := n.parts.Directory.Partner(n.random.Uint64())
		if !ok || slices.Contains(told[:i], peer.Name) || peer.Name == event.Peer.Name {
			continue
		}
		told[i] = peer.Name
		n.sendExchange(peer, 0, false, nil)
	}
}

// upstreamsEvery limits how often the router gets the directory's changes. A list
// of the target size takes a millisecond to build, and a node that starts hears
// of many changes in a row.
const upstreamsEvery = gypsumrail.Second / 10

// refreshUpstreams gives the router the directory's changes.
func (n *Node) refreshUpstreams() {
	if n.now-n.clocks.upstreams < upstreamsEvery {
		return
	}
	if n.parts.Directory.Generation() != n.generation {
		n.setUpstreams()
	}
}

func (n *Node) setUpstreams() {
	n.clocks.upstreams = n.now
	n.generation = n.parts.Directory.Generation()
	n.self = n.parts.Directory.Self()
	if slots := n.upstream(n.self).Slots; slots > 0 {
		n.parts.Limiter.SetCeiling(slots)
	}
	for _, name := range n.serviceNames() {
		entries := n.parts.Directory.Upstreams(name)
		upstreams := make([]gypsumrail.Upstream, 0, len(entries))
		for _, entry := range entries {
			upstreams = append(upstreams, n.upstream(entry))
		}
		n.parts.Router.SetUpstreams(n.now, name, upstreams)
	}
}

// serviceNames returns the services of the records in order, or the own one
// while there are no records.
func (n *Node) serviceNames() []string {
	if n.records == nil {
		return []string{n.self.Service}
	}
	names := make([]string, 0, len(n.records.Services))
	for name := range n.records.Services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (n *Node) upstream(entry gypsumrail.Instance) gypsumrail.Upstream {
	upstream := gypsumrail.Upstream{Instance: entry, Slots: entry.Slots}
	if n.records == nil {
		return upstream
	}
	if target := n.records.Targets[entry.Name]; target != nil {
		upstream.Capabilities = target.Capabilities
		upstream.Slots = target.Slots
	}
	return upstream
}
