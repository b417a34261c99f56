//go:build linux

package fleet

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/time/rate"

	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

const (
	// workers is the number of concurrent calls. It is far below the 100 slots
	// of the target, so that no call waits for admission.
	workers = 16
	// warmupPairs is the number of pairs of calls that open connections before
	// the measurement.
	warmupPairs = 400
	// second is in microseconds, the unit of the histograms.
	second = int64(time.Second / time.Microsecond)
)

// callBodyBytes is about the size of a small request. Answers have 2,000 bytes.
const callBodyBytes = 200

// BenchmarkTwoNodes measures the latency and processor time that two nodes
// between a caller and a target add. Each operation is one call through both
// nodes and one directly to the target, in alternating order and at a fixed
// rate. The time per operation therefore only reflects the rate.
func BenchmarkTwoNodes(b *testing.B) {
	platform, target := startStubs(b)
	nodes := []*node{newNode(b, "front-1", "front", "a"), newNode(b, "deep-1", "deep", "a")}
	publish(b, platform, []string{"front", "deep"}, nodes, 10_000)
	publishList(b, platform, nodes)
	program := buildProgram(b)
	for i, n := range nodes {
		n.start(b, program, target.Address(), platform.Address(), []string{nodes[1-i].ports.Peers})
	}
	awaitRoutes(b, nodes)
	p := &callPairs{
		client: &http.Client{Timeout: waitTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: workers}},
		direct: target.Address(), through: nodes[0].ports.Callers, body: strings.Repeat("x", callBodyBytes),
	}
	p.run(b, warmupPairs, 1000)
	for _, perSecond := range []int{250, 1000, 3000} {
		b.Run(fmt.Sprintf("rate=%d", perSecond), func(b *testing.B) { p.measure(b, nodes, perSecond) })
	}
}

// callPairs makes pairs of calls, one through the nodes and one directly.
type callPairs struct {
	client          *http.Client
	direct, through string // addresses
	body            string

	mu                         sync.Mutex
	nodeLatency, directLatency *hdrhistogram.Histogram // latencies in microseconds
}

// measure makes b.N pairs and reports the latencies at the 50th and 99th
// percentile and the processor time of the nodes per call.
func (p *callPairs) measure(b *testing.B, nodes []*node, perSecond int) {
	totalProcessorTime := func() (sum time.Duration) {
		for _, n := range nodes {
			if n.process != nil {
				sum += n.processorTime(b)
			}
		}
		return sum
	}
	start := totalProcessorTime()
	p.run(b, b.N, perSecond)
	cost := totalProcessorTime() - start
	b.StopTimer()
	for _, quantile := range []float64{50, 99} {
		through, direct := p.nodeLatency.ValueAtQuantile(quantile), p.directLatency.ValueAtQuantile(quantile)
		b.ReportMetric(float64(through), fmt.Sprintf("p%.0f-nodes-us", quantile))
		b.ReportMetric(float64(direct), fmt.Sprintf("p%.0f-direct-us", quantile))
		b.ReportMetric(float64(through-direct), fmt.Sprintf("p%.0f-added-us", quantile))
	}
	if perCall := cost.Seconds() / float64(b.N); perCall > 0 {
		b.ReportMetric(1e6*perCall, "cpu-us/call")
		b.ReportMetric(1/perCall, "calls/core-s")
	}
}

// run makes n pairs of calls at the given rate and records their latencies. It
// discards the latencies of earlier runs.
func (p *callPairs) run(b *testing.B, n, perSecond int) {
	p.nodeLatency, p.directLatency = hdrhistogram.New(1, 60*second, 3), hdrhistogram.New(1, 60*second, 3)
	pace := rate.NewLimiter(rate.Limit(perSecond), 1)
	work := make(chan int)
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for i := range work {
				order := []string{p.through, p.direct}
				if i%2 == 1 {
					order[0], order[1] = order[1], order[0]
				}
				for _, address := range order {
					if err := p.call(address, fmt.Sprintf("%d-%d", i, time.Now().UnixNano())); err != nil {
						b.Errorf("call to %s: %v", address, err)
					}
				}
			}
		})
	}
	for i := range n {
		_ = pace.Wait(b.Context())
		work <- i
	}
	close(work)
	group.Wait()
}

// call makes one call and records its latency up to the last byte of the answer.
func (p *callPairs) call(address, request string) error {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/x", strings.NewReader(p.body))
	if err != nil {
		return err
	}
	r.Header.Set(wire.HeaderService, "deep")
	r.Header.Set(wire.HeaderClass, "read-deep")
	r.Header.Set(wire.HeaderRequest, request)
	began := time.Now()
	answer, err := p.client.Do(r)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(answer.Body)
	took := time.Since(began)
	_ = answer.Body.Close()
	if err != nil {
		return err
	}
	if answer.StatusCode != http.StatusOK || !strings.HasPrefix(string(body), "target "+request+" ") {
		return fmt.Errorf("status %d: %.300s", answer.StatusCode, body)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.nodeLatency
	if address == p.direct {
		h = p.directLatency
	}
	return h.RecordValue(max(1, took.Microseconds()))
}
