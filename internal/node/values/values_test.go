package values_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/values"
)

func records(revision gypsumrail.Revision, hash uint64) gypsumrail.ValueVersion {
	return gypsumrail.ValueVersion{Name: gypsumrail.ValueRecords, Revision: revision, Hash: hash}
}

func listAt(era, revision uint64) gypsumrail.ValueVersion {
	return gypsumrail.ValueVersion{Name: gypsumrail.ValueInstances, Revision: gypsumrail.Revision(gypsumrail.Position(era, revision))}
}

// Guards against a fetch that is repeated while it runs, or not repeated after it
// failed. Also guards against the adoption of an older, refused or implausibly high
// version.
func TestSteps(t *testing.T) {
	const far = 7 + 1<<20
	type step struct {
		call    string // Wants, Adopt, Refuse, Missing
		at      gypsumrail.Millis
		version gypsumrail.ValueVersion
		peer    bool
		want    bool
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"one fetch at a time", []step{{"Wants", 0, records(7, 1), true, true}, {"Wants", 1, records(7, 1), true, false},
			{"Wants", 1, records(7, 1), false, false}, {"Wants", 1, records(6, 1), true, false}, {"Wants", 1, records(8, 1), true, true}}},
		{"failed fetch", []step{{"Wants", 0, records(7, 1), true, true}, {"Wants", 1999, records(7, 1), true, false},
			{"Wants", 2000, records(6, 1), true, true}}},
		{"adopted once", []step{{"Adopt", 0, records(7, 1), true, true}, {"Adopt", 0, records(7, 1), true, false},
			{"Adopt", 0, records(6, 9), false, false}, {"Wants", 0, records(7, 1), true, false}, {"Wants", 0, records(8, 1), true, true}}},
		{"a late adoption keeps the fetch of a higher version", []step{{"Wants", 0, records(9, 1), true, true}, {"Adopt", 1, records(8, 1), true, true},
			{"Wants", 1, records(9, 1), true, false}}},
		{"hash breaks ties", []step{{"Adopt", 0, records(7, 1), true, true}, {"Adopt", 0, records(7, 2), true, true}, {"Adopt", 0, records(7, 1), true, false}}},
		{"jump", []step{{"Adopt", 0, records(7, 1), true, true}, {"Wants", 0, records(far+1, 1), true, false}, {"Adopt", 0, records(far+1, 1), true, false},
			{"Adopt", 0, records(1<<63, 1), true, false}, {"Wants", 0, records(far, 1), true, true}, {"Adopt", 0, records(far, 1), true, true}}},
		{"jump of the platform", []step{{"Adopt", 0, records(7, 1), true, true}, {"Wants", 0, records(far+1, 1), false, true}, {"Adopt", 0, records(far+1, 1), false, true}}},
		{"jump with nothing in force", []step{{"Wants", 0, records(far+1, 1), true, true}, {"Adopt", 0, records(far+1, 1), true, true}}},
		{"a later era of a peer's list", []step{{"Adopt", 0, listAt(1, 90), true, true}, {"Wants", 0, listAt(2, 8), true, true}, {"Adopt", 0, listAt(2, 8), true, true},
			{"Adopt", 0, listAt(1, 99), true, false}, {"Adopt", 0, listAt(66, 1), true, true}, {"Adopt", 0, listAt(131, 1), true, false}}},
		{"revision zero", []step{{"Wants", 0, records(0, 9), false, false}, {"Adopt", 0, records(0, 9), false, false}}},
		{"unknown value", []step{{"Adopt", 0, gypsumrail.ValueVersion{Name: "Other", Revision: 7}, false, false}}},
		{"refused contents", []step{{"Wants", 0, records(7, 1), true, true}, {"Refuse", 1, records(7, 1), true, false}, {"Wants", 9000, records(7, 1), true, false},
			{"Wants", 9000, records(7, 2), true, true}}},
		{"another value does not end the wait", []step{{"Missing", 1000, records(0, 0), false, false},
			{"Adopt", 1000, gypsumrail.ValueVersion{Name: gypsumrail.ValueInstances, Revision: 3}, true, true},
			{"Missing", 5999, records(0, 0), false, false}, {"Missing", 6000, records(0, 0), false, true},
			{"Adopt", 6000, records(7, 1), true, true}, {"Missing", 9000, records(0, 0), false, false}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v := values.New(values.Settings{})
			for i, s := range test.steps {
				var got bool
				switch s.call {
				case "Wants":
					got = v.Wants(s.at, s.version, s.peer)
				case "Adopt":
					got = v.Adopt(s.at, s.version, s.peer)
				case "Refuse":
					v.Refuse(s.at, s.version)
				case "Missing":
					got = v.Missing(s.at)
				}
				if got != s.want {
					t.Errorf("step %d, %s of %+v: %v", i, s.call, s.version, got)
				}
			}
		})
	}
}

// Guards against an adopted configuration that is replaced by an older one. Also
// guards against nodes that stay on different versions after each was offered the
// highest one.
func TestUpwards(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := make([]*values.Values, rapid.IntRange(2, 5).Draw(t, "nodes"))
		for i := range nodes {
			nodes[i] = values.New(values.Settings{})
			nodes[i].Adopt(0, records(1, 0), true)
		}
		type fetch struct {
			node    int
			version gypsumrail.ValueVersion
			peer    bool
		}
		var fetches []fetch
		var now gypsumrail.Millis
		highest := records(1, 0)
		// Some versions have the same revision and different hashes, as after two
		// publications under one revision. Some revisions are implausibly high.
		version := rapid.Custom(func(t *rapid.T) gypsumrail.ValueVersion {
			revision := rapid.OneOf(rapid.Uint64Range(0, 6), rapid.Uint64Min(1<<30)).Draw(t, "revision")
			return records(gypsumrail.Revision(revision), rapid.Uint64Range(0, 2).Draw(t, "hash"))
		})
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				offered := version.Draw(t, "version")
				node := rapid.IntRange(0, len(nodes)-1).Draw(t, "node")
				before := nodes[node].Current(gypsumrail.ValueRecords)
				if nodes[node].Wants(now, offered, true) {
					fetches = append(fetches, fetch{node, offered, true})
				}
				if got := nodes[node].Current(gypsumrail.ValueRecords); got != before {
					t.Fatalf("an offer changed %+v to %+v", before, got)
				}
			},
			"finish": func(t *rapid.T) {
				if len(fetches) == 0 {
					return
				}
				// The fetch stays in the list: it may finish late, more than once or never.
				f := rapid.SampledFrom(fetches).Draw(t, "fetch")
				before := nodes[f.node].Current(gypsumrail.ValueRecords)
				adopted := nodes[f.node].Adopt(now, f.version, f.peer)
				after := nodes[f.node].Current(gypsumrail.ValueRecords)
				if higher(before, after) || adopted != higher(after, before) || after.Revision > 6 {
					t.Fatalf("adopted %v: %+v became %+v", adopted, before, after)
				}
				if higher(after, highest) {
					highest = after
				}
			},
			"wait": func(t *rapid.T) { now += gypsumrail.Millis(rapid.IntRange(-100, 3000).Draw(t, "millis")) },
		})
		// Each node is offered the versions of all nodes. The wait is longer than
		// FetchTimeout, so no earlier fetch counts as running.
		now += 10 * gypsumrail.Second
		for range 2 {
			for _, from := range nodes {
				for _, to := range nodes {
					for _, offered := range from.Versions() {
						if to.Wants(now, offered, true) {
							to.Adopt(now, offered, true)
						}
					}
				}
			}
		}
		for i, node := range nodes {
			if diff := cmp.Diff([]gypsumrail.ValueVersion{highest}, node.Versions()); diff != "" {
				t.Fatalf("node %d (-want +got):\n%s", i, diff)
			}
		}
	})
}

func higher(a, b gypsumrail.ValueVersion) bool {
	return a.Revision > b.Revision || a.Revision == b.Revision && a.Hash > b.Hash
}
