package core

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumrail/gypsumrail"
)

const (
	// evidenceEvery is the interval of exchanges with peers while requests crash targets
	// repeatedly. They bring the evidence to nodes that missed the news or were cut off.
	evidenceEvery = gypsumrail.Second / 2
	// newsPeers is the number of random peers to which a node passes on news. Each passes
	// them on once more, so that they reach nearly all of 640 nodes in about 5 steps.
	newsPeers = 4
	// startAnswers is the number of answers of peers after which a started node has heard
	// enough: if half of a fleet starts at once, one of that many peers nearly always knows.
	startAnswers = 4
	// crashPause is the time within which runs that the end of the own target broke
	// belong to the same crash.
	crashPause = gypsumrail.Second
	// cancelTime is the time in which a target stops a canceled run. If it ends within
	// that time, the run may be the cause.
	cancelTime = gypsumrail.Second / 2
	// canceledMax bounds the canceled runs that are remembered for cancelTime.
	canceledMax = 256
)

// canceledRun is a canceled run that the own target may still be working on.
type canceledRun struct {
	fingerprint uint64
	onTrial     bool // see Crash.OnTrial
	at          gypsumrail.Millis
}

// suspicions is what a node does about requests that may crash targets. The evidence
// itself is in parts.Quarantine.
type suspicions struct {
	running   gypsumrail.CallID   // suspected request that runs on the own target; 0 if none
	waiting   []gypsumrail.CallID // suspected requests that wait for it to end
	canceled  []canceledRun       // on the own target, oldest first, at most canceledMax
	crashed   bool                // the own target has crashed before
	crashedAt gypsumrail.Millis   // last crash of the own target
	verdicts  map[uint64]bool     // requests whose quarantine was logged and has not ended
	answers   int                 // answers of peers to exchanges since the start, up to startAnswers
}

// isQuarantined reports whether no target may run requests with this fingerprint.
func (n *Node) isQuarantined(fingerprint uint64) bool {
	return n.parts.Quarantine.Judge(n.now, fingerprint).Standing == gypsumrail.Quarantined
}

// mayStart reports whether a call with this standing may start on the own target. It
// refuses a quarantined call, and holds a suspected one while another runs: if the target
// crashes, only one suspected request was there.
func (n *Node) mayStart(v *receiverCall, standing gypsumrail.Standing) bool {
	switch standing {
	case gypsumrail.Quarantined:
		n.refuseReceiverCall(v, gypsumrail.NotRun, gypsumrail.ReasonQuarantined)
		return false
	case gypsumrail.Suspected:
		if n.suspicions.running == 0 {
			return true
		}
		wait := gypsumrail.Millis(float64(len(n.suspicions.waiting)+1) * n.meanRunTime(v.class.Name))
		if n.now+wait+n.need(n.now+wait, v.class.Name) > v.deadline {
			n.refuseReceiverCall(v, gypsumrail.NotRun, gypsumrail.ReasonSuspected)
			return false
		}
		n.suspicions.waiting = append(n.suspicions.waiting, v.call)
		return false
	}
	return true
}

// startSuspected starts the next suspected call if none runs on the own target, and before it
// the waiting calls that are no longer suspected.
func (n *Node) startSuspected() {
	for n.suspicions.running == 0 && len(n.suspicions.waiting) > 0 {
		call := n.suspicions.waiting[0]
		n.suspicions.waiting = n.suspicions.waiting[1:]
		v := n.receiverCalls[call]
		switch {
		case v == nil || v.running:
		case n.running < n.limitFor(v.importance) && n.stated.rate.Ready(n.now):
			n.start(v)
		default:
			n.enqueue(v)
		}
	}
}

// chooseForTrial returns the upstream that tries a suspected call. All nodes choose the same
// one for the same request, as far as they see the same upstreams, so that its copies do
// not crash several targets at once. Targets that crashed under it come last.
func (n *Node) chooseForTrial(s *senderCall, crashes []gypsumrail.Crash) (gypsumrail.Instance, gypsumrail.Reason) {
	choice := n.callChoice(s)
	choice.Exclude = slices.Clone(choice.Exclude)
	var candidates []gypsumrail.Instance
	for {
		upstream, reason := n.parts.Router.Choose(n.now, choice)
		if reason != gypsumrail.ReasonNone {
			if len(candidates) == 0 {
				return upstream, reason
			}
			break
		}
		candidates = append(candidates, upstream)
		choice.Exclude = append(choice.Exclude, upstream.Name)
	}
	slices.SortStableFunc(candidates, func(a, b gypsumrail.Instance) int {
		return cmp.Or(
			cmp.Compare(crashesAt(crashes, a.Address), crashesAt(crashes, b.Address)),
			cmp.Compare(trialRank(s.fingerprint, a.Address), trialRank(s.fingerprint, b.Address)),
		)
	})
	for _, upstream := range candidates {
		if s.class.Repeatable || s.class.Unkeyed || n.makeKey(s, upstream) {
			return upstream, gypsumrail.ReasonNone
		}
	}
	return gypsumrail.Instance{}, gypsumrail.ReasonNoUpstream
}

// crashesAt returns the number of crashes of the target beside the node with this address.
func crashesAt(crashes []gypsumrail.Crash, address string) int {
	count := 0
	for i := range crashes {
		if crashes[i].Address == address {
			count++
		}
	}
	return count
}

// trialRank returns the rank of an address for a request by rendezvous hashing.
func trialRank(fingerprint uint64, address string) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(address), fingerprint))
}

// recordCrash records that the target beside the node with this address ended while it
// ran a request; see Crash.OnTrial.
func (n *Node) recordCrash(address string, fingerprint uint64, onTrial bool) {
	n.parts.Quarantine.RecordCrash(n.now, address, fingerprint, onTrial)
	n.noteVerdict(fingerprint)
}

// noteCanceled remembers that a run on the own target was canceled.
func (n *Node) noteCanceled(v *receiverCall) {
	if !n.settings.SuspectCanceled {
		return
	}
	s := &n.suspicions
	if len(s.canceled) >= canceledMax {
		s.canceled = slices.Delete(s.canceled, 0, len(s.canceled)-canceledMax+1)
	}
	s.canceled = append(s.canceled, canceledRun{v.fingerprint, v.onTrial, n.now})
}

// recordCanceled records that the own target ended shortly after runs on it were canceled.
// Their connections are closed, so that nothing else tells what became of them.
func (n *Node) recordCanceled() {
	for _, run := range n.suspicions.canceled {
		if n.now-run.at <= cancelTime {
			n.recordCrash(n.self.Address, run.fingerprint, run.onTrial)
		}
	}
	n.suspicions.canceled = n.suspicions.canceled[:0]
}

// recordOwnCrash records that the own target ended while it ran a call. It logs one line
// for all runs that the same crash broke.
func (n *Node) recordOwnCrash(v *receiverCall) {
	n.recordCrash(n.self.Address, v.fingerprint, v.onTrial)
	n.recordCanceled()
	if s := &n.suspicions; !s.crashed || n.now-s.crashedAt > crashPause {
		s.crashed = true
		n.counts.Crashes++
		n.emit(gypsumrail.Effect{
			Kind: gypsumrail.Log, Notice: gypsumrail.NoticeTargetCrashed, Subject: n.self.Name,
			Detail: "Runs=" + strconv.Itoa(n.running+1), // endRun has counted this one out
		})
	}
	n.suspicions.crashedAt = n.now
}

// release clears a request at the word of an operator. Peers learn of it as of a completion.
func (n *Node) release(fingerprint uint64) {
	n.parts.Quarantine.RecordCompletion(n.now, fingerprint)
	n.notice(gypsumrail.NoticeRequestReleased, gypsumrail.FormatFingerprint(fingerprint), gypsumrail.ReasonNone)
}

// noteVerdict logs the quarantine of a request once.
func (n *Node) noteVerdict(fingerprint uint64) {
	if n.suspicions.verdicts[fingerprint] {
		return
	}
	judgment := n.parts.Quarantine.Judge(n.now, fingerprint)
	if judgment.Standing != gypsumrail.Quarantined {
		return
	}
	var addresses []string
	for i := range judgment.Crashes {
		addresses = append(addresses, judgment.Crashes[i].Address)
	}
	n.suspicions.verdicts[fingerprint] = true
	n.counts.Quarantines++
	n.emit(gypsumrail.Effect{
		Kind: gypsumrail.Log, Notice: gypsumrail.NoticeRequestQuarantined, Subject: gypsumrail.FormatFingerprint(fingerprint),
		Detail: "Crashes=" + strconv.Itoa(len(judgment.Crashes)) + " Targets=" + strings.Join(addresses, ",") + " Left=" + strconv.FormatInt(int64(judgment.Left), 10),
	})
}

// mergeCrashes adds the crashes of a call that its sender knows. News may not have arrived
// yet, and a suspected call must not run beside another one.
func (n *Node) mergeCrashes(fingerprint uint64, crashes []gypsumrail.Crash) {
	if len(crashes) == 0 {
		return
	}
	crashes = slices.Clone(crashes)
	for i := range crashes {
		crashes[i].Requests = []uint64{fingerprint}
	}
	n.mergeEvidence(gypsumrail.Evidence{Crashes: crashes})
}

// mergeEvidence adds the evidence of a peer.
func (n *Node) mergeEvidence(evidence gypsumrail.Evidence) {
	n.parts.Quarantine.Merge(n.now, evidence)
	for i := range evidence.Crashes {
		for _, fingerprint := range evidence.Crashes[i].Requests {
			n.noteVerdict(fingerprint)
		}
	}
}

// passOnNews sends new evidence to some peers.
func (n *Node) passOnNews() {
	news := n.parts.Quarantine.News(n.now)
	if len(news.Crashes) > 0 || len(news.Completions) > 0 {
		n.exchangeWith(newsPeers, news)
	}
}

// exchangeWith starts exchanges with random peers, at most count.
func (n *Node) exchangeWith(count int, evidence gypsumrail.Evidence) {
	var sent []string
	for range count {
		peer, ok := n.parts.Directory.Partner(n.random.Uint64())
		if !ok {
			return
		}
		if !slices.Contains(sent, peer.Address) {
			sent = append(sent, peer.Address)
			n.sendExchange(peer, 0, false, nil, evidence)
		}
	}
}

// askForEvidence asks some peers what they know if this node has just started and does not
// gossip regularly. It is called as soon as the node knows peers: calls arrive then too.
func (n *Node) askForEvidence() {
	if n.suspicions.answers == 0 && n.settings.GossipEvery < 0 && n.settings.GossipAway > 0 {
		n.exchangeWith(startAnswers, gypsumrail.Evidence{})
	}
}

// exchangesEvidence reports whether an exchange with a peer is due because of evidence.
func (n *Node) exchangesEvidence() bool {
	since := n.now - n.clocks.gossip
	return n.suspicions.answers < startAnswers && n.settings.GossipAway > 0 && since >= n.settings.GossipAway ||
		since >= evidenceEvery && n.parts.Quarantine.Digest() != 0
}

// expireQuarantine drops evidence that no longer counts, and logs quarantines that ended.
func (n *Node) expireQuarantine() {
	n.parts.Quarantine.Expire(n.now)
	var ended []uint64
	for fingerprint := range n.suspicions.verdicts {
		if !n.isQuarantined(fingerprint) {
			ended = append(ended, fingerprint)
		}
	}
	slices.Sort(ended)
	for _, fingerprint := range ended {
		delete(n.suspicions.verdicts, fingerprint)
		n.notice(gypsumrail.NoticeQuarantineEnded, gypsumrail.FormatFingerprint(fingerprint), gypsumrail.ReasonNone)
	}
}
