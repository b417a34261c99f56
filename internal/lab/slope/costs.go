package slope

import (
	"fmt"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/core"
	"github.com/gypsumrail/gypsumrail/ledger"
	"github.com/gypsumrail/gypsumrail/member"
	"github.com/gypsumrail/gypsumrail/record"
)

// fleetSizes are the numbers of instances at which costs that grow with the fleet
// are measured.
var fleetSizes = []int{80, 160, 320, 640}

// rumorCounts are the numbers of rumors, which are changed directory entries,
// that an exchange carries in each direction.
var rumorCounts = []int{0, 8, 16, 32}

// targetCallsPerNode is the number of calls per second that one node sends at
// the target size: 220,000 per second over 640 nodes. Each node receives as
// many, because each call has one sender and one receiver.
const targetCallsPerNode = 344

// Measures returns the costs that docs/CAPACITY.md states.
func Measures() []Measure {
	return []Measure{
		{"Directory", "heap bytes", "instance", fleetSizes, targetInstances, directoryHeap},
		{"Node with upstream lists and records", "heap bytes", "instance", fleetSizes, targetInstances, nodeHeap},
		{"Published records", "bytes", "instance", fleetSizes, targetInstances, func(n int) float64 { return float64(len(recordsJSON(n))) }},
		{"Parsing the records", "CPU us", "instance", fleetSizes, targetInstances, parseTime},
		{"Applying a changed directory", "CPU us", "instance", fleetSizes, targetInstances, applyTime},
		{"One second of ticks, idle", "CPU us", "instance", fleetSizes, targetInstances, tickTime},
		{"Exchange, decisions of both sides", "CPU us", "instance", fleetSizes, targetInstances, exchangeTime},
		{"Exchange on the wire, both ways", "bytes", "rumor", rumorCounts, 8, exchangeBytes},
		{"Exchange, client and server", "CPU us", "rumor", rumorCounts, 8, exchangeWireTime},
		{"Fetch of the records", "bytes", "instance", fleetSizes, targetInstances, pullBytes},
		{"Call, decisions of sender and receiver", "CPU us", "instance", fleetSizes, targetInstances, callTime},
		{"Calls in flight", "heap bytes", "call", []int{250, 500, 1000, 2000}, 2 * targetCallsPerNode, callHeap},
		{"Ledger of keys", "heap bytes", "key", []int{4096, 8192, 16384, 32768}, 131072, ledgerHeap},
	}
}

// directoryHeap returns the heap bytes of a directory of n instances.
func directoryHeap(n int) float64 {
	list := instances(n)
	return heapBytes(func() any {
		d := member.New(list[0], member.Settings{})
		d.Merge(0, list)
		d.Upstreams(list[0].Service)
		return d
	})
}

// nodeHeap returns the heap bytes of a node in a fleet of n instances.
func nodeHeap(n int) float64 {
	return heapBytes(func() any { return firstNode(n) })
}

// parseTime returns the microseconds of processor time that parsing the records
// takes.
func parseTime(n int) float64 {
	text := recordsJSON(n)
	return cpuMicros(20, func() {
		if _, err := record.Parse("fleet", text, record.Options{}); err != nil {
			panic(err)
		}
	})
}

// applyTime returns the microseconds of processor time that one changed directory
// entry costs. The node rebuilds its upstream lists for it.
func applyTime(n int) float64 {
	node := firstNode(n)
	changed := instances(n)[1]
	at := gypsumrail.Millis(1000)
	return cpuMicros(200, func() {
		at += 200
		changed.Version++
		node.Step(&gypsumrail.Event{Kind: gypsumrail.Exchanged, At: at, Exchange: &gypsumrail.Exchange{
			From: changed, Answer: true, Entries: []gypsumrail.Instance{changed},
		}, Call: 1})
	})
}

// tickTime returns the microseconds of processor time that 100 ticks, 10 ms
// apart, cost an idle node.
func tickTime(n int) float64 {
	node := firstNode(n)
	at := gypsumrail.Millis(1000)
	return cpuMicros(200, func() {
		for range 100 {
			at += 10
			node.Step(&gypsumrail.Event{Kind: gypsumrail.Tick, At: at, Random: uint64(at)})
		}
	})
}

// exchangeTime returns the microseconds of processor time that the reducers of
// two nodes take for one exchange, if their directories agree.
func exchangeTime(n int) float64 {
	list, parsed := instances(n), records(n)
	a, b := newNode(list, 0, parsed), newNode(list, 1, parsed)
	at := gypsumrail.Millis(1000)
	sentExchange := func(effects []gypsumrail.Effect) *gypsumrail.Exchange {
		for _, effect := range effects {
			if effect.Kind == gypsumrail.SendExchange {
				return effect.Exchange
			}
		}
		return nil
	}
	return cpuMicros(500, func() {
		at += gypsumrail.Second
		question := sentExchange(a.Step(&gypsumrail.Event{Kind: gypsumrail.Tick, At: at, Random: uint64(at)}))
		if question == nil {
			return
		}
		answer := sentExchange(b.Step(&gypsumrail.Event{Kind: gypsumrail.Exchanged, At: at, Call: 1, Exchange: question}))
		if answer != nil {
			a.Step(&gypsumrail.Event{Kind: gypsumrail.Exchanged, At: at, Exchange: answer})
		}
	})
}

// callDriver passes calls through the sender role and the receiver role of one
// node.
type callDriver struct {
	node         *core.Node
	at           gypsumrail.Millis
	next         gypsumrail.CallID
	arrivalEvent gypsumrail.Event
	arrival      gypsumrail.Arrival
	resultEvent  gypsumrail.Event
	result       gypsumrail.Result
	request      string
}

func newCallDriver(n int) *callDriver {
	c := &callDriver{node: firstNode(n), at: 1000, request: "request-1"}
	c.arrival = gypsumrail.Arrival{Origin: gypsumrail.FromCaller, Service: serviceName(0), Class: "class-00", Request: c.request, Attempt: 1}
	c.result = gypsumrail.Result{Outcome: gypsumrail.Ran, Status: 200}
	return c
}

// send starts a call. It returns the ID of the call and whether the node
// forwarded it to another instance instead of its own target.
func (c *callDriver) send() (gypsumrail.CallID, bool) {
	c.next++
	c.arrivalEvent = gypsumrail.Event{Kind: gypsumrail.CallArrived, At: c.at, Random: uint64(c.next) * 0x9e3779b97f4a7c15, Call: c.next, Arrival: &c.arrival}
	for _, effect := range c.node.Step(&c.arrivalEvent) {
		if effect.Kind == gypsumrail.Forward {
			return c.next, true
		}
	}
	return c.next, false
}

// finish reports the result of a call to the node.
func (c *callDriver) finish(call gypsumrail.CallID, forwarded bool) {
	kinds := []gypsumrail.EventKind{gypsumrail.TargetAnswered, gypsumrail.TargetDone, gypsumrail.AnswerDone}
	if forwarded {
		kinds = []gypsumrail.EventKind{gypsumrail.AttemptAnswered, gypsumrail.AnswerDone}
	}
	for _, kind := range kinds {
		c.resultEvent = gypsumrail.Event{Kind: kind, At: c.at, Call: call, Attempt: 1, Result: &c.result}
		c.node.Step(&c.resultEvent)
	}
}

// callTime returns the microseconds of processor time that a node takes to send
// one call and to receive one.
func callTime(n int) float64 {
	c := newCallDriver(n)
	fromPeer := gypsumrail.Arrival{
		Origin: gypsumrail.FromPeer, Service: serviceName(0), Class: "class-00", Request: "request-2", Attempt: 1, Remaining: 3000, From: "service-00-001",
	}
	return cpuMicros(20000, func() {
		c.at++
		call, forwarded := c.send()
		c.finish(call, forwarded)
		c.next++
		c.arrivalEvent = gypsumrail.Event{Kind: gypsumrail.CallArrived, At: c.at, Random: uint64(c.next), Call: c.next, Arrival: &fromPeer}
		c.node.Step(&c.arrivalEvent)
		for _, kind := range []gypsumrail.EventKind{gypsumrail.TargetAnswered, gypsumrail.TargetDone} {
			c.resultEvent = gypsumrail.Event{Kind: kind, At: c.at, Call: c.next, Result: &c.result}
			c.node.Step(&c.resultEvent)
		}
	})
}

// callHeap returns the heap bytes that a node uses for n calls that are not
// answered yet.
func callHeap(n int) float64 {
	c := newCallDriver(80)
	return heapBytes(func() any {
		for i := range n {
			c.arrival.Request = fmt.Sprintf("request-%d", i)
			c.send()
		}
		return c
	})
}

// ledgerHeap returns the heap bytes of a ledger with n keys.
func ledgerHeap(n int) float64 {
	self := instances(1)[0]
	return heapBytes(func() any {
		l := ledger.New(self, ledger.Settings{})
		for i := range n {
			l.Start(0, gypsumrail.Key{Home: self.Name, Incarnation: self.Incarnation, Nonce: fmt.Sprintf("%032x", i)}, 257)
		}
		return l
	})
}
