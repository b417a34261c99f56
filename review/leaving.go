package main

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { cases["leaving"] = leaving }

// leaving takes one of three upstreams of a service out, because it has turned slow.
func leaving(s *stage) (bool, error) {
	const (
		host     = "hulo84.example"
		slots    = 16
		workMS   = 920 // work, time limit and timeout are those of drawing-pull at the large site
		limit    = 10 * time.Second
		timeoutS = 5
		load     = 0.65 // of what the three upstreams can do
		slowness = 12
		slowTime = 9 * time.Second
		until    = 2 * time.Second // from turning slow to leaving
		lateness = 100 * time.Millisecond
	)
	config := map[string]any{
		"routes":   []any{route("r-drawing", host, "/drawing/", "idempotent", "drawings", timeoutS, 0.8, 2, 2)},
		"services": []any{serviceEntry("drawings", 1636)},
	}
	if err := s.build(config, slots, "drawings", "drawings", "drawings"); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // machines count as calm after 3 s

	var mu sync.Mutex
	answers := map[string]result{}
	var work sync.WaitGroup
	sent := 0
	send := func() {
		m := s.machines[sent%len(s.machines)]
		sent++
		work.Go(func() {
			c, err := dial(s.log, m, 0)
			if err != nil {
				return
			}
			defer c.close()
			r := c.send(order{method: http.MethodGet, host: host, path: "/drawing/" + strconv.Itoa(workMS) + "/6000", limit: limit})
			mu.Lock()
			answers[r.id] = r
			mu.Unlock()
		})
	}
	perSecond := load * 3 * slots * 1000 / workMS
	sendFor := func(d time.Duration) {
		next, end := time.Now(), time.Now().Add(d)
		for time.Now().Before(end) {
			send()
			next = next.Add(time.Duration(float64(time.Second) / perSecond))
			time.Sleep(time.Until(next))
		}
	}
	sendFor(4 * time.Second)
	leaver := s.upstreams[0]
	if s.trouble {
		s.log.addf("%s turns slow", leaver.id)
		leaver.setSlow(slowness)
		time.AfterFunc(slowTime, func() {
			s.log.addf("%s is as fast as before", leaver.id)
			leaver.setSlow(1)
		})
	}
	acknowledged := make(chan time.Time, 1)
	time.AfterFunc(until, func() {
		leaver.setState("draining")
		acknowledged <- s.publish(leaver)
	})
	sendFor(7 * time.Second)
	work.Wait()
	ackAt := <-acknowledged

	late, failed := 0, 0
	for _, r := range runsOf(leaver) {
		after := r.began.Sub(ackAt)
		if after <= drainS+lateness {
			continue
		}
		late++
		if answers[r.id].status != http.StatusOK {
			failed++
		}
		s.log.sayf("request %s reached %s %.3f s after the store had acknowledged that it is draining; its client got %d", r.id, leaver.id, after.Seconds(), answers[r.id].status)
	}
	s.log.sayf("%d requests sent, %d reached the leaving upstream later than %v after the acknowledgement, %d of them had no success", sent, late, drainS, failed)
	return late > 0, nil
}
