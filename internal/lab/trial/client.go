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

// Load is what clients send.
type Load struct {
	Requests int
	Workers  int           // requests at once
	Sends    int           // of one request at most; each goes to another node
	Patience time.Duration // of a client before it leaves and resends; a tenth of its sends has a tenth of it
	Steady   bool          // all sends have the same patience
	Orders   int           // share of requests that may not be repeated, percent
	Classes  []string      // of the others, at random
	Pause    time.Duration // before a resend, at most
	Think    time.Duration // of a worker between two requests
	Entries  []*Instance   // nodes that clients use; nil for all
	Seed     uint64
}

// keepOpen and keepIdle bound the idle connections of all clients to one node.
// A node that leaves closes idle connections a second after it began to refuse
// calls; a connection that is kept longer could be closed just as it is used.
const (
	keepOpen = 64
	keepIdle = time.Second / 2
)

// Clients send requests to a deployment and tell its observer what they got.
type Clients struct {
	d      *Deployment
	load   Load
	client *http.Client
	offset int

	Sent atomic.Int64 // attempts
	Done atomic.Int64 // requests
	Good atomic.Int64 // requests with a whole answer
	stop atomic.Bool
}

var requests atomic.Int64 // number of the next request in this process

// NewClients returns clients that Run starts.
func NewClients(d *Deployment, load Load) *Clients {
	if load.Entries == nil {
		load.Entries = d.Instances
	}
	if load.Classes == nil {
		load.Classes = []string{ClassRead}
	}
	return &Clients{
		d: d, load: load, offset: int(requests.Add(int64(load.Requests))) - load.Requests,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: keepOpen, IdleConnTimeout: keepIdle}},
	}
}

// Run sends all requests and returns when each has ended.
func (c *Clients) Run() {
	var next atomic.Int64
	var work sync.WaitGroup
	for worker := range c.load.Workers {
		work.Go(func() {
			random := rand.New(rand.NewPCG(c.load.Seed, uint64(worker))) //nolint:gosec // reproducible load
			for !c.stop.Load() {
				time.Sleep(c.load.Think)
				n := int(next.Add(1)) - 1
				if n >= c.load.Requests {
					return
				}
				if c.request(random, c.offset+n) {
					c.Good.Add(1)
				}
				c.Done.Add(1)
			}
		})
	}
	work.Wait()
	c.client.CloseIdleConnections()
}

// Stop ends Run after the requests that are under way.
func (c *Clients) Stop() { c.stop.Store(true) }

// request sends one request until it gets a whole answer or gives up, and tells
// whether it got one.
func (c *Clients) request(random *rand.Rand, number int) bool {
	a := Attempt{Request: fmt.Sprintf("q-%d-%x", number, random.Uint32()), Class: c.load.Classes[random.IntN(len(c.load.Classes))]}
	if random.IntN(100) < c.load.Orders {
		a.Class = ClassOrder
		a.Key = c.ticket(c.entry(random))
	}
	uncertain := false // an attempt may have run
	a.Resend = 1
	for a.Number = 1; a.Number <= c.load.Sends; a.Number++ {
		patience := c.load.Patience
		if random.IntN(10) == 0 && !c.load.Steady {
			patience /= 10
		}
		got, fresh := c.send(c.entry(random), number, a, patience)
		a.Whole, a.Outcome, a.Reason, a.Wrong, a.Below, a.Err = got.Whole, got.Outcome, got.Reason, got.Wrong, got.Below, got.Err
		c.d.Observer.Ended(number, a)
		if a.Whole || a.Reason == gypsumrail.ReasonKeyDone {
			return a.Whole
		}
		if a.Outcome != gypsumrail.NotRun {
			uncertain = true
		}
		a.Resend++
		// A new key is a new request as far as nodes can tell, so it is only taken
		// while no attempt can have run.
		if !uncertain && a.Class == ClassOrder {
			for tries := 0; fresh == "" && leaves(a.Reason) && tries < 3; tries++ {
				fresh = c.ticket(c.entry(random))
			}
			if fresh != "" {
				a.Key, a.Resend = fresh, 1
			}
		}
		time.Sleep(time.Duration(random.Int64N(int64(c.load.Pause) + 1)))
	}
	return false
}

// leaves tells whether a refusal means that the home of a key may be leaving.
func leaves(reason gypsumrail.Reason) bool {
	return reason == gypsumrail.ReasonDraining || reason == gypsumrail.ReasonNoUpstream ||
		reason == gypsumrail.ReasonHomeGone || reason == gypsumrail.ReasonConnect
}

func (c *Clients) entry(random *rand.Rand) *Instance {
	return c.load.Entries[random.IntN(len(c.load.Entries))]
}

// ticket gets an idempotency key, or none if the node does not answer.
func (c *Clients) ticket(entry *Instance) string {
	ctx, cancel := context.WithTimeout(context.Background(), c.load.Patience)
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

// send makes one attempt. It tries the next node if no connection can be opened,
// and returns what the client got and a fresh key if there is one.
func (c *Clients) send(entry *Instance, number int, a Attempt, patience time.Duration) (got Attempt, fresh string) {
	c.Sent.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var answer *http.Response
	for range len(c.load.Entries) {
		// The length of the body is hidden, so that the client's transport does not
		// resend the request on its own.
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.Ports.Callers+"/x", io.MultiReader(strings.NewReader("body")))
		if err != nil {
			return Attempt{}, ""
		}
		h := r.Header
		h.Set(wire.HeaderService, Services[0])
		h.Set(wire.HeaderClass, a.Class)
		h.Set(wire.HeaderRequest, a.Request)
		h.Set(wire.HeaderAttempt, strconv.Itoa(a.Resend))
		h.Set("Traceparent", traceparent(number, a.Number))
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
		entry = c.after(entry)
	}
	if answer == nil {
		return Attempt{}, ""
	}
	defer func() { _ = answer.Body.Close() }()
	return c.read(answer, a.Request)
}

func (c *Clients) after(entry *Instance) *Instance {
	for n, i := range c.load.Entries {
		if i == entry {
			return c.load.Entries[(n+1)%len(c.load.Entries)]
		}
	}
	return entry
}

func (c *Clients) read(answer *http.Response, request string) (got Attempt, fresh string) {
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
			fresh = problem.Keys[0]
		}
		return Attempt{Outcome: problem.Outcome, Reason: problem.Reason}, fresh
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return Attempt{Err: err.Error()}, "" // cut off, and seen as such
	}
	if answer.StatusCode == http.StatusServiceUnavailable && len(body) == 0 {
		return Attempt{Outcome: gypsumrail.Ran}, "" // the target turned the request away
	}
	if err := stubs.CheckBody(strings.NewReader(string(body)), request); err != nil {
		return Attempt{Wrong: fmt.Sprintf("status %d: %v", answer.StatusCode, err)}, ""
	}
	// A target whose own call failed answers whole with the status of that call.
	whole := answer.StatusCode == http.StatusOK
	return Attempt{Whole: whole, Outcome: gypsumrail.Ran, Below: answer.Header.Get(stubs.HeaderBelow)}, ""
}
