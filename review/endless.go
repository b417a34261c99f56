package main

import (
	"hash/fnv"
	"net/http"
	"sync"
	"time"
)

func init() { cases["endless"] = endless }

// endless lets two upstreams answer some requests with bytes that do not end.
func endless(s *stage) (bool, error) {
	const (
		host       = "hulo84.example"
		memoryMB   = 284 // of a machine
		limit      = 5 * time.Second
		timeoutS   = 5
		share      = 0.1       // of the answers that do not end
		pace       = 2_500_000 // bytes a second of each of them; a machine's link has 125 MB a second
		begin      = 3 * time.Second
		troubled   = 5500 * time.Millisecond
		length     = 10 * time.Second
		listsPerS  = 353 // over all machines
		customers  = 16  // on each machine, with one kept connection each
		thinkTime  = 100 * time.Millisecond
		lostExcuse = 3 // lost requests of a machine that the rule allows
	)
	config := map[string]any{
		"routes": []any{
			route("r-list", host, "/list/", "idempotent", "cutlist", timeoutS, 1.5, 2, 2),
			route("r-order", host, "/order/", "non_idempotent", "ordering", timeoutS, 1.5, 0, 2),
		},
		"services": []any{serviceEntry("cutlist", 1252), serviceEntry("ordering", 1636)},
	}
	if err := s.build(config, 192, "cutlist", "cutlist", "cutlist", "cutlist", "ordering", "ordering"); err != nil {
		return false, err
	}
	bad, ordering := s.upstreams[:2], s.upstreams[4:]
	time.Sleep(4 * time.Second) // machines count as calm after 3 s

	from, end := time.Now().Add(begin), time.Now().Add(length)
	if s.trouble {
		for _, u := range bad {
			u.setEndless(func(id string) (int, bool) {
				since := time.Since(from)
				h := fnv.New32a()
				_, _ = h.Write([]byte(id))
				return pace, since > 0 && since < troubled && float64(h.Sum32()%10000) < share*10000
			})
		}
	}
	stop := make(chan struct{})
	peaks, ends := make([]int, len(s.machines)), make([]int, len(s.machines))
	var watches sync.WaitGroup
	for i, m := range s.machines {
		watches.Go(func() { peaks[i], ends[i] = s.limitMemory(m, memoryMB, stop) })
	}
	var work sync.WaitGroup
	var mu sync.Mutex
	orders := make([][]result, len(s.machines))
	for i, m := range s.machines {
		work.Go(func() {
			for next := time.Now(); time.Now().Before(end); time.Sleep(time.Until(next)) {
				work.Go(func() {
					if c, err := dial(s.log, m, 0); err == nil {
						c.send(order{method: http.MethodGet, host: host, path: "/list/120/400", limit: limit})
						c.close()
					}
				})
				next = next.Add(time.Second * time.Duration(len(s.machines)) / listsPerS)
			}
		})
		for customer := range customers {
			work.Go(func() {
				time.Sleep(time.Duration(customer) * 26 * time.Millisecond)
				c, err := dial(s.log, m, 0)
				if err != nil {
					return
				}
				defer c.close()
				for time.Now().Before(end) {
					r := c.send(order{method: http.MethodPost, host: host, path: "/order/160/5000", body: "order", limit: limit})
					mu.Lock()
					orders[i] = append(orders[i], r)
					mu.Unlock()
					if r.err != nil {
						return
					}
					time.Sleep(thinkTime)
				}
			})
		}
	}
	work.Wait()
	close(stop)
	watches.Wait()

	ran := map[string]string{}
	for _, r := range runsOf(ordering...) {
		ran[r.id] = r.upstream
	}
	broken := false
	for i, m := range s.machines {
		lost := 0
		for j := range orders[i] {
			r := &orders[i][j]
			if upstream := ran[r.id]; upstream != "" && !r.complete() && r.ended.Sub(r.sent) < limit {
				lost++
				s.log.addf("order %s began to run at %s, which is sound, and its connection ended without an answer (%v)", r.id, upstream, r.err)
			}
		}
		broken = broken || lost > lostExcuse
		s.log.sayf("%s: peak %d MB, %d ends, %d orders on kept connections, %d of them passed on and lost", m.name, peaks[i], ends[i], len(orders[i]), lost)
	}
	return broken, nil
}

// limitMemory kills the process of a machine when it exceeds the memory of the machine, as
// the platform does, and starts it again after a short delay, until stop is closed. It
// returns the peak in MB and the number of ends.
func (s *stage) limitMemory(m *machine, limitMB int, stop <-chan struct{}) (peakMB, ends int) {
	const interval, restartDelay = 5 * time.Millisecond, 300 * time.Millisecond
	for {
		select {
		case <-stop:
			return peakMB, ends
		case <-time.After(interval):
		}
		mb := m.residentMB()
		peakMB = max(peakMB, mb)
		if mb <= limitMB {
			continue
		}
		s.log.sayf("%s holds %d MB, over the %d MB of its machine: it is killed", m.name, mb, limitMB)
		ends++
		m.stop()
		time.Sleep(restartDelay)
		if err := m.start(); err != nil {
			s.log.sayf("%v", err)
			return peakMB, ends
		}
	}
}
