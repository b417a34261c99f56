package core

import "github.com/gypsumrail/gypsumrail"

const (
	// rumorsMax bounds the recently changed directory entries in one message.
	rumorsMax = 32
	// bucketsPerExchange bounds the directory buckets in one message. Four buckets
	// of 40 entries are about 16 KB, a quarter of what a peer accepts.
	bucketsPerExchange = 4
	// announceMax bounds the peers to which a node announces an adopted value.
	announceMax = 3
	// callersMax bounds the recorded callers, which a draining node informs directly.
	callersMax = 1024
	// callerTTL is the time after its last call for which a peer counts as a caller.
	callerTTL = 10 * gypsumrail.Second
)

// gossip starts an exchange with one random peer.
func (n *Node) gossip() {
	if partner, ok := n.parts.Directory.Partner(n.random.Uint64()); ok {
		n.sendExchange(partner, 0, false, nil, gypsumrail.Evidence{})
	}
}

// sendExchange sends one message of an exchange. A non-zero call makes it the
// response to the peer's message of that CallID. The answer flag marks the second and
// third message. The extra entries are sent in addition to the rumors.
func (n *Node) sendExchange(to gypsumrail.Instance, call gypsumrail.CallID, answer bool, extra []gypsumrail.Instance, evidence gypsumrail.Evidence) {
	n.counts.Exchanges++
	n.self = n.parts.Directory.Self()
	n.emit(gypsumrail.Effect{
		Kind: gypsumrail.SendExchange, Call: call, To: to, Exchange: &gypsumrail.Exchange{
			From:    n.self,
			Digest:  gypsumrail.Digest{Buckets: n.parts.Directory.Buckets(), Values: n.parts.Values.Versions(), Evidence: n.parts.Quarantine.Digest()},
			Entries: append(n.parts.Directory.Rumors(n.now, rumorsMax), extra...),
			Answer:  answer, Evidence: evidence,
		},
	})
}

// exchanged merges a peer's message and replies to it. An exchange has at most
// three messages. The first has digests. The second, the answer, adds the entries
// of the buckets that differ. The third adds the entries that the answering side
// lacks.
func (n *Node) exchanged(event *gypsumrail.Event) {
	message := event.Exchange
	if message == nil {
		n.counts.Dropped++
		return
	}
	n.parts.Directory.Merge(n.now, message.Entries)
	n.parts.Directory.RecordState(n.now, message.From)
	if n.upstreamResponded(message.From.Name); event.Call == 0 && event.Peer.Name != message.From.Name {
		// The answering node may not know yet the name that the platform lists for
		// it, so the name that this node addressed counts as well.
		n.upstreamResponded(event.Peer.Name)
	}
	for _, offered := range message.Digest.Values {
		if n.parts.Values.Wants(n.now, offered, true) {
			n.emit(gypsumrail.Effect{Kind: gypsumrail.Pull, To: message.From, Value: offered})
		}
	}
	n.mergeEvidence(message.Evidence)
	if message.Answer && event.Call == 0 {
		n.suspicions.answers = min(n.suspicions.answers+1, startAnswers)
	}
	differingEntries := n.differingEntries(message.Digest.Buckets)
	evidenceDiffers := message.Digest.Evidence != n.parts.Quarantine.Digest()
	var evidence gypsumrail.Evidence
	if evidenceDiffers {
		evidence = n.parts.Quarantine.Main(n.now)
	}
	switch {
	case !message.Answer:
		n.sendExchange(message.From, event.Call, true, differingEntries, evidence)
	case event.Call != 0:
		// The third message needs no entries in return, but the transport needs a
		// response to it.
		n.sendExchange(message.From, event.Call, true, nil, gypsumrail.Evidence{})
	case len(differingEntries) > 0, evidenceDiffers:
		n.sendExchange(message.From, 0, true, differingEntries, evidence)
	}
}

// differingEntries returns the entries of at most bucketsPerExchange buckets whose
// hashes differ from the peer's digest. The scan starts at a random bucket, so that
// repeated exchanges cover all buckets.
func (n *Node) differingEntries(theirs [gypsumrail.DigestBuckets]uint64) []gypsumrail.Instance {
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

// peerFailed marks a peer that did not answer a control message as suspect.
func (n *Node) peerFailed(peer gypsumrail.Instance) {
	if n.parts.Directory.MarkSuspect(n.now, peer.Name) {
		n.notice(gypsumrail.NoticeInstanceSuspect, peer.Name, gypsumrail.ReasonNone)
	}
	n.probeFailed(peer.Name)
}

// recordCaller records the time of a call from a peer, because a draining node informs
// its recent callers directly.
func (n *Node) recordCaller(name string) {
	if name == "" {
		return
	}
	if _, known := n.callers[name]; known || len(n.callers) < callersMax {
		n.callers[name] = n.now
	}
}
