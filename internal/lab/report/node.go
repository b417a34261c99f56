package report

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/gypsumrail/gypsumrail/internal/lab/replay"
	"github.com/gypsumrail/gypsumrail/internal/lab/trace"
)

// WriteNode writes the result of replaying the recorded events of one node: the
// hash of its effects, and counts of effects by kind and of refusals by reason.
func WriteNode(w io.Writer, file *trace.File, r *replay.NodeResult) {
	fmt.Fprintf(w, "%s: %d events of node %s, effects hash to %016x\n", file.Header.Name, r.Events, file.Header.Self.Name, r.Hash)
	for _, kind := range slices.Sorted(maps.Keys(r.Effects)) {
		fmt.Fprintf(w, "  %-16s%8d\n", kind, r.Effects[kind])
	}
	for _, reason := range slices.Sorted(maps.Keys(r.Refusals)) {
		fmt.Fprintf(w, "  refused %-14s%8d\n", reason, r.Refusals[reason])
	}
}
