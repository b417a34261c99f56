package replay

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/core"
	"github.com/gypsumrail/gypsumrail/internal/lab/policy"
	"github.com/gypsumrail/gypsumrail/internal/lab/trace"
	"github.com/gypsumrail/gypsumrail/internal/node/setup"
)

// NodeResult summarizes the effects of one node for a recorded stream of events.
type NodeResult struct {
	Events   int
	Effects  map[gypsumrail.EffectKind]int
	Refusals map[gypsumrail.Reason]int
	Hash     uint64 // of all effects; tells whether two versions of the code decide the same
}

// RunNode replays the events of a Node trace. The node has the parts of policy
// "full", or those of a node for plain requests if the header says Plain.
func RunNode(file *trace.File) *NodeResult {
	node := newRecordedNode(file)
	result := &NodeResult{Effects: map[gypsumrail.EffectKind]int{}, Refusals: map[gypsumrail.Reason]int{}}
	digest := xxhash.New()
	encoder := json.NewEncoder(digest)
	for i := range file.Events {
		effects := node.Step(&file.Events[i])
		for j := range effects {
			result.Effects[effects[j].Kind]++
			if effects[j].Kind == gypsumrail.Refuse {
				result.Refusals[effects[j].Reason]++
			}
			_ = encoder.Encode(&effects[j]) // Encoding plain data into a hash cannot fail.
		}
	}
	result.Events = len(file.Events)
	result.Hash = digest.Sum64()
	return result
}

func newRecordedNode(file *trace.File) *core.Node {
	if file.Header.Plain {
		return setup.NewPlainNode(file.Header.Self, setup.PlainSettings{})
	}
	records := file.Records
	if records == nil {
		records = &gypsumrail.Records{}
	}
	full := policy.Full()
	return core.New(full.Settings, full.Parts(file.Header.Self, records))
}
