package demo

import (
	_ "embed"
	"maps"
	"slices"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/record"
)

//go:embed records.json
var recordSet []byte

// The scene: requests enter at gatehouse, which calls lotdesk, which calls
// gradebook. gradebook is the narrow place: two targets with twelve slots and
// 60 ms a call serve 400 calls a second.
const (
	entryService = "gatehouse"
	deepService  = "gradebook"
	zone         = "mn-a"
	tenant       = "yard"
	deepTime     = 60 * time.Millisecond
)

// serviceTimes are the times that targets work on one call themselves.
var serviceTimes = map[string]time.Duration{entryService: 3 * time.Millisecond, "lotdesk": 5 * time.Millisecond, deepService: deepTime}

// clients describes the clients of one class.
type clients struct {
	class    string
	rate     float64       // requests a second
	surge    float64       // factor of the rate during the trigger
	deadline time.Duration // from the first try; a later answer is not useful
}

// Load: 240 requests a second in steady state, which is 60 % of what gradebook
// serves, and 440 during the trigger.
var scene = []clients{
	{class: "confirm-load", rate: 20, surge: 1, deadline: 2 * time.Second},
	{class: "reserve-lot", rate: 20, surge: 1, deadline: 2 * time.Second},
	{class: "stock-check", rate: 200, surge: 2, deadline: time.Second},
}

// Behavior of the clients, the same with and without the layer.
const (
	tryTime    = 500 * time.Millisecond // after which a client gives a try up
	retries    = 3                      // tries after the first
	backoff    = 50 * time.Millisecond  // before the second try; doubles, plus or minus half at random
	runningMax = 600                    // requests of one run at once; more are counted as failed without being sent
	seed       = 7                      // of the arrivals
)

// slowFactor multiplies the service time of gradebook during the trigger, which
// leaves 100 calls a second.
const slowFactor = 4

// timeline divides a run.
type timeline struct {
	warm   time.Duration // not counted: connections open and limits grow
	from   time.Duration // begin of the trigger
	until  time.Duration // end of the trigger
	length time.Duration // no request arrives later
}

// timelineOf divides the length of a run.
func timelineOf(length time.Duration) timeline {
	return timeline{warm: length / 4, from: length * 2 / 5, until: length * 3 / 5, length: length}
}

// records returns the records of the scene, which are valid by a test.
func records() *gypsumrail.Records {
	parsed, err := record.Parse("demo", recordSet, record.Options{})
	if err != nil {
		panic(err)
	}
	return parsed
}

// targetNames returns the names of the targets in order.
func targetNames(r *gypsumrail.Records) []string { return slices.Sorted(maps.Keys(r.Targets)) }
