package report

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/gypsumrail/gypsumrail/internal/lab/trace"
)

// Known holds the outcomes that are known not to be met, by trace and measure
// (see knownKey). The value becomes true when MarkSeen finds the miss.
type Known map[string]bool

// knownPrefix starts each line of KNOWN-RED.txt that names an outcome. Other
// lines are explanations or name tests.
const knownPrefix = "outcome "

// ReadKnown reads the lines "outcome TRACE MEASURE" of a list of known misses. It
// ignores the rest of such a line and all other lines.
func ReadKnown(r io.Reader) (Known, error) {
	known := Known{}
	scanner := bufio.NewScanner(r)
	for line := 1; scanner.Scan(); line++ {
		rest, ok := strings.CutPrefix(scanner.Text(), knownPrefix)
		if !ok {
			continue
		}
		fields := strings.Fields(rest)
		if len(fields) < 2 {
			return nil, fmt.Errorf("line %d: want 'outcome TRACE MEASURE'", line)
		}
		known[knownKey(fields[0], trace.Measure(strings.TrimSuffix(fields[1], ":")))] = false
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read the list of known misses: %w", err)
	}
	return known, nil
}

// MarkSeen reports whether a miss is listed. If so, Unseen no longer returns it.
func (k Known) MarkSeen(m Miss) bool {
	key := knownKey(m.Trace, m.Measure)
	_, ok := k[key]
	if ok {
		k[key] = true
	}
	return ok
}

// Unseen returns the measures that are listed for a trace but for which MarkSeen
// has found no miss, in sorted order.
func (k Known) Unseen(name string) []string {
	var unseen []string
	for key, seen := range k {
		if measure, ok := strings.CutPrefix(key, name+" "); ok && !seen {
			unseen = append(unseen, measure)
		}
	}
	slices.Sort(unseen)
	return unseen
}

func knownKey(name string, measure trace.Measure) string { return name + " " + string(measure) }
