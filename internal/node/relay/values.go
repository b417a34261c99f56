package relay

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/feed"
	"github.com/gypsumrail/gypsumrail/internal/node/follow"
	"github.com/gypsumrail/gypsumrail/internal/node/peer"
	"github.com/gypsumrail/gypsumrail/internal/node/shell"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

// watchWait is the longest wait of a watch. It is part of the time in which a
// change is in force that the watches of most nodes missed; see package follow. A
// change of the records must be in force, and a leaving target without new calls,
// within 2 s.
const watchWait = 2 * time.Second

// follow watches the records and the instances on the platform.
func (r *Relay) follow(work *sync.WaitGroup) {
	catalog := r.parts.Catalog
	follower := follow.New(r.parts.Store, watchWait, r.contact,
		follow.Part{Prefix: catalog.RecordsKey(), Take: r.takeRecords},
		follow.Part{Prefix: catalog.InstancesPrefix(), Take: r.takeInstances()},
	)
	work.Go(func() { follower.Run(r.base) })
}

// contact takes the loss and the return of the platform.
func (r *Relay) contact(err error) {
	r.away.Store(err != nil)
	if err != nil {
		r.lines.Put(shell.NoticePlatformAway, r.settings.Self.Name, gypsumrail.ReasonNone, err.Error())
		r.post(&gypsumrail.Event{Kind: gypsumrail.PlatformLost})
		return
	}
	r.lines.Put(shell.NoticePlatformBack, r.settings.Self.Name, gypsumrail.ReasonNone, "")
	r.post(&gypsumrail.Event{Kind: gypsumrail.PlatformFound})
}

// takeRecords offers what operators published.
func (r *Relay) takeRecords(items []gypsumrail.Item, _ uint64) {
	for i := range items {
		if items[i].Key == r.parts.Catalog.RecordsKey() {
			r.offerRecords(items[i].Data, gypsumrail.Instance{})
		}
	}
}

// offerRecords decodes records and gives them to the reducer, which adopts them
// if they are newer. Faulty ones are logged and dropped as a whole.
func (r *Relay) offerRecords(content []byte, from gypsumrail.Instance) {
	r.applied.Lock()
	defer r.applied.Unlock()
	records, err := r.parts.Catalog.Records(content)
	if err != nil {
		r.lines.Put(shell.NoticeRecordsRejected, from.Name, gypsumrail.ReasonNone, err.Error())
		return
	}
	records.IndexRoutes()
	version := gypsumrail.ValueVersion{Name: gypsumrail.ValueRecords, Revision: records.Revision, Hash: peer.HashOf(content)}
	if err := r.values.Offer(feed.Value{Version: version, Content: content}); err != nil {
		r.lines.Put(shell.NoticeRecordsRejected, from.Name, gypsumrail.ReasonNone, err.Error())
		return
	}
	r.mu.Lock()
	r.step(&gypsumrail.Event{Kind: gypsumrail.RecordsRead, Value: version, Records: records, Peer: from})
	if r.values.Revision(gypsumrail.ValueRecords) == records.Revision {
		r.records.Store(records)
	}
	out := r.take()
	r.mu.Unlock()
	write(out, nil)
}

// takeInstances returns what makes a list of the items of instances. An item that
// cannot be read names no instance; it is logged once for each of its revisions.
func (r *Relay) takeInstances() follow.Take {
	rejected := make(map[string]uint64)
	return func(items []gypsumrail.Item, revision uint64) {
		list := make([]gypsumrail.Instance, 0, len(items))
		for i := range items {
			instance, err := r.parts.Catalog.Instance(items[i])
			if err == nil {
				err = wire.CheckInstance(&instance)
			}
			if err == nil {
				list = append(list, instance)
				continue
			}
			if rejected[items[i].Key] != items[i].Revision && len(rejected) < rejectedMax {
				rejected[items[i].Key] = items[i].Revision
				r.lines.Put(shell.NoticeInstancesRejected, items[i].Key, gypsumrail.ReasonNone, err.Error())
			}
		}
		r.offerInstances(list, gypsumrail.Revision(revision), nil, gypsumrail.Instance{})
	}
}

// rejectedMax bounds the faulty items that are remembered.
const rejectedMax = 4096

// offerInstances gives a list to the reducer. Content is the list as peers pull
// it, or nil to make it.
func (r *Relay) offerInstances(list []gypsumrail.Instance, revision gypsumrail.Revision, content []byte, from gypsumrail.Instance) {
	r.applied.Lock()
	defer r.applied.Unlock()
	var err error
	if content == nil {
		content, err = wire.FormatInstances(list)
	}
	version := gypsumrail.ValueVersion{Name: gypsumrail.ValueInstances, Revision: revision, Hash: peer.HashOf(content)}
	if err == nil {
		err = r.values.Offer(feed.Value{Version: version, Content: content})
	}
	if err != nil {
		r.lines.Put(shell.NoticeInstancesRejected, from.Name, gypsumrail.ReasonNone, err.Error())
		return
	}
	r.post(&gypsumrail.Event{Kind: gypsumrail.InstancesRead, Value: version, Instances: list, Peer: from})
	if r.values.Revision(gypsumrail.ValueInstances) == revision {
		r.instances.Store(&instanceList{version, list})
	}
	r.listed.Store(true)
}

// instanceList is a list of instances in force.
type instanceList struct {
	version   gypsumrail.ValueVersion
	instances []gypsumrail.Instance
}

// controlAddress returns where a node answers control messages: the port behind
// that of its calls.
func controlAddress(calls string) string {
	address, err := netip.ParseAddrPort(calls)
	if err != nil {
		return calls // the dial that follows fails and says why
	}
	return netip.AddrPortFrom(address.Addr(), address.Port()+1).String()
}

// stamp is what calls and answers tell of the values in force.
type stamp struct {
	records, instances gypsumrail.Revision
}

func (r *Relay) stamp() stamp {
	return stamp{r.values.Revision(gypsumrail.ValueRecords), r.values.Revision(gypsumrail.ValueInstances)}
}

// stampPatience is how long a node waits for the platform to tell what a stamp
// told already: usually the watches of all nodes end within milliseconds.
const stampPatience = 100 * time.Millisecond

// learnStamp compares the stamp of another node with the values in force here.
func (r *Relay) learnStamp(theirs stamp, address string) {
	ours := r.stamp()
	if theirs.records <= ours.records && theirs.instances <= ours.instances || !r.behind.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(stampPatience, func() {
		r.behind.Store(false)
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

// peerAddress returns the peers port of the node at the other end of a connection.
// The number is the same on all machines.
func (r *Relay) peerAddress(remote net.Addr) string {
	host, _, err := net.SplitHostPort(remote.String())
	if err != nil {
		return ""
	}
	_, port, _ := strings.Cut(r.settings.Self.Address, ":")
	return net.JoinHostPort(host, port)
}

// pull fetches a value from a peer.
func (r *Relay) pull(from gypsumrail.Instance, wanted gypsumrail.ValueVersion) {
	if !r.enter() {
		return
	}
	defer r.exit()
	ctx, cancel := context.WithTimeout(r.base, pullTime)
	defer cancel()
	version, content, err := r.control.Pull(ctx, controlAddress(from.Address), wanted)
	if err != nil {
		if r.base.Err() == nil {
			r.lines.Put(shell.NoticePullFailed, from.Address, gypsumrail.ReasonNone, err.Error())
		}
		return
	}
	if version.Name == gypsumrail.ValueRecords {
		r.offerRecords(content, from)
		return
	}
	list, err := wire.ParseInstances(content)
	if err != nil {
		r.lines.Put(shell.NoticeInstancesRejected, from.Address, gypsumrail.ReasonNone, err.Error())
		return
	}
	r.offerInstances(list, version.Revision, content, from)
}

// known returns the events that give a replay the values in force. The form in
// which the platform has them is not known there.
func (r *Relay) known() []gypsumrail.Event {
	now := r.parts.Clock.Now()
	var known []gypsumrail.Event
	if value, ok := r.values.Current(gypsumrail.ValueRecords); ok {
		known = append(known, gypsumrail.Event{Kind: gypsumrail.RecordsRead, At: now, Value: value.Version, Records: r.records.Load()})
	}
	if list := r.instances.Load(); list != nil {
		known = append(known, gypsumrail.Event{Kind: gypsumrail.InstancesRead, At: now, Value: list.version, Instances: list.instances})
	}
	return known
}
