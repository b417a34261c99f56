package trial

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/lab/stubs"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

// Load describes the requests that Clients send.
type Load struct {
	Requests       int
	Workers        int           // concurrent clients; each has one request in flight
	AttemptsMax    int           // attempts of one request at most; each goes to a random entry node
	Timeout        time.Duration // of one attempt; a random tenth of the attempts has a tenth of it
	FixedTimeout   bool          // all attempts have the full timeout
	OrderPercent   int           // percentage of requests of ClassOrder, which may not be repeated
	Classes        []string      // of the other requests, chosen at random; nil for ClassRead
	ResendDelayMax time.Duration // bound of the random delay before a resend
	ThinkTime      time.Duration // pause of a worker before each request
	EntryNodes     []*Instance   // nodes that clients send to; nil for all
	Seed           uint64
}

// idleConnsMax and idleConnTimeout bound the idle connections of all clients to
// one node. A draining node closes idle connections at the earliest one second
// after it begins to reject calls. A client that keeps a connection longer can send
// on it at the moment when the node closes it.
const (
	idleConnsMax    = 64
	idleConnTimeout = time.Second / 2
)

// Clients send requests to a deployment and record the result of each attempt
// with its observer.
type Clients struct {
	d            *Deployment
	load         Load
	client       *http.Client
	firstRequest int

	Sent      atomic.Int64 // attempts so far
	Done      atomic.Int64 // requests that ended
	Succeeded atomic.Int64 // requests with a complete answer
	stop      atomic.Bool
}

// nextRequest is the number of the next request. Numbers are unique in the
// process, also across deployments.
var nextRequest atomic.Int64

// NewClients returns clients that send nothing until Run.
func NewClients(d *Deployment, load Load) *Clients {
	if load.EntryNodes == nil {
		load.EntryNodes = d.Instances
	}
	if load.Classes == nil {
		load.Classes = []string{ClassRead}
	}
	return &Clients{
		d: d, load: load, firstRequest: int(nextRequest.Add(int64(load.Requests))) - load.Requests,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnsMax, IdleConnTimeout: idleConnTimeout}},
	}
}

// Run sends all requests and returns when each has ended or after Stop.
func (c *Clients) Run() {
	var next atomic.Int64
	var work sync.WaitGroup
	for worker := range c.load.Workers {
		work.Go(func() {
			random := rand.New(rand.NewPCG(c.load.Seed, uint64(worker))) //nolint:gosec // reproducible load
			for !c.stop.Load() {
				time.Sleep(c.load.ThinkTime)
				n := int(next.Add(1)) - 1
				if n >= c.load.Requests {
					return
				}
				if c.request(random, c.firstRequest+n) {
					c.Succeeded.Add(1)
				}
				c.Done.Add(1)
			}
		})
	}
	work.Wait()
	c.client.CloseIdleConnections()
}

// Stop ends Run as soon as the requests in flight have ended.
func (c *Clients) Stop() { c.stop.Store(true) }

// request sends attempts of one request until one gets a complete answer or
// AttemptsMax is reached. It reports whether the request got a complete answer.
func (c *Clients) request(random *rand.Rand, requestNumber int) bool {
	a := Attempt{Request: fmt.Sprintf("q-%d-%x", requestNumber, random.Uint32()), Class: c.load.Classes[random.IntN(len(c.load.Classes))]}
	if random.IntN(100) < c.load.OrderPercent {
		a.Class = ClassOrder
		a.Key = c.requestKey(c.randomEntry(random))
	}
	mayHaveRun := false // some attempt so far may have run
	a.AttemptHeader = 1
	for a.Number = 1; a.Number <= c.load.AttemptsMax; a.Number++ {
		timeout := c.load.Timeout
		if random.IntN(10) == 0 && !c.load.FixedTimeout {
			timeout /= 10
		}
		got, newKey := c.send(c.randomEntry(random), requestNumber, a, timeout)
		a.Whole, a.Outcome, a.Reason, a.Mismatch, a.FailedCall, a.Err = got.Whole, got.Outcome, got.Reason, got.Mismatch, got.FailedCall, got.Err
		c.d.Observer.RecordAttempt(requestNumber, a)
		if a.Whole || a.Reason == gypsumrail.ReasonKeyDone {
			return a.Whole
		}
		if a.Outcome != gypsumrail.NotRun {
			mayHaveRun = true
		}
		a.AttemptHeader++
		// Nodes treat a new key as a new request, so the client changes the key only
		// if no earlier attempt can have run.
		if !mayHaveRun && a.Class == ClassOrder {
			for tries := 0; newKey == "" && mayBeLeaving(a.Reason) && tries < 3; tries++ {
				newKey = c.requestKey(c.randomEntry(random))
			}
			if newKey != "" {
				a.Key, a.AttemptHeader = newKey, 1
			}
		}
		time.Sleep(time.Duration(random.Int64N(int64(c.load.ResendDelayMax) + 1)))
	}
	return false
}

// mayBeLeaving reports whether a reason of rejection can mean that the node that
// issued the key is draining or gone.
func mayBeLeaving(reason gypsumrail.Reason) bool {
	return reason == gypsumrail.ReasonDraining || reason == gypsumrail.ReasonNoUpstream ||
		reason == gypsumrail.ReasonHomeGone || reason == gypsumrail.ReasonConnect
}

func (c *Clients) randomEntry(random *rand.Rand) *Instance {
	return c.load.EntryNodes[random.IntN(len(c.load.EntryNodes))]
}

// requestKey requests an idempotency key from a node. It returns an empty string
// if the node does not issue one within the timeout.
func (c *Clients) requestKey(entry *Instance) string {
	ctx, cancel := context.WithTimeout(context.Background(), c.load.Timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+entry.Ports.Callers+"/tickets?Service="+Services[0]+"&Class="+ClassOrder, http.NoBody)
	if err != nil {
		return ""
	}
	answer, err := c.client.Do(r)
	if err != nil {
		return ""
	}
	defer func() { _ = answer.Body.Close() }()
	var body struct{ Keys []string }
	if json.NewDecoder(answer.Body).Decode(&body) != nil || len(body.Keys) == 0 {
		return ""
	}
	return body.Keys[0]
}

// send makes one attempt. If no connection can be opened to a node, it tries the
// next one. It returns the result and the new key that a rejection carries, if any.
func (c *Clients) send(entry *Instance, requestNumber int, a Attempt, timeout time.Duration) (got Attempt, newKey string) {
	c.Sent.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var answer *http.Response
	for range len(c.load.EntryNodes) {
		// MultiReader hides the length of the body, which keeps http.Transport from
		// resending the request on its own.
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.Ports.Callers+"/x", io.MultiReader(strings.NewReader("body")))
		if err != nil {
			return Attempt{}, ""
		}
		h := r.Header
		h.Set(wire.HeaderService, Services[0])
		h.Set(wire.HeaderClass, a.Class)
		h.Set(wire.HeaderRequest, a.Request)
		h.Set(wire.HeaderAttempt, strconv.Itoa(a.AttemptHeader))
		h.Set("Traceparent", traceparent(requestNumber, a.Number))
		if a.Key != "" {
			h[wire.HeaderKey] = []string{a.Key}
		}
		answer, err = c.client.Do(r)
		if err == nil {
			break
		}
		var op *net.OpError
		if !errors.As(err, &op) || op.Op != "dial" {
			return Attempt{Err: err.Error()}, ""
		}
		entry = c.nextEntry(entry)
	}
	if answer == nil {
		return Attempt{}, ""
	}
	defer func() { _ = answer.Body.Close() }()
	return c.read(answer, a.Request)
}

func (c *Clients) nextEntry(entry *Instance) *Instance {
	for n, i := range c.load.EntryNodes {
		if i == entry {
			return c.load.EntryNodes[(n+1)%len(c.load.EntryNodes)]
		}
	}
	return entry
}

// read converts an answer into the result of an attempt.
func (c *Clients) read(answer *http.Response, request string) (got Attempt, newKey string) {
	if answer.Header.Get("Content-Type") == wire.ProblemType {
		var problem struct {
			Outcome gypsumrail.Outcome
			Reason  gypsumrail.Reason
			Keys    []string
		}
		if err := json.NewDecoder(answer.Body).Decode(&problem); err != nil {
			return Attempt{}, ""
		}
		if len(problem.Keys) > 0 {
			newKey = problem.Keys[0]
		}
		return Attempt{Outcome: problem.Outcome, Reason: problem.Reason}, newKey
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return Attempt{Err: err.Error()}, "" // the connection broke before the end of the body
	}
	if answer.StatusCode == http.StatusServiceUnavailable && len(body) == 0 {
		return Attempt{Outcome: gypsumrail.Ran}, "" // a refusing target; Ran stands for any answer of a target
	}
	if err := stubs.CheckBody(strings.NewReader(string(body)), request); err != nil {
		return Attempt{Mismatch: fmt.Sprintf("status %d: %v", answer.StatusCode, err)}, ""
	}
	// A target whose own call failed sends a complete body with status 502.
	whole := answer.StatusCode == http.StatusOK
	return Attempt{Whole: whole, Outcome: gypsumrail.Ran, FailedCall: answer.Header.Get(stubs.HeaderFailedCall)}, ""
}
