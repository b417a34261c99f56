// Package replay simulates a set of nodes in virtual time, with the workload and
// the faults of a scenario.
//
// Each target instance has its own reducer, built from the same parts as in a
// running node. The targets, the clients and the network are simulated; the
// network only adds constant delays. The simulation reads no clock, starts no
// goroutine and does not depend on the iteration order of a map. The same file
// and seed therefore always give the same result. RunNode, in contrast, passes the
// recorded events of one node to its reducer and simulates nothing.
package replay

import (
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/core"
	"github.com/gypsumrail/gypsumrail/internal/lab/counts"
	"github.com/gypsumrail/gypsumrail/internal/lab/fakes"
	"github.com/gypsumrail/gypsumrail/internal/lab/loads"
	"github.com/gypsumrail/gypsumrail/internal/lab/policy"
	"github.com/gypsumrail/gypsumrail/internal/lab/trace"
)

const (
	tickEvery   = loads.Micros(10_000)    // 10 ms, as in a running node
	reportEvery = loads.Micros(1_000_000) // 1 s; section 1 of the design states no interval for load reports
)

// simulation is the state of one replay.
type simulation struct {
	eventQueue
	file            *trace.File
	tally           *counts.Tally
	random          *rand.PCG
	nodes           []*node
	byName          map[string]*node
	byZone          map[string][]*node
	calls           map[gypsumrail.CallID]*call
	pendingResolves map[gypsumrail.CallID]pendingResolve
	lastID          gypsumrail.CallID
	localDelay      loads.Micros
	zoneDelay       loads.Micros
	clientDelay     loads.Micros
}

// node is the reducer of one target instance, with its fake target. It performs
// the effects of the reducer and is the fakes.Host of the target.
type node struct {
	simulation  *simulation
	self        gypsumrail.Instance
	core        *core.Node
	target      *fakes.Target
	keyedStatus map[string]int   // by idempotency key: status of the target's answer
	event       gypsumrail.Event // the event that the current step handles
}

// Run replays a scenario under one policy and returns the counts. The requests
// must come from loads.Requests with the same file and seed.
func Run(file *trace.File, requests []loads.Request, seed uint64, p policy.Policy) *counts.Tally {
	delays := file.Header.Delays
	s := &simulation{
		file:            file,
		tally:           counts.New(requests),
		random:          rand.NewPCG(seed, uint64(len(requests))),
		byName:          map[string]*node{},
		byZone:          map[string][]*node{},
		calls:           map[gypsumrail.CallID]*call{},
		pendingResolves: map[gypsumrail.CallID]pendingResolve{},
		localDelay:      loads.FromFloatMillis(delays.LocalMillis),
		zoneDelay:       loads.FromFloatMillis(delays.ZoneMillis),
		clientDelay:     loads.FromFloatMillis(delays.ClientMillis),
	}
	s.buildNodes(p)
	s.startClients(requests)
	// The replay ends at Until or at the latest deadline, whichever comes last.
	end := loads.FromMillis(file.Header.Until)
	for i := range requests {
		end = max(end, requests[i].Deadline())
	}
	s.runUntil(end)
	s.tally.Close()
	return s.tally
}

// instances returns the instance list that the platform would publish: one live
// instance for each target of the records.
func instances(records *gypsumrail.Records) []gypsumrail.Instance {
	var list []gypsumrail.Instance
	for i, name := range slices.Sorted(maps.Keys(records.Targets)) {
		target := records.Targets[name]
		list = append(list, gypsumrail.Instance{
			Name: name, Service: target.Service, Zone: target.Zone, Address: name,
			Incarnation: gypsumrail.Incarnation(i + 1), Version: 1, State: gypsumrail.Live,
		})
	}
	return list
}

// buildNodes creates a node for each target and queues its first events: the
// instance list and the records, the ticks and the load reports.
func (s *simulation) buildNodes(p policy.Policy) {
	list := instances(s.file.Records)
	for i := range list {
		n := &node{simulation: s, self: list[i], keyedStatus: map[string]int{}}
		n.core = core.New(p.Settings, p.Parts(list[i], s.file.Records))
		target := s.file.Records.Targets[list[i].Name]
		n.target = fakes.New(n, fakes.NewPlan(s.file, target), target.Conns)
		s.nodes = append(s.nodes, n)
		s.byName[n.self.Name] = n
		s.byZone[n.self.Zone] = append(s.byZone[n.self.Zone], n)
	}
	version := func(name gypsumrail.ValueName) gypsumrail.ValueVersion {
		return gypsumrail.ValueVersion{Name: name, Revision: 1, Hash: 1}
	}
	for i, n := range s.nodes {
		s.after(0, func() {
			n.step(gypsumrail.Event{Kind: gypsumrail.InstancesRead, Value: version(gypsumrail.ValueInstances), Instances: list})
			n.step(gypsumrail.Event{Kind: gypsumrail.RecordsRead, Value: version(gypsumrail.ValueRecords), Records: s.file.Records})
		})
		// The ticks and reports of the nodes are spread evenly over the interval, so
		// that the nodes do not act at the same times.
		s.after(tickEvery*loads.Micros(i)/loads.Micros(len(s.nodes)), n.tick)
		s.after(reportEvery*loads.Micros(i)/loads.Micros(len(s.nodes)), n.reportLoad)
	}
}

func (n *node) tick() {
	n.step(gypsumrail.Event{Kind: gypsumrail.Tick})
	n.simulation.after(tickEvery, n.tick)
}

func (n *node) reportLoad() {
	slots, busy := n.target.Report()
	n.step(gypsumrail.Event{Kind: gypsumrail.TargetReported, Slots: slots, Busy: busy})
	n.simulation.after(reportEvery, n.reportLoad)
}

// step passes an event to the reducer and performs the effects. Events that the
// effects cause are queued, so steps never nest.
func (n *node) step(e gypsumrail.Event) {
	e.At = n.simulation.now.Millis()
	e.Random = n.simulation.random.Uint64()
	n.event = e
	effects := n.core.Step(&n.event)
	for i := range effects {
		n.perform(&effects[i])
	}
}

// delay returns the one-way delay to a node, 0 to itself.
func (n *node) delay(to *node) loads.Micros {
	switch {
	case n == to:
		return 0
	case n.self.Zone == to.self.Zone:
		return n.simulation.localDelay
	}
	return n.simulation.zoneDelay
}

func (s *simulation) newID() gypsumrail.CallID {
	s.lastID++
	return s.lastID
}
