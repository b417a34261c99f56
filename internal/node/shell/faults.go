package shell

import (
	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/client"
	"github.com/gypsumrail/gypsumrail/internal/node/events"
	"github.com/gypsumrail/gypsumrail/internal/node/form"
)

// Hop is where a node reads answers. It is a label value of metrics.
type Hop string

// The hops.
const (
	HopTarget  Hop = "target"  // answers of the own target
	HopPeer    Hop = "peer"    // answers of other nodes to calls
	HopControl Hop = "control" // answers of other nodes to control messages, and of the platform under gypsumrail node
	HopStore   Hop = "store"   // answers of the platform's store
)

// Faults counts and logs the answers that are refused for their form. It is safe for
// concurrent use.
type Faults struct {
	Log   *events.Log
	Meter Meter
}

// faultTextMax bounds the text of an error in a log line. It may quote a whole head.
const faultTextMax = 200

// Report counts and logs an answer if the error says that it was refused for its form. The
// subject is the identity of the request, or the address that answered if it has none.
func (f Faults) Report(hop Hop, subject, from string, err error) {
	fault, ok := form.FaultOf(err)
	if !ok {
		return
	}
	f.Meter.RecordFault(hop, fault)
	text := err.Error()
	f.Log.Put(NoticeAnswerMalformed, subject, gypsumrail.ReasonBroken,
		"Hop="+string(hop)+" From="+from+" Fault="+string(fault)+" Error="+text[:min(len(text), faultTextMax)])
}

// Observer returns an observer that reports the answers at a hop.
func (f Faults) Observer(hop Hop) client.Observer {
	return func(address string, err error) { f.Report(hop, address, address, err) }
}
