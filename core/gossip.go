package core

import "github.com/gypsumrail/gypsumrail"

const (
	// rumorsMax bounds the changed entries in one exchange.
	rumorsMax = 32
	// bucketsPerExchange bounds the buckets sent in one message. Four buckets of 40
	// entries are about 16 KB, a quarter of what a peer accepts.
	bucketsPerExchange = 4
	// announceMax bounds the peers that are told at once of an adopted value.
	announceMax = 3
	// callersMax bounds the peers that a leaving node tells directly.
	callersMax = 1024
	// callerLife is how long a peer counts as a caller after its last call.
	callerLife = 10 * gypsumrail.Second
)

// gossip starts an exchange with one random peer.
func (n *Node) gossip() {
	if partner, ok := n.parts.Directory.Partner(n.random.Uint64()); ok {
		n.sendExchange(partner, 0, false, nil)
	}
}

func (n *Node) sendExchange(to gypsumrail.Instance, call gypsumrail.CallID, answer bool, extra []gypsumrail.Instance) {
	n.counts.Exchanges++
	n.self = n.parts.Directory.Self()
	n.emit(gypsumrail.Effect{
		Kind: gypsumrail.SendExchange, Call: call, To: to, Exchange: &gypsumrail.Exchange{
			From:    n.self,
			Digest:  gypsumrail.Digest{Buckets: n.parts.Directory.Buckets(), Values: n.parts.Values.Versions()},
			Entries: append(n.parts.Directory.Rumors(n.now, rumorsMax), extra...),
			Answer:  answer,
		},
	})
}

// exchanged merges a peer's message. An exchange takes at most three messages:
// the first carries digests, the answer the entries of differing buckets, and
// the third what the answering side turned out to lack.
func (n *Node) exchanged(event *gypsumrail.Event) {
	message := event.Exchange
	if message == nil {
		n.counts.Dropped++
		return
	}
	n.parts.Directory.Merge(n.now, message.Entries)
	n.parts.Directory.Observe(n.now, message.From)
	if n.upstreamSeen(message.From.Name); event.Call == 0 && event.Peer.Name != message.From.Name {
		// The node that was asked may not know yet under which name it is listed.
		n.upstreamSeen(event.Peer.Name)
	}
	for _, offered := range message.Digest.Values {
		if n.parts.Values.Wants(n.now, offered, true) {
			n.emit(gypsumrail.Effect{Kind: gypsumrail.Pull, To: message.From, Value: offered})
		}
	}
	differing := n.differing(message.Digest.Buckets)
	switch {
	case !message.Answer:
		n.sendExchange(message.From, event.Call, true, differing)
	case event.Call != 0:
		// The third message of an exchange only needs the transport's receipt.
		n.sendExchange(message.From, event.Call, true, nil)
	case len(differing) > 0:
		n.sendExchange(message.From, 0, true, differing)
	}
}

// differing returns the entries of some buckets that differ from a digest. The
// first bucket is random so that repeated exchanges reach all of them.
func (n *Node) differing(theirs [gypsumrail.DigestBuckets]uint64) []gypsumrail.Instance {
	ours := n.parts.Directory.Buckets()
	first := int(n.random.Uint64() % gypsumrail.DigestBuckets)
	var entries []gypsumrail.Instance
	sent := 0
	for i := range gypsumrail.DigestBuckets {
		bucket := (first + i) % gypsumrail.DigestBuckets
		if ours[bucket] == theirs[bucket] {
			continue
		}
		entries = append(entries, n.parts.Directory.Bucket(bucket)...)
		if sent++; sent == bucketsPerExchange {
			break
		}
	}
	return entries
}

// peerFailed marks a peer that did not answer a control message.
func (n *Node) peerFailed(peer gypsumrail.Instance) {
	if n.parts.Directory.MarkSuspect(n.now, peer.Name) {
		n.notice(gypsumrail.NoticeInstanceSuspect, peer.Name, gypsumrail.ReasonNone)
	}
	n.upstreamLost(peer.Name)
}

func (n *Node) noteCaller(name string) {
	if name == "" {
		return
	}
	if _, known := n.callers[name]; known || len(n.callers) < callersMax {
		n.callers[name] = n.now
	}
}
