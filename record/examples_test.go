package record_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/record"
)

// size is the number of upstreams of a service, and the slots and connections of
// each, as section 1 of docs/design.md states them.
type size struct{ Upstreams, Slots, Conns int }

// Fails if a node of either schema version rejects an example, if its sizes differ
// from those of docs/design.md, or if it has no chain of three services.
func TestExamples(t *testing.T) {
	tests := []struct {
		name  string
		zones int
		delay gypsumrail.Millis
		sizes map[string]size
	}{
		{"tapak", 3, 1, map[string]size{"cutlist": {4, 170, 1100}, "ordering": {3, 220, 1400}, "drawings": {3, 220, 1400}, "quoting": {3, 40, 340}}},
		// The page states 1.5 ms between zones, rounded up here because records have
		// whole milliseconds, and under 20 slots for gatehouse.
		{"tsagaan", 4, 2, map[string]size{"yardview": {4, 75, 550}, "lotdesk": {4, 75, 550}, "gradebook": {5, 60, 460}, "gatehouse": {4, 18, 200}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			data, err := os.ReadFile(filepath.Join("..", "examples", test.name, "records.json"))
			if err != nil {
				t.Fatal(err)
			}
			for schemaMax := 1; schemaMax <= record.SchemaMax; schemaMax++ {
				records, err := record.Parse(test.name, data, record.Options{SchemaMax: schemaMax})
				if err != nil {
					t.Fatalf("schema versions up to %d: %v", schemaMax, err)
				}
				sizes, zones := map[string]size{}, map[string]bool{}
				for _, target := range records.Targets {
					sizes[target.Service] = size{sizes[target.Service].Upstreams + 1, target.Slots, target.Conns}
					zones[target.Zone] = true
				}
				if diff := cmp.Diff(test.sizes, sizes); diff != "" || len(zones) != test.zones {
					t.Errorf("%d zones; sizes (-want +got):\n%s", len(zones), diff)
				}
				deepest := 0
				for name, service := range records.Services {
					deepest = max(deepest, depth(records, name))
					if schemaMax > 1 && service.ZoneDelay != test.delay {
						t.Errorf("service %s: zone delay %d ms", name, service.ZoneDelay)
					}
				}
				if deepest < 3 {
					t.Errorf("the deepest chain has %d services", deepest)
				}
			}
		})
	}
}

// depth returns the number of services on the longest chain of calls from a service.
func depth(records *gypsumrail.Records, service string) int {
	longest := 0
	for _, next := range records.Services[service].Dependencies {
		longest = max(longest, depth(records, next))
	}
	return longest + 1
}
