package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["unframed"] = unframed }

const unframedSlots = 64

// runUpstream plays an upstream, whose successes have no length, in a process of its own
// until that is killed. It records its runs.
func runUpstream(id, address, record string) int {
	log, err := newLogbook(record)
	if err != nil {
		return exitNotRun
	}
	u, err := newUpstream(log, id, "drawings", zone, address, unframedSlots)
	if err != nil {
		return exitNotRun
	}
	u.setUnframed()
	select {}
}

// unframed kills the process of an upstream while it writes answers without a length.
func unframed(s *stage) (bool, error) {
	const (
		host    = "hulo84.example"
		limit   = 3 * time.Second
		clients = 40
		each    = 10
		size    = 36_000                // the largest answer of drawing-pull in the site file
		stagger = 10 * time.Millisecond // between the starts of two clients
		killAt  = 700 * time.Millisecond
	)
	config := map[string]any{
		"routes":   []any{route("r-drawing", host, "/drawing/", "idempotent", "drawings", 1.5, 0.8, 2, 2)},
		"services": []any{serviceEntry("drawings", 1636)},
	}
	if err := s.build(config, unframedSlots, "drawings", "drawings", "drawings"); err != nil {
		return false, err
	}
	// Processes take the places of the upstreams.
	self, err := os.Executable()
	if err != nil {
		return false, err
	}
	processes := make([]*exec.Cmd, len(s.upstreams))
	records := make([]string, len(s.upstreams))
	for i, u := range s.upstreams {
		u.end()
		records[i] = s.folder + "/" + u.id + ".txt"
		processes[i] = exec.Command(self, "upstream", u.id, u.address, records[i])
		processes[i].SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := processes[i].Start(); err != nil {
			return false, err
		}
		defer func() {
			_ = processes[i].Process.Kill()
			_ = processes[i].Wait()
		}()
	}
	time.Sleep(4 * time.Second) // machines count as calm after 3 s

	var mu sync.Mutex
	var results []result
	var work sync.WaitGroup
	for i := range clients {
		work.Go(func() {
			time.Sleep(time.Duration(i) * stagger)
			c, err := dial(s.log, s.machines[0], 0)
			if err != nil {
				return
			}
			defer c.close()
			for range each {
				r := c.send(order{method: http.MethodGet, host: host, path: "/drawing/20/" + strconv.Itoa(size), limit: limit})
				mu.Lock()
				results = append(results, r)
				mu.Unlock()
				if r.err != nil {
					return
				}
			}
		})
	}
	time.Sleep(killAt)
	if s.trouble {
		s.log.addf("the process of %s is killed", s.upstreams[1].id)
		_ = processes[1].Process.Kill()
	}
	work.Wait()
	s.log.addf("what the upstreams recorded, with times since their start:")
	for i, u := range s.upstreams {
		content, _ := os.ReadFile(records[i])
		for line := range bytes.Lines(content) {
			s.log.addf("%s: %s", u.id, bytes.TrimSpace(line))
		}
	}
	part, failed := 0, 0
	for i := range results {
		r := &results[i]
		switch whole := bodyOf(r.id, size); {
		case r.status != http.StatusOK || r.err != nil:
			failed++
		case !bytes.Equal(r.body, whole):
			part++
			s.log.sayf("request %s: 200 with the signature %q and a complete body of %d bytes, of the %d of the upstream's", r.id, r.signature, len(r.body), len(whole))
		}
	}
	s.log.sayf("%d requests, %d without success, %d complete successes with a part of the body", len(results), failed, part)
	if len(results) == 0 || failed == len(results) {
		return false, fmt.Errorf("%w: nothing was served", errNotRun)
	}
	return part > 0, nil
}
