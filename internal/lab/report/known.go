package report

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/gypsumrail/gypsumrail/internal/lab/trace"
)

// Known is the outcomes that are known not to be met, by trace and measure. The
// value tells whether the miss was seen.
type Known map[string]bool

// knownPrefix starts the lines of KNOWN-RED.txt that name an outcome; the other
// lines are for people and for tests.
const knownPrefix = "outcome "

// ReadKnown reads a list of known misses: lines "outcome TRACE MEASURE", with
// whatever explanation follows.
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
		return nil, fmt.Errorf("known misses: %w", err)
	}
	return known, nil
}

// Has tells whether a miss is listed, and notes that it was seen.
func (k Known) Has(m Miss) bool {
	key := knownKey(m.Trace, m.Measure)
	_, ok := k[key]
	if ok {
		k[key] = true
	}
	return ok
}

// Unseen returns the listed outcomes of a trace that were not missed, in order.
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
