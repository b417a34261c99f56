package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["slowreader"] = slowReader }

// slowReader stops a node with SIGTERM while one client reads a large answer slowly and
// others use the connections that they keep.
func slowReader(s *stage) (bool, error) {
	const (
		host     = "hulo84.example"
		pace     = 15_000                  // bytes a second that the slow client reads at first
		slowTime = 4200 * time.Millisecond // after that it reads at full speed
		window   = 4 << 10
		kept     = 40
	)
	config := map[string]any{
		"routes": []any{
			route("r-bundle", host, "/bundle/", "idempotent", "drawings", 3, 0.8, 2, 2),
			route("r-order", host, "/order/", "non_idempotent", "drawings", 1.5, 1, 0, 2),
		},
		"services": []any{serviceEntry("drawings", 1636)},
	}
	if err := s.build(config, 64, "drawings", "drawings", "drawings"); err != nil {
		return false, err
	}
	node := s.machines[0]
	time.Sleep(4 * time.Second) // machines count as calm after 3 s

	var clients []*client
	for range kept {
		c, err := dial(s.log, node, 0)
		if err != nil {
			return false, err
		}
		defer c.close()
		if r := c.send(order{method: http.MethodPost, host: host, path: "/order/20/200", body: "warm", limit: 1200 * time.Millisecond}); r.status != http.StatusOK {
			return false, errNotRun
		}
		clients = append(clients, c)
	}
	reader, err := dial(s.log, node, window)
	if err != nil {
		return false, err
	}
	defer reader.close()

	var mu sync.Mutex
	var results []result
	var work sync.WaitGroup
	work.Go(func() {
		o := order{method: http.MethodGet, host: host, path: "/bundle/50/600000", limit: 3 * time.Second, patience: 8 * time.Second}
		if s.trouble {
			o.pace, o.slowTime = pace, slowTime
		}
		r := reader.send(o)
		s.log.sayf("the large answer: status %d, %d bytes, error %v", r.status, len(r.body), r.err)
	})
	time.Sleep(time.Second / 2)
	termAt := time.Now()
	node.signal(syscall.SIGTERM)
	use := func(c *client) {
		work.Go(func() {
			r := c.send(order{method: http.MethodPost, host: host, path: "/order/300/2000", body: "order", limit: 1200 * time.Millisecond})
			mu.Lock()
			results = append(results, r)
			mu.Unlock()
		})
	}
	// Two requests soon after the signal, then a pause, then one each 100 ms until the node is gone.
	time.Sleep(300 * time.Millisecond)
	use(clients[0])
	time.Sleep(300 * time.Millisecond)
	use(clients[1])
	time.Sleep(2200 * time.Millisecond)
	for _, c := range clients[2:] {
		if !node.running() {
			break
		}
		use(c)
		time.Sleep(100 * time.Millisecond)
	}
	work.Wait()

	runs := map[string]run{}
	for _, r := range runsOf(s.upstreams...) {
		runs[r.id] = r
	}
	lost := 0
	for i := range results {
		r := &results[i]
		ran, passedOn := runs[r.id]
		used := r.ended.Sub(r.sent)
		atGrace := r.ended.Sub(termAt)
		switch {
		case r.complete(), !passedOn:
		case used >= r.limit, used >= 1500*time.Millisecond: // time limit or the route's timeout
		case atGrace >= graceS*time.Second*5/6: // the last sixth of the grace time
		default:
			lost++
			s.log.sayf("request %s was sent %.3f s after SIGTERM, began to run at %s, and its connection ended without an answer %.3f s after it was sent (%v)",
				r.id, r.sent.Sub(termAt).Seconds(), ran.upstream, used.Seconds(), r.err)
		}
	}
	s.log.sayf("%d requests on kept connections after SIGTERM, %d passed on and lost", len(results), lost)
	return lost > 0, nil
}
