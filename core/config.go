package core

import (
	"slices"
	"strconv"

	"github.com/gypsumrail/gypsumrail"
)

// recordsRead applies a revision of the records if it is newer than the current one.
func (n *Node) recordsRead(event *gypsumrail.Event) {
	if event.Records == nil || !n.adopt(event) {
		return
	}
	n.reportAdoption(event, "")
	n.records = event.Records
	n.parts.Grants.SetLimits(n.now, n.records.Accounts)
	n.dropSplits()
	n.dropUses()
	n.setAccounts()
	n.setUpstreams()
}

// instancesRead merges an instance list of the platform into the directory, if its
// revision is newer than the current one.
func (n *Node) instancesRead(event *gypsumrail.Event) {
	before := n.parts.Values.Current(gypsumrail.ValueInstances)
	if n.adopt(event) {
		n.noteRestore(before, event.Value)
		n.reportAdoption(event, n.listedStates.changes(event.Instances))
		n.listedStates = statesOf(event.Instances)
		n.parts.Directory.MergeList(n.now, event.Instances)
		n.setUpstreams()
		n.askForEvidence()
	}
}

// noteRestore tells the directory and the log if an instance list is the first of a later
// era of the platform's store.
func (n *Node) noteRestore(before, now gypsumrail.ValueVersion) {
	eraBefore, _ := before.Position()
	era, _ := now.Position()
	if before.Revision == 0 || era == eraBefore {
		return
	}
	n.parts.Directory.PlatformRestored(n.now)
	n.emit(gypsumrail.Effect{
		Kind: gypsumrail.Log, Notice: gypsumrail.NoticePlatformRestored, Subject: n.self.Name,
		Detail: "Era=" + strconv.FormatUint(era, 10),
	})
}

// setPlatformReachable records whether the platform can be read. While it cannot, the
// node starts exchanges at the interval GossipAway, because peers may have newer
// values. The first exchange does not wait for the rest of the current interval.
func (n *Node) setPlatformReachable(ok bool) {
	n.platformLost = !ok
	n.parts.Directory.SetPlatformReachable(n.now, ok)
	n.clocks.gossip = min(n.clocks.gossip, n.now-n.settings.GossipAway)
}

// adopt makes the event's version of a value the current one if it is newer, and
// reports whether it did.
func (n *Node) adopt(event *gypsumrail.Event) bool {
	fromPeer := event.Peer.Name != ""
	if !n.parts.Values.Adopt(n.now, event.Value, fromPeer) {
		// Two cases are normal and not logged: another source sends the current
		// revision again, and a peer sends an older one because its answer was late.
		current := n.parts.Values.Current(event.Value.Name)
		if event.Value.Revision > current.Revision || event.Value.Revision < current.Revision && !fromPeer {
			n.notice(gypsumrail.NoticeRevisionIgnored, string(event.Value.Name), gypsumrail.ReasonNone)
		}
		return false
	}
	n.defaultsInUse = false
	n.emit(gypsumrail.Effect{Kind: gypsumrail.Adopt, Value: event.Value})
	return true
}

// reportAdoption logs an adopted value with its changes, and announces it to peers
// if the node gossips.
func (n *Node) reportAdoption(event *gypsumrail.Event, changes string) {
	n.emit(gypsumrail.Effect{
		Kind: gypsumrail.Log, Notice: gypsumrail.NoticeRevisionAdopted, Subject: string(event.Value.Name),
		Detail: formatVersion(event.Value) + changes,
	})
	if n.settings.GossipEvery > 0 {
		n.announce(event)
	}
}

// formatVersion returns the revision of a value for a log line, with its era if it has one.
func formatVersion(version gypsumrail.ValueVersion) string {
	era, revision := version.Position()
	text := "Revision=" + strconv.FormatUint(revision, 10)
	if era > 0 {
		text = "Era=" + strconv.FormatUint(era, 10) + " " + text
	}
	return text
}

// announce sends an exchange to up to announceMax random peers, so that they pull
// the adopted value. Without regular gossip, all nodes watch the platform, and
// announcements are not needed: a node that cannot read the platform starts
// exchanges itself.
func (n *Node) announce(event *gypsumrail.Event) {
	var notified [announceMax]string
	for i := range announceMax {
		peer, ok := n.parts.Directory.Partner(n.random.Uint64())
		if !ok || slices.Contains(notified[:i], peer.Name) || peer.Name == event.Peer.Name {
			continue
		}
		notified[i] = peer.Name
		n.sendExchange(peer, 0, false, nil, gypsumrail.Evidence{})
	}
}

// upstreamsEvery is the minimum interval between two updates of the router's
// upstreams by changes of the directory. Building the lists of a fleet of the
// target size takes a millisecond, and a starting node receives many changes in a
// row.
const upstreamsEvery = gypsumrail.Second / 10

// refreshUpstreams updates the router's upstreams if the directory has changed. It
// runs after each step.
func (n *Node) refreshUpstreams() {
	if n.now-n.clocks.upstreams < upstreamsEvery {
		return
	}
	if n.parts.Directory.Generation() != n.generation {
		n.setUpstreams()
	}
}

// setUpstreams passes the directory's upstreams of each service to the router, and
// the slots of the own target to the limiter as the ceiling of its limit.
func (n *Node) setUpstreams() {
	n.clocks.upstreams = n.now
	n.generation = n.parts.Directory.Generation()
	n.self = n.parts.Directory.Self()
	if slots := n.upstream(n.self).Slots; slots > 0 {
		n.parts.Limiter.SetCeiling(slots)
	}
	n.setGrantInstances()
	for _, name := range n.serviceNames() {
		entries := n.parts.Directory.Upstreams(name)
		upstreams := make([]gypsumrail.Upstream, 0, len(entries))
		for _, entry := range entries {
			upstreams = append(upstreams, n.upstream(entry))
		}
		n.parts.Router.SetUpstreams(n.now, name, upstreams)
	}
}

// serviceNames returns the names of the services in the records, sorted. Without
// records it returns the own service.
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

// upstream returns the upstream of a directory entry. If the records have its
// target, they give the slots and capabilities.
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
