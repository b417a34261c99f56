package slope

import (
	"fmt"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/core"
	"github.com/gypsumrail/gypsumrail/ledger"
	"github.com/gypsumrail/gypsumrail/member"
	"github.com/gypsumrail/gypsumrail/record"
)

// fleetSizes are the sizes at which costs that grow with the fleet are measured.
var fleetSizes = []int{80, 160, 320, 640}

// rumorSizes are the numbers of changed entries in each direction of an exchange.
var rumorSizes = []int{0, 8, 16, 32}

// targetCallsPerNode is the share of one node in the calls of the target size,
// 220,000 a second over 640 nodes. Each call is sent by one node and received by one.
const targetCallsPerNode = 344

// Measures returns the costs that docs/CAPACITY.md states.
func Measures() []Measure {
	return []Measure{
		{"Directory", "heap bytes", "instance", fleetSizes, targetInstances, directoryHeap},
		{"Node with upstream lists and records", "heap bytes", "instance", fleetSizes, targetInstances, nodeHeap},
		{"Published records", "bytes", "instance", fleetSizes, targetInstances, func(n int) float64 { return float64(len(recordText(n))) }},
		{"Parsing the records", "CPU us", "instance", fleetSizes, targetInstances, parseTime},
		{"Applying a changed directory", "CPU us", "instance", fleetSizes, targetInstances, applyTime},
		{"One second of ticks, idle", "CPU us", "instance", fleetSizes, targetInstances, tickTime},
		{"Exchange, decisions of both sides", "CPU us", "instance", fleetSizes, targetInstances, exchangeTime},
		{"Exchange on the wire, both ways", "bytes", "rumor", rumorSizes, 8, exchangeBytes},
		{"Exchange, client and server", "CPU us", "rumor", rumorSizes, 8, exchangeWireTime},
		{"Fetch of the records", "bytes", "instance", fleetSizes, targetInstances, pullBytes},
		{"Call, decisions of sender and receiver", "CPU us", "instance", fleetSizes, targetInstances, callTime},
		{"Calls in flight", "heap bytes", "call", []int{250, 500, 1000, 2000}, 2 * targetCallsPerNode, callHeap},
		{"Ledger of keys", "heap bytes", "key", []int{4096, 8192, 16384, 32768}, 131072, ledgerHeap},
	}
}

func directoryHeap(n int) float64 {
	list := instances(n)
	return heapOf(func() any {
		d := member.New(list[0], member.Settings{})
		d.Merge(0, list)
		d.Upstreams(list[0].Service)
		return d
	})
}

func nodeHeap(n int) float64 {
	return heapOf(func() any { return node(n) })
}

func parseTime(n int) float64 {
	text := recordText(n)
	return cpuOf(20, func() {
		if _, err := record.Parse("fleet", text, record.Options{}); err != nil {
			panic(err)
		}
	})
}

// applyTime is the cost of one changed entry: the upstream lists are built anew.
func applyTime(n int) float64 {
	built := node(n)
	changed := instances(n)[1]
	at := gypsumrail.Millis(1000)
	return cpuOf(200, func() {
		at += 200
		changed.Version++
		built.Step(&gypsumrail.Event{Kind: gypsumrail.Exchanged, At: at, Exchange: &gypsumrail.Exchange{
			From: changed, Answer: true, Entries: []gypsumrail.Instance{changed},
		}, Call: 1})
	})
}

func tickTime(n int) float64 {
	built := node(n)
	at := gypsumrail.Millis(1000)
	return cpuOf(200, func() {
		for range 100 {
			at += 10
			built.Step(&gypsumrail.Event{Kind: gypsumrail.Tick, At: at, Random: uint64(at)})
		}
	})
}

// exchangeTime runs whole exchanges between two nodes that agree.
func exchangeTime(n int) float64 {
	list, known := instances(n), records(n)
	a, b := nodeOf(list, 0, known), nodeOf(list, 1, known)
	at := gypsumrail.Millis(1000)
	first := func(effects []gypsumrail.Effect) *gypsumrail.Exchange {
		for _, effect := range effects {
			if effect.Kind == gypsumrail.SendExchange {
				return effect.Exchange
			}
		}
		return nil
	}
	return cpuOf(500, func() {
		at += gypsumrail.Second
		question := first(a.Step(&gypsumrail.Event{Kind: gypsumrail.Tick, At: at, Random: uint64(at)}))
		if question == nil {
			return
		}
		answer := first(b.Step(&gypsumrail.Event{Kind: gypsumrail.Exchanged, At: at, Call: 1, Exchange: question}))
		if answer != nil {
			a.Step(&gypsumrail.Event{Kind: gypsumrail.Exchanged, At: at, Exchange: answer})
		}
	})
}

// caller drives whole calls through the sender role of one node and the
// receiver role of the same one.
type caller struct {
	node    *core.Node
	at      gypsumrail.Millis
	next    gypsumrail.CallID
	arrive  gypsumrail.Event
	arrival gypsumrail.Arrival
	answer  gypsumrail.Event
	result  gypsumrail.Result
	request string
}

func newCaller(n int) *caller {
	c := &caller{node: node(n), at: 1000, request: "request-1"}
	c.arrival = gypsumrail.Arrival{Origin: gypsumrail.FromCaller, Service: serviceName(0), Class: "class-00", Request: c.request, Attempt: 1}
	c.result = gypsumrail.Result{Outcome: gypsumrail.Ran, Status: 200}
	return c
}

// send starts a call and returns its identity and whether it was forwarded.
func (c *caller) send() (gypsumrail.CallID, bool) {
	c.next++
	c.arrive = gypsumrail.Event{Kind: gypsumrail.CallArrived, At: c.at, Random: uint64(c.next) * 0x9e3779b97f4a7c15, Call: c.next, Arrival: &c.arrival}
	for _, effect := range c.node.Step(&c.arrive) {
		if effect.Kind == gypsumrail.Forward {
			return c.next, true
		}
	}
	return c.next, false
}

func (c *caller) finish(call gypsumrail.CallID, forwarded bool) {
	kinds := []gypsumrail.EventKind{gypsumrail.TargetAnswered, gypsumrail.TargetDone, gypsumrail.AnswerDone}
	if forwarded {
		kinds = []gypsumrail.EventKind{gypsumrail.AttemptAnswered, gypsumrail.AnswerDone}
	}
	for _, kind := range kinds {
		c.answer = gypsumrail.Event{Kind: kind, At: c.at, Call: call, Attempt: 1, Result: &c.result}
		c.node.Step(&c.answer)
	}
}

func callTime(n int) float64 {
	c := newCaller(n)
	received := gypsumrail.Arrival{
		Origin: gypsumrail.FromPeer, Service: serviceName(0), Class: "class-00", Request: "request-2", Attempt: 1, Remaining: 3000, From: "service-00-001",
	}
	return cpuOf(20000, func() {
		c.at++
		call, forwarded := c.send()
		c.finish(call, forwarded)
		c.next++
		c.arrive = gypsumrail.Event{Kind: gypsumrail.CallArrived, At: c.at, Random: uint64(c.next), Call: c.next, Arrival: &received}
		c.node.Step(&c.arrive)
		for _, kind := range []gypsumrail.EventKind{gypsumrail.TargetAnswered, gypsumrail.TargetDone} {
			c.answer = gypsumrail.Event{Kind: kind, At: c.at, Call: c.next, Result: &c.result}
			c.node.Step(&c.answer)
		}
	})
}

// callHeap is what a node holds for calls that were sent and not answered.
func callHeap(n int) float64 {
	c := newCaller(80)
	return heapOf(func() any {
		for i := range n {
			c.arrival.Request = fmt.Sprintf("request-%d", i)
			c.send()
		}
		return c
	})
}

func ledgerHeap(n int) float64 {
	self := instances(1)[0]
	return heapOf(func() any {
		l := ledger.New(self, ledger.Settings{})
		for i := range n {
			l.Start(0, gypsumrail.Key{Home: self.Name, Incarnation: self.Incarnation, Nonce: fmt.Sprintf("%032x", i)}, 257)
		}
		return l
	})
}
