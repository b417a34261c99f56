package core_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/core"
	"github.com/gypsumrail/gypsumrail/internal/node/setup"
	"github.com/gypsumrail/gypsumrail/member"
)

const (
	// exchangeDelay is the time of a control message from node to node.
	exchangeDelay = 10 * gypsumrail.Millis(1)
	// evidenceDeadline is the time after the last crash by which the users' rule counts
	// further sends of the request.
	evidenceDeadline = 3 * gypsumrail.Second
	guilty           = uint64(7)
	// exchangeBytes is the size of a control message without evidence, of which the
	// hashes of the directory take most.
	exchangeBytes = 700
	// controlBytesMax is the bound of the target size, in bytes a second.
	controlBytesMax = 12_000
)

// mesh is a fleet of nodes without calls that exchange control messages in virtual time.
type mesh struct {
	random *rand.Rand
	now    gypsumrail.Millis
	nodes  []*core.Node
	selves []gypsumrail.Instance
	cut    []bool // by node: it gets and sends nothing
	index  map[string]int
	queue  map[gypsumrail.Millis][]message

	sent         int // control messages
	fingerprints int // in these messages
	inOne        int // most in one message
}

type message struct {
	to    int
	event *gypsumrail.Event
}

func newMesh(n int, seed uint64) *mesh {
	m := &mesh{random: rand.New(rand.NewPCG(seed, 27)), index: map[string]int{}, queue: map[gypsumrail.Millis][]message{}, cut: make([]bool, n)}
	for i := range n {
		self := gypsumrail.Instance{
			Name: fmt.Sprintf("n%d", i), Service: fmt.Sprintf("s%d", i%53), Zone: fmt.Sprintf("z%d", i%6),
			Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), State: gypsumrail.Live, Slots: 8, Incarnation: 1,
		}
		m.index[self.Address] = i
		m.selves = append(m.selves, self)
		m.nodes = append(m.nodes, nil)
	}
	for i := range n {
		m.start(i)
	}
	return m
}

// start starts a node without state, or starts it again.
func (m *mesh) start(i int) {
	parts := setup.New(m.selves[i], setup.Settings{})
	parts.Directory = member.NewListed(m.selves[i])
	m.nodes[i] = core.New(core.Settings{GossipEvery: -1, GossipAway: 300}, parts)
	m.step(i, &gypsumrail.Event{Kind: gypsumrail.RecordsRead, Value: gypsumrail.ValueVersion{Name: gypsumrail.ValueRecords, Revision: 1}, Records: &gypsumrail.Records{Revision: 1}})
	m.step(i, &gypsumrail.Event{
		Kind: gypsumrail.InstancesRead, Instances: slices.Clone(m.selves), Value: gypsumrail.ValueVersion{Name: gypsumrail.ValueInstances, Revision: 1},
	})
}

// step gives an event to a node and sends the control messages that it returns.
func (m *mesh) step(i int, event *gypsumrail.Event) {
	event.At, event.Random = m.now, m.random.Uint64()
	for _, e := range m.nodes[i].Step(event) {
		if e.Kind != gypsumrail.SendExchange || m.cut[i] {
			continue
		}
		m.sent++
		count := 0
		for _, c := range e.Exchange.Evidence.Crashes {
			count += len(c.Requests)
		}
		for _, c := range e.Exchange.Evidence.Completions {
			count += len(c.Requests)
		}
		m.fingerprints += count
		m.inOne = max(m.inOne, count)
		exchange := *e.Exchange
		reply := gypsumrail.CallID(i + 1) // a request: its answer goes to this node
		if e.Call != 0 {
			reply = 0
		}
		to := m.index[e.To.Address]
		at := m.now + exchangeDelay
		m.queue[at] = append(m.queue[at], message{to, &gypsumrail.Event{Kind: gypsumrail.Exchanged, Call: reply, Peer: exchange.From, Exchange: &exchange}})
	}
}

// run advances the time, with a tick of each node every 100 ms.
func (m *mesh) run(d gypsumrail.Millis) {
	for end := m.now + d; m.now < end; {
		m.now += exchangeDelay
		due := m.queue[m.now]
		delete(m.queue, m.now)
		for _, message := range due {
			if !m.cut[message.to] {
				m.step(message.to, message.event)
			}
		}
		if m.now%100 == 0 {
			for i := range m.nodes {
				m.step(i, &gypsumrail.Event{Kind: gypsumrail.Tick})
			}
		}
	}
}

// crash tells a node of two crashes under the guilty request, the second on trial, with
// innocent requests beside it.
func (m *mesh) crash(i int) {
	requests := []uint64{guilty}
	for range 99 {
		requests = append(requests, m.random.Uint64())
	}
	m.step(i, &gypsumrail.Event{Kind: gypsumrail.Exchanged, Peer: m.selves[i], Exchange: &gypsumrail.Exchange{
		From: m.selves[i], Answer: true, Evidence: gypsumrail.Evidence{Crashes: []gypsumrail.Crash{
			{Address: m.selves[0].Address, Age: 500, Requests: requests},
			{Address: m.selves[1].Address, Requests: requests[:1], OnTrial: true},
		}},
	}})
}

// ignorant returns the number of nodes that may run the guilty request.
func (m *mesh) ignorant() int {
	count := 0
	for _, node := range m.nodes {
		judgments := node.Status().Judgments
		if len(judgments) == 0 || judgments[0].Fingerprint != guilty || judgments[0].Standing != gypsumrail.Quarantined {
			count++
		}
	}
	return count
}

// Guards against nodes that go on sending a request that others have quarantined: they missed
// the news, were cut off from all others, or started later. The fleet has the target size. A
// request runs only if both its sender and the node beside the target do not know, so that of
// requests that come 10 times a second one in 10,000 does with the bound here.
func TestEvidenceReachesAll(t *testing.T) {
	for _, fleet := range []struct {
		n     int
		seeds uint64
	}{{13, 3}, {195, 2}, {640, 1}} {
		for seed := range fleet.seeds {
			n := fleet.n
			t.Run(fmt.Sprintf("%d nodes/seed %d", n, seed), func(t *testing.T) {
				t.Parallel()
				m := newMesh(n, seed)
				m.run(2 * gypsumrail.Second)
				for i := range n / 10 {
					m.cut[n-1-i] = true
				}
				m.crash(n / 2)
				m.run(evidenceDeadline)
				if got := m.ignorant() - n/10; got > n/100 {
					t.Errorf("%d nodes besides those cut off do not know after %d ms, want at most %d", got, evidenceDeadline, n/100)
				}
				clear(m.cut)
				m.start(0)
				m.run(evidenceDeadline)
				if got := m.ignorant(); got > n/100 {
					t.Errorf("%d nodes do not know %d ms after the cut and a restart, want at most %d", got, evidenceDeadline, n/100)
				}
				m.run(evidenceDeadline)
				if got := m.ignorant(); got != 0 {
					t.Errorf("%d nodes do not know %d ms after the cut and a restart", got, 2*evidenceDeadline)
				}
				rate := (m.sent*exchangeBytes + m.fingerprints*8) / n / int(m.now/gypsumrail.Second)
				t.Logf("%d messages, %d fingerprints in them, at most %d in one; %d bytes a second from each node", m.sent, m.fingerprints, m.inOne, rate)
				if rate > controlBytesMax {
					t.Errorf("a node sends %d bytes a second, want at most %d", rate, controlBytesMax)
				}
			})
		}
	}
}

// Guards against a request that runs again because many nodes start at once: a node that
// has just started must not take the answer of another such node for all that is known.
func TestStartedNodesAsk(t *testing.T) {
	for seed := range uint64(3) {
		const n = 195
		m := newMesh(n, seed)
		m.run(gypsumrail.Second)
		m.crash(n / 2)
		m.run(evidenceDeadline)
		for i := range n / 2 {
			m.start(2 * i)
		}
		m.run(gypsumrail.Second / 10)
		// A request runs only if both of its nodes do not know.
		if got := m.ignorant(); got > n/10 {
			t.Errorf("seed %d: %d of %d nodes do not know 100 ms after half of them started, want at most a tenth", seed, got, n)
		}
		m.run(gypsumrail.Second)
		if got := m.ignorant(); got > n/100 {
			t.Errorf("seed %d: %d nodes do not know a second later, want at most %d", seed, got, n/100)
		}
	}
}
