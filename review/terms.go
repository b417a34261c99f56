package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["terms"] = terms }

// terms restarts a node while the upstream next to it leaves, so that SIGTERM comes twice.
func terms(s *stage) (bool, error) {
	const (
		host    = "hulo84.example"
		limit   = 5 * time.Second
		clients = 10
		pause   = 300 * time.Millisecond
	)
	config := map[string]any{
		"routes":   []any{route("r-order", host, "/order/", "non_idempotent", "ordering", 2.5, 1.5, 0, 2)},
		"services": []any{serviceEntry("ordering", 1636)},
	}
	if err := s.build(config, 64, "ordering", "ordering", "ordering"); err != nil {
		return false, err
	}
	node, leaver := s.machines[0], s.upstreams[0]
	time.Sleep(4 * time.Second) // machines count as calm after 3 s
	leaver.setState("draining")
	s.publish(leaver)
	time.Sleep(drainS + pause) // it serves a little longer

	var mu sync.Mutex
	var results []result
	var work sync.WaitGroup
	for range clients {
		work.Go(func() {
			c, err := dial(s.log, node, 0)
			if err != nil {
				return
			}
			defer c.close()
			r := c.send(order{method: http.MethodPost, host: host, path: "/order/1000/5000", body: "order", limit: limit})
			mu.Lock()
			results = append(results, r)
			mu.Unlock()
		})
	}
	time.Sleep(pause)
	if s.trouble {
		s.log.addf("the platform stops the node to start it again")
		node.signal(syscall.SIGTERM)
	}
	time.Sleep(pause)
	leaver.end()
	s.store.remove("servers/" + leaver.id)
	s.log.addf("%s has ended, so the platform stops the node next to it", leaver.id)
	node.signal(syscall.SIGTERM)
	work.Wait()

	ran := map[string]string{}
	for _, r := range runsOf(s.upstreams...) {
		ran[r.id] = r.upstream
	}
	lost := 0
	for i := range results {
		r := &results[i]
		if upstream := ran[r.id]; upstream != "" && !r.complete() {
			lost++
			s.log.sayf("request %s began to run at %s, and its connection ended without an answer %.3f s after it was sent (%v)", r.id, upstream, r.ended.Sub(r.sent).Seconds(), r.err)
		}
	}
	s.log.sayf("%d requests, %d passed on and lost", len(results), lost)
	return lost > 0, nil
}
