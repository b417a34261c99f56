package core_test

import (
	"fmt"
	"testing"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/core"
	"github.com/gypsumrail/gypsumrail/internal/node/setup"
)

// benchNode returns a node of the service front that knows n instances of each
// service.
func benchNode(n int) *core.Node {
	records := labRecords(64)
	var list []gypsumrail.Instance
	for _, service := range labServices {
		for i := range n {
			list = append(list, gypsumrail.Instance{
				Name: fmt.Sprintf("%s-%d", service, i), Service: service, Zone: "z0",
				Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), Incarnation: 1 << 20, State: gypsumrail.Live,
			})
		}
	}
	node := setup.NewNode(list[0], core.Settings{}, setup.Settings{})
	node.Step(&gypsumrail.Event{Kind: gypsumrail.RecordsRead, Records: records, Value: gypsumrail.ValueVersion{Name: gypsumrail.ValueRecords, Revision: 1}})
	node.Step(&gypsumrail.Event{Kind: gypsumrail.InstancesRead, Instances: list, Value: gypsumrail.ValueVersion{Name: gypsumrail.ValueInstances, Revision: 1}})
	return node
}

// BenchmarkSend measures the three steps of a call of an external caller that is
// forwarded to another node.
func BenchmarkSend(b *testing.B) {
	for _, n := range []int{10, 40, 160, 640} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			node := benchNode(n)
			arrival := gypsumrail.Arrival{Origin: gypsumrail.FromCaller, Service: "middle", Class: "Read", Request: "r", Attempt: 1}
			result := gypsumrail.Result{Outcome: gypsumrail.Ran, Status: 200}
			var event gypsumrail.Event
			at, call := gypsumrail.Second, gypsumrail.CallID(0)
			b.ReportAllocs()
			for b.Loop() {
				at, call = at+1, call+1
				event = gypsumrail.Event{Kind: gypsumrail.CallArrived, At: at, Random: uint64(call) * 0x9e3779b97f4a7c15, Call: call, Arrival: &arrival}
				node.Step(&event)
				event = gypsumrail.Event{Kind: gypsumrail.AttemptAnswered, At: at, Call: call, Attempt: 1, Result: &result}
				node.Step(&event)
				event = gypsumrail.Event{Kind: gypsumrail.AnswerDone, At: at, Call: call, Result: &result}
				node.Step(&event)
			}
		})
	}
}

// BenchmarkServe measures the three steps of a forwarded call that runs on the
// own target.
func BenchmarkServe(b *testing.B) {
	node := benchNode(10)
	arrival := gypsumrail.Arrival{
		Origin: gypsumrail.FromPeer, Service: "front", Class: "Read", Request: "r", Attempt: 1, Remaining: 2000, From: "front-1",
	}
	result := gypsumrail.Result{Outcome: gypsumrail.Ran, Status: 200}
	var event gypsumrail.Event
	at, call := gypsumrail.Second, gypsumrail.CallID(0)
	b.ReportAllocs()
	for b.Loop() {
		at, call = at+1, call+1
		event = gypsumrail.Event{Kind: gypsumrail.CallArrived, At: at, Call: call, Arrival: &arrival}
		node.Step(&event)
		event = gypsumrail.Event{Kind: gypsumrail.TargetAnswered, At: at, Call: call, Result: &result}
		node.Step(&event)
		event = gypsumrail.Event{Kind: gypsumrail.TargetDone, At: at, Call: call, Result: &result}
		node.Step(&event)
	}
}
