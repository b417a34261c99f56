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
var recordsJSON []byte

// User requests enter at gatehouse, which calls lotdesk, which calls gradebook.
// gradebook is the bottleneck: two targets with 12 slots each and 60 ms a call
// serve 400 calls a second.
const (
	entryService    = "gatehouse"
	deepService     = "gradebook"
	zone            = "mn-a"
	account         = "yard"
	deepServiceTime = 60 * time.Millisecond
)

// serviceTimes holds, by service, the time that a target works on a call, without
// the time of its own outgoing calls.
var serviceTimes = map[string]time.Duration{entryService: 3 * time.Millisecond, "lotdesk": 5 * time.Millisecond, deepService: deepServiceTime}

// clientClass describes the clients that send the requests of one class.
type clientClass struct {
	class    string
	rate     float64       // requests per second
	surge    float64       // factor of the rate during the trigger
	deadline time.Duration // from the first attempt; a later answer does not count
}

// workload has 240 requests per second in steady state, which is 60 % of the
// capacity of gradebook, and 440 per second during the trigger.
var workload = []clientClass{
	{class: "confirm-load", rate: 20, surge: 1, deadline: 2 * time.Second},
	{class: "reserve-lot", rate: 20, surge: 1, deadline: 2 * time.Second},
	{class: "stock-check", rate: 200, surge: 2, deadline: time.Second},
}

// Behavior of the clients, which is the same with and without the layer.
const (
	attemptTimeout = 500 * time.Millisecond // of one attempt of a client
	retriesMax     = 3                      // attempts after the first
	initialBackoff = 50 * time.Millisecond  // before the second attempt; doubles, with a jitter of plus or minus half
	inFlightMax    = 600                    // requests in flight in one run; further ones are not sent and count as failed
	seed           = 7                      // of the arrivals and of the jitter
)

// slowFactor multiplies the service time of gradebook during the trigger, which
// reduces its capacity to 100 calls a second.
const slowFactor = 4

// timeline holds the phases of a run, as times since its start.
type timeline struct {
	warmup       time.Duration // until then, requests are not counted: connections open and concurrency limits grow
	triggerStart time.Duration // the deepest service slows down and the request rate rises
	triggerEnd   time.Duration // both return to normal
	length       time.Duration // no requests arrive later
}

// newTimeline divides a run of the given length into its phases.
func newTimeline(length time.Duration) timeline {
	return timeline{warmup: length / 4, triggerStart: length * 2 / 5, triggerEnd: length * 3 / 5, length: length}
}

// parseRecords returns the embedded records. It panics if they are not valid,
// which TestScene rules out.
func parseRecords() *gypsumrail.Records {
	parsed, err := record.Parse("demo", recordsJSON, record.Options{})
	if err != nil {
		panic(err)
	}
	return parsed
}

// targetNames returns the names of the targets in sorted order.
func targetNames(r *gypsumrail.Records) []string { return slices.Sorted(maps.Keys(r.Targets)) }
