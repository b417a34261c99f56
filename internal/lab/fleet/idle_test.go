//go:build linux

package fleet

import (
	"bytes"
	"flag"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/lab/slope"
	"github.com/gypsumrail/gypsumrail/internal/lab/stubs"
)

var (
	fleetSizes = flag.String("fleet", "", "sizes of the fleets that TestFleet measures, separated by commas")
	settle     = flag.Duration("settle", 10*time.Second, "time to wait after all nodes have routes to all instances, before the measurement")
	window     = flag.Duration("window", 20*time.Second, "time over which TestFleet measures")
)

// Shape of the fleet at the target size, as in docs/developers.md.
const (
	targetNodes    = 640
	targetServices = 53
	zones          = 6
	nodesMax       = 64 // node processes on one machine
	seedsMax       = 3  // of one node
)

// publications is the number of revisions published at each size. The time until
// a revision is in force depends on when nodes exchange, so one of them says
// little.
const publications = 5

// costs lists what TestFleet measures at each size.
var costs = []struct{ name, unit string }{
	{"Processor time of a node, mean", "% of a core"},
	{"Processor time of a node, highest", "% of a core"},
	{"Resident memory of a node, mean", "MB"},
	{"Go heap in use of a node, mean", "MB"},
	{"Bytes read and written by a node, mean", "KB/s"},
	{"Bytes read and written by a node, highest", "KB/s"},
	{"Messages of exchanges, sent and received, mean", "KB/s"},
	{"Calls at the platform, whole fleet", "calls/s"},
	{"New revision in force everywhere, median", "s"},
	{"New revision in force everywhere, highest", "s"},
	{"Calls at the platform for one revision, mean", "calls"},
}

// TestFleet measures idle fleets of node processes. It asserts no figures. It
// fails only if nodes do not start, have no routes to each other or do not adopt
// a published revision.
func TestFleet(t *testing.T) {
	if *fleetSizes == "" {
		t.Skip("runs for minutes and only with -args -fleet SIZES, such as -fleet 8,16,32,64")
	}
	if *inProcess {
		t.Skip("processor time and memory can only be measured if nodes are processes of their own")
	}
	program := buildProgram(t)
	results := make([]slope.Result, len(costs))
	for i, c := range costs {
		results[i].Measure = slope.Measure{Name: c.name, Unit: c.unit, Per: "node", Target: targetNodes}
	}
	for text := range strings.SplitSeq(*fleetSizes, ",") {
		size, err := strconv.Atoi(text)
		if err != nil || size < 1 || size > nodesMax {
			t.Fatalf("-fleet: %q is not a number from 1 to %d", text, nodesMax)
		}
		t.Run(text, func(t *testing.T) {
			for i, cost := range measureFleet(t, program, size) {
				t.Logf("%d nodes: %s: %.4g %s", size, costs[i].name, cost, costs[i].unit)
				results[i].Points = append(results[i].Points, slope.Point{Size: float64(size), Cost: cost})
			}
		})
	}
	if t.Failed() || len(results[0].Points) < 2 {
		return
	}
	for i := range results {
		results[i].Line = slope.Fit(results[i].Points)
	}
	var table bytes.Buffer
	if err := slope.Write(&table, results); err != nil {
		t.Fatal(err)
	}
	t.Logf("\n%s", table.String())
}

// measureFleet measures a fleet of one size. Its results are in the order of
// costs.
func measureFleet(t *testing.T, program string, size int) []float64 {
	t.Helper()
	platform, target := startStubs(t)
	services := make([]string, max(1, size*targetServices/targetNodes))
	for i := range services {
		services[i] = fmt.Sprintf("service-%02d", i)
	}
	nodes := make([]*node, size)
	var addresses []string
	for i := range nodes {
		service := services[i%len(services)]
		nodes[i] = newNode(t, fmt.Sprintf("%s-%03d", service, i), service, fmt.Sprintf("zone-%d", i%zones))
		addresses = append(addresses, nodes[i].ports.Peers)
	}
	publish(t, platform, services, nodes, 10_000)
	publishList(t, platform, nodes)
	for i, n := range nodes {
		var seeds []string
		for k := 1; k <= min(seedsMax, size-1); k++ {
			seeds = append(seeds, addresses[(i+k*7)%size])
		}
		n.start(t, program, target.Address(), platform.Address(), seeds)
	}
	awaitRoutes(t, nodes)
	// The only platform calls of an idle fleet are watches, which end after 30
	// seconds. So calls are counted over settle and window, which by default add
	// up to 30 seconds.
	callsBefore, _ := platform.Calls()
	began := time.Now()
	time.Sleep(*settle)
	measured := measureIdle(t, nodes)
	calls, _ := platform.Calls()
	measured = append(measured, float64(calls-callsBefore)/time.Since(began).Seconds())
	return append(measured, measurePublication(t, platform, services, nodes)...)
}

// measureIdle measures what nodes use over window without calls or publications.
func measureIdle(t *testing.T, nodes []*node) []float64 {
	t.Helper()
	type sample struct {
		at       time.Time
		cpu      time.Duration
		bytes    float64
		messages float64
	}
	const exchanged = "gypsumrail_exchange_bytes_total"
	start := make([]sample, len(nodes))
	for i, n := range nodes {
		// Metrics are read before the first and after the last sample of
		// processor time and bytes, because reading them costs both.
		messages := n.metrics(t, exchanged)
		start[i] = sample{at: time.Now(), cpu: n.processorTime(t), bytes: n.transferred(t), messages: messages}
	}
	time.Sleep(*window)

	var cpu, resident, heap, transferred, messages []float64
	for i, n := range nodes {
		seconds := time.Since(start[i].at).Seconds()
		cpu = append(cpu, 100*(n.processorTime(t)-start[i].cpu).Seconds()/seconds)
		transferred = append(transferred, (n.transferred(t)-start[i].bytes)/1000/seconds)
		resident = append(resident, n.resident(t)/1e6)
		messages = append(messages, (n.metrics(t, exchanged)-start[i].messages)/1000/seconds)
		heap = append(heap, n.metrics(t, "go_memstats_heap_inuse_bytes")/1e6)
	}
	return []float64{
		mean(cpu), slices.Max(cpu), mean(resident), mean(heap), mean(transferred), slices.Max(transferred), mean(messages),
	}
}

// measurePublication measures the seconds until a revision is in force at all
// nodes, median and highest, and the mean number of platform calls for it. A
// time ends when the last node reports the revision in its status. It is up to
// one poll interval, 50 ms, too long.
func measurePublication(t *testing.T, platform *stubs.Platform, services []string, nodes []*node) []float64 {
	t.Helper()
	var delays, calls []float64
	for i := range publications {
		before, _ := platform.Calls()
		began := time.Now()
		revision := publish(t, platform, services, nodes, 10_001+i)
		awaitRevision(t, nodes, revision)
		delays = append(delays, time.Since(began).Seconds())
		// Nodes that read the value start a new watch, which is counted too.
		time.Sleep(time.Second)
		after, _ := platform.Calls()
		calls = append(calls, float64(after-before))
	}
	slices.Sort(delays)
	return []float64{delays[len(delays)/2], delays[len(delays)-1], mean(calls)}
}

// awaitRevision polls all nodes in parallel until each uses the revision or a
// later one.
func awaitRevision(t *testing.T, nodes []*node, revision gypsumrail.Revision) {
	t.Helper()
	var group sync.WaitGroup
	var mu sync.Mutex
	var late []string
	for _, n := range nodes {
		group.Go(func() {
			for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
				if inForce, _ := n.status(); inForce >= revision {
					return
				}
			}
			mu.Lock()
			defer mu.Unlock()
			late = append(late, n.instance.Name)
		})
	}
	group.Wait()
	if len(late) > 0 {
		t.Fatalf("timed out waiting for revision %d to be in force at %v", revision, late)
	}
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}
