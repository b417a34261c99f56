package relay

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/fetch"
	"github.com/gypsumrail/gypsumrail/internal/node/mirror"
	"github.com/gypsumrail/gypsumrail/internal/node/peer"
	"github.com/gypsumrail/gypsumrail/internal/node/shell"
	"github.com/gypsumrail/gypsumrail/internal/node/source"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

// watchWaitMax is the longest wait of a watch request at the store. It bounds the time
// until a change takes effect that neither the watch nor the probes during it showed;
// see package mirror.
const watchWaitMax = 15 * time.Second

// instanceBytesMax bounds the entry of an instance, which has some hundred bytes.
const instanceBytesMax = 4 << 10

// newFollower returns the follower of the records and the instances in the platform's
// store, which reads them there or from a peer.
func (r *Relay) newFollower() *mirror.Follower {
	catalog := r.parts.Catalog
	return mirror.New(
		mirror.Settings{
			Store: reportingStore{r.parts.Store, r.faults}, Peers: r.peerStore, Sources: source.New(r.settings.Self.Address, r.settings.Self.Zone),
			Clock: r.parts.Clock, Wait: watchWaitMax, Contact: r.onPlatform,
			Confirmed: r.onConfirmed, Fresh: r.needsConfirmation,
		},
		mirror.Part{Prefix: catalog.RecordsKey(), Receive: r.onRecords, Prepare: catalog.WithoutSecrets, Supersedes: r.supersedes},
		mirror.Part{Prefix: catalog.InstancesPrefix(), Receive: r.newInstancesHandler(), ItemBytesMax: instanceBytesMax},
	)
}

// supersedes reports whether published records replace known ones in the copy of the store.
// An older version that is published late does not: a node that was out of touch meanwhile
// would otherwise never see the newer one, and regard its own as confirmed.
func (r *Relay) supersedes(known, next gypsumrail.Item) bool {
	newer, err := r.parts.Catalog.Records(next.Data)
	if err != nil {
		return true
	}
	older, err := r.parts.Catalog.Records(known.Data)
	return err != nil || newer.Revision >= older.Revision
}

// peerStore returns the copy of the platform's store that the node with an address
// keeps.
func (r *Relay) peerStore(address string) gypsumrail.Store {
	return r.control.Store(controlAddress(address))
}

// onPlatform logs that the platform is lost, with the error of the first failed read,
// or that it is back, if err is nil. It gives the reducer the matching event.
func (r *Relay) onPlatform(err error) {
	r.platformLost.Store(err != nil)
	if err != nil {
		r.log.Put(shell.NoticePlatformAway, r.settings.Self.Name, gypsumrail.ReasonNone, err.Error())
		r.post(&gypsumrail.Event{Kind: gypsumrail.PlatformLost})
		return
	}
	r.log.Put(shell.NoticePlatformBack, r.settings.Self.Name, gypsumrail.ReasonNone, "")
	r.post(&gypsumrail.Event{Kind: gypsumrail.PlatformFound})
}

// onRecords offers the published records to the reducer.
func (r *Relay) onRecords(items []gypsumrail.Item, _ uint64) {
	inForce := true // a store without records has no newer ones
	for i := range items {
		if items[i].Key == r.parts.Catalog.RecordsKey() {
			inForce = r.offerRecords(items[i].Data, gypsumrail.Instance{})
		}
	}
	r.copyInForce.Store(inForce)
}

// offerRecords decodes records and gives them to the reducer, which adopts them if
// their revision is newer. It logs invalid records and drops them as a whole. The
// instance from is the peer that sent them, or empty for the platform. It reports whether
// these records or newer ones are in force then.
func (r *Relay) offerRecords(content []byte, from gypsumrail.Instance) bool {
	r.offerMu.Lock()
	defer r.offerMu.Unlock()
	records, err := r.parts.Catalog.Records(content)
	if err != nil {
		r.log.Put(shell.NoticeRecordsRejected, from.Name, gypsumrail.ReasonNone, err.Error())
		return false
	}
	records.IndexRoutes()
	version := gypsumrail.ValueVersion{Name: gypsumrail.ValueRecords, Revision: records.Revision, Hash: peer.HashOf(content)}
	if err := r.values.Offer(fetch.Value{Version: version, Content: content}); err != nil {
		r.log.Put(shell.NoticeRecordsRejected, from.Name, gypsumrail.ReasonNone, err.Error())
		return false
	}
	r.mu.Lock()
	r.step(&gypsumrail.Event{Kind: gypsumrail.RecordsRead, Value: version, Records: records, Peer: from})
	current, _ := r.values.Current(gypsumrail.ValueRecords)
	if current.Version == version {
		if records.KeysRequired {
			r.keysKnown.Store(true)
		}
		if old := r.records.Swap(records); old == nil || old.Revision != records.Revision {
			r.logFaults(records, from)
		}
	}
	out := r.takeDeliveries()
	r.mu.Unlock()
	writeReplies(out, nil)
	return current.Version == version || current.Version.Revision > version.Revision
}

// recordsFaultsLogged bounds the log lines about the faults of one revision.
const recordsFaultsLogged = 16

// logFaults logs the faults of records that came into force.
func (r *Relay) logFaults(records *gypsumrail.Records, from gypsumrail.Instance) {
	for _, fault := range records.Faults[:min(len(records.Faults), recordsFaultsLogged)] {
		r.log.Put(shell.NoticeRecordsFault, from.Name, gypsumrail.ReasonNone, fault)
	}
}

// newInstancesHandler returns a function that decodes the platform's items into an
// instance list and offers it to the reducer. It leaves out invalid items and logs
// each invalid revision of an item once.
func (r *Relay) newInstancesHandler() mirror.Receiver {
	known := make(map[string]decodedItem)
	return func(items []gypsumrail.Item, revision uint64) {
		list := make([]gypsumrail.Instance, 0, len(items))
		next := make(map[string]decodedItem, len(items))
		for i := range items {
			decoded, ok := known[items[i].Key]
			if !ok || decoded.revision != items[i].Revision {
				decoded = r.decodeInstance(items[i])
			}
			next[items[i].Key] = decoded
			if decoded.valid {
				list = append(list, decoded.instance)
			}
		}
		known = next
		r.follower.SetInstances(list)
		r.offerInstances(list, gypsumrail.Revision(revision), nil, gypsumrail.Instance{})
	}
}

// decodedItem is the result of decoding one revision of an item.
type decodedItem struct {
	revision uint64
	instance gypsumrail.Instance
	valid    bool
}

// decodeInstance decodes an item of the platform's instances and logs it if it is
// invalid.
func (r *Relay) decodeInstance(item gypsumrail.Item) decodedItem {
	instance, err := r.parts.Catalog.Instance(item)
	if err == nil {
		err = wire.CheckInstance(&instance)
	}
	if err != nil {
		r.log.Put(shell.NoticeInstancesRejected, item.Key, gypsumrail.ReasonNone, err.Error())
	}
	return decodedItem{item.Revision, instance, err == nil}
}

// offerInstances gives an instance list to the reducer, which adopts it if its
// revision is newer. The encoded list in content is what peers pull; if it is nil, the
// list is encoded when a peer pulls it, and its version has no hash. The instance from
// is as in offerRecords.
func (r *Relay) offerInstances(list []gypsumrail.Instance, revision gypsumrail.Revision, content []byte, from gypsumrail.Instance) {
	r.offerMu.Lock()
	defer r.offerMu.Unlock()
	version := gypsumrail.ValueVersion{Name: gypsumrail.ValueInstances, Revision: revision}
	value := fetch.Value{Version: version, Content: content}
	if content != nil {
		version.Hash = peer.HashOf(content)
		value.Version = version
	} else {
		value.Encode = func() ([]byte, error) { return wire.FormatInstances(list) }
	}
	if err := r.values.Offer(value); err != nil {
		r.log.Put(shell.NoticeInstancesRejected, from.Name, gypsumrail.ReasonNone, err.Error())
		return
	}
	r.post(&gypsumrail.Event{Kind: gypsumrail.InstancesRead, Value: version, Instances: list, Peer: from})
	if r.values.Revision(gypsumrail.ValueInstances) == revision {
		r.instances.Store(&instanceList{version, list})
	}
	r.instancesRead.Store(true)
}

// instanceList is the instance list in force and its version.
type instanceList struct {
	version   gypsumrail.ValueVersion
	instances []gypsumrail.Instance
}

// controlAddress returns the address at which a node receives control messages: the
// port after the one for calls.
func controlAddress(calls string) string {
	address, err := netip.ParseAddrPort(calls)
	if err != nil {
		return calls // the dial that follows fails and says why
	}
	return netip.AddrPortFrom(address.Addr(), address.Port()+1).String()
}

// revisions are the revisions of the records and the instance list in force at a
// node. Calls and answers between nodes carry them.
type revisions struct {
	records, instances gypsumrail.Revision
}

// revisions returns those of this node, or 0 for a value not yet received.
func (r *Relay) revisions() revisions {
	return revisions{r.values.Revision(gypsumrail.ValueRecords), r.values.Revision(gypsumrail.ValueInstances)}
}

// pullDelay is the delay before newer values are pulled from a peer. The watches of
// all nodes usually return a change within milliseconds, which makes the pull
// unnecessary.
const pullDelay = 100 * time.Millisecond

// checkPeerRevisions compares the revisions of another node with those in force here.
// If the other node has a newer value, it waits pullDelay and then gives the reducer
// an Exchanged event with these revisions, as if the node had answered an exchange.
// The reducer pulls the value if it is still newer. Only one such event is pending at
// a time.
func (r *Relay) checkPeerRevisions(theirs revisions, address string) {
	ours := r.revisions()
	if theirs.records <= ours.records && theirs.instances <= ours.instances || !r.pullScheduled.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(pullDelay, func() {
		r.pullScheduled.Store(false)
		r.post(&gypsumrail.Event{
			Kind: gypsumrail.Exchanged, Exchange: &gypsumrail.Exchange{
				Answer: true,
				From: gypsumrail.Instance{
					Name: address, Service: r.settings.Self.Service, Zone: r.settings.Self.Zone, Address: address, State: gypsumrail.Live,
				},
				Digest: gypsumrail.Digest{Values: []gypsumrail.ValueVersion{
					{Name: gypsumrail.ValueRecords, Revision: theirs.records}, {Name: gypsumrail.ValueInstances, Revision: theirs.instances},
				}},
			},
		})
	})
}

// peerAddress returns the address of the peers port of the node at the other end of
// a connection. The port number is the same on all machines.
func (r *Relay) peerAddress(remote net.Addr) string {
	host, _, err := net.SplitHostPort(remote.String())
	if err != nil {
		return ""
	}
	_, port, _ := strings.Cut(r.settings.Self.Address, ":")
	return net.JoinHostPort(host, port)
}

// pull performs the Pull effect: it fetches a value from a peer and offers it to the
// reducer. It does nothing if outgoingControlMax messages are being sent.
func (r *Relay) pull(from gypsumrail.Instance, wanted gypsumrail.ValueVersion) {
	if !r.acquireControlSlot() {
		return
	}
	defer r.releaseControlSlot()
	ctx, cancel := context.WithTimeout(r.base, pullTimeout)
	defer cancel()
	version, content, err := r.control.Pull(ctx, controlAddress(from.Address), wanted)
	if err != nil {
		if r.base.Err() == nil {
			r.log.Put(shell.NoticePullFailed, from.Address, gypsumrail.ReasonNone, err.Error())
		}
		return
	}
	if version.Name == gypsumrail.ValueRecords {
		item := gypsumrail.Item{Key: r.parts.Catalog.RecordsKey(), Data: content}
		r.offerRecords(r.parts.Catalog.WithoutSecrets(item).Data, from) // nodes of former versions send keys
		return
	}
	list, err := wire.ParseInstances(content)
	if err != nil {
		r.log.Put(shell.NoticeInstancesRejected, from.Address, gypsumrail.ReasonNone, err.Error())
		return
	}
	r.offerInstances(list, version.Revision, content, from)
}

// valuesInForce returns the events with which a replay starts: the values in force,
// decoded, because a replay does not know the platform's encoding.
func (r *Relay) valuesInForce() []gypsumrail.Event {
	now := r.parts.Clock.Now()
	var initial []gypsumrail.Event
	if value, ok := r.values.Current(gypsumrail.ValueRecords); ok {
		initial = append(initial, gypsumrail.Event{Kind: gypsumrail.RecordsRead, At: now, Value: value.Version, Records: r.records.Load()})
		if confirmed := r.confirmed.Load(); confirmed != nil {
			initial = append(initial, gypsumrail.Event{Kind: gypsumrail.RecordsConfirmed, At: now, Confirmed: *confirmed})
		}
	}
	if list := r.instances.Load(); list != nil {
		initial = append(initial, gypsumrail.Event{Kind: gypsumrail.InstancesRead, At: now, Value: list.version, Instances: list.instances})
	}
	return initial
}
