package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The case "stop": the machines of a zone are stopped and started in turn. On each, one client
// reads a long answer slowly, and many others send a request now and then on kept connections.
const (
	zoneMachines   = 4
	clientsEach    = 60
	rollGap        = time.Second // roll_term: x 1, gap_s 1
	restartDelay   = time.Second
	graceTime      = 6 * time.Second
	confirmLimit   = 1200 * time.Millisecond
	confirmWork    = 96 * time.Millisecond
	sheetLimit     = 6 * time.Second
	sheetBytes     = 8 << 20
	sheetStall     = 4 * time.Second
	sheetBefore    = 500 * time.Millisecond // from the begin of the slow answer to SIGTERM
	rollsOfTheZone = 5
)

// zone stands in for the platform that decides which machines get clients. Two missed
// readiness probes in a row take a machine out, unless fewer than half of the zone's are in.
type zone struct {
	nodes []*node
	in    []atomic.Bool
}

func newZone(nodes []*node) *zone {
	z := &zone{nodes: nodes, in: make([]atomic.Bool, len(nodes))}
	for i := range z.in {
		z.in[i].Store(true)
	}
	return z
}

func (z *zone) probe(i int, stop <-chan struct{}) {
	misses := 0
	time.Sleep(rand.N(time.Second))
	for {
		if z.nodes[i].ready() {
			misses = 0
		} else {
			misses++
		}
		if in := misses < 2; z.in[i].Swap(in) != in {
			z.nodes[i].trial.rec.line("platform: %s is in: %t", z.nodes[i].name, in)
		}
		select {
		case <-time.After(time.Second):
		case <-stop:
			return
		}
	}
}

// getsWork reports whether the clients on a machine get new work.
func (z *zone) getsWork(i int) bool {
	count := 0
	for k := range z.in {
		if z.in[k].Load() {
			count++
		}
	}
	return z.in[i].Load() || 2*count < len(z.in)
}

func runStop(t *trial) (bool, error) {
	if err := t.choosePorts(zoneMachines + 2); err != nil {
		return false, err
	}
	var err error
	if t.store, err = newStore(t.rec, pageMax); err != nil {
		return false, err
	}
	t.store.put("op/config", config(7, []string{"yard", "gate", "grade"},
		route("r-confirm", "gate.example", "/confirm/", "non_idempotent", "gate", 6, 2, 2),
		route("r-sheet", "grade.example", "/sheet/", "idempotent", "grade", 6, 2, 2)))
	var nodes []*node
	var ups []*upstream
	for i := range zoneMachines + 2 {
		u := &upstream{
			rec: t.rec, id: fmt.Sprintf("i-%d", i), service: "yard", zone: "mnc-a", address: t.at(machineIP(i), portApp), slots: 88, queue: 108,
			work: func(*httpRequest) time.Duration { return confirmWork },
		}
		switch i {
		case zoneMachines:
			u.service, u.zone = "gate", "mnc-b"
		case zoneMachines + 1:
			u.service, u.zone = "grade", "mnc-b"
			u.body = func(*httpRequest) []byte { return make([]byte, sheetBytes) }
		}
		ups = append(ups, u)
		if err := u.start(); err != nil {
			return false, err
		}
		t.store.put("servers/"+u.id, u.entry("ready", 1))
		n, err := t.addNode(i, u.service, u.zone)
		if err != nil {
			return false, err
		}
		nodes = append(nodes, n)
	}
	if err := t.awaitReady(nodes...); err != nil {
		return false, err
	}
	time.Sleep(stableWindow)

	z := newZone(nodes[:zoneMachines])
	stop := make(chan struct{})
	var wg sync.WaitGroup
	all := make([][]*clients, zoneMachines)
	for i := range zoneMachines {
		wg.Go(func() { z.probe(i, stop) })
		for k := range clientsEach {
			c := newClients(t.rec, t.at(nodes[i].ip, portOutbound))
			all[i] = append(all[i], c)
			wg.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(500*time.Millisecond + rand.N(4*time.Second)):
					}
					if z.getsWork(i) {
						c.send("POST", "gate.example", fmt.Sprintf("/confirm/%d-%d-%d", i, k, n), confirmLimit, []byte("load"))
					}
				}
			})
		}
	}
	time.Sleep(5 * time.Second)

	var mu sync.Mutex
	terms := make([][]time.Time, zoneMachines) // SIGTERMs of each machine
	var rolls sync.WaitGroup
	for range rollsOfTheZone {
		for i := range zoneMachines {
			rolls.Go(func() {
				wg.Go(func() { readSlowly(t.rec, t.at(nodes[i].ip, portOutbound)) })
				time.Sleep(sheetBefore)
				if !t.trouble {
					return
				}
				mu.Lock()
				terms[i] = append(terms[i], time.Now())
				mu.Unlock()
				ended := nodes[i].ended
				nodes[i].signal(syscall.SIGTERM)
				select {
				case <-ended:
				case <-time.After(graceTime):
					nodes[i].kill()
				}
				time.Sleep(restartDelay)
				if err := nodes[i].start(); err != nil {
					t.rec.note("%v", err)
				}
			})
			time.Sleep(rollGap)
		}
		rolls.Wait()
		time.Sleep(5 * time.Second)
	}
	close(stop)
	wg.Wait()

	ran := map[string]arrival{}
	for _, a := range ups[zoneMachines].seen() {
		ran[a.id] = a
	}
	lost, total := 0, 0
	outcomes := map[string]int{}
	for i, machine := range all {
		for _, c := range machine {
			for id, s := range c.sentBy() {
				total++
				outcome := fmt.Sprint(s.status)
				if s.status == 0 {
					outcome = "no answer"
				}
				outcomes[outcome]++
				a, passed := ran[id]
				if s.status != 0 || !passed {
					continue
				}
				for _, at := range terms[i] {
					ends := s.at.Add(s.took)
					if s.at.Before(at) || ends.After(at.Add(graceTime+time.Second)) || s.took >= confirmLimit {
						continue
					}
					lost++
					t.rec.note("request %s: sent %.3f s after the SIGTERM of its machine, passed on and run %.3f s after it, its connection ended %.3f s after it without an answer (%v; run cut: %t)",
						id, s.at.Sub(at).Seconds(), a.at.Sub(at).Seconds(), ends.Sub(at).Seconds(), s.err, a.cut)
				}
			}
		}
	}
	t.rec.note("%d of %d requests were passed on to the upstream around a SIGTERM and got no answer; outcomes %v", lost, total, outcomes)
	return lost > 0, nil
}

// readSlowly gets a long answer on a line that hangs for a time.
func readSlowly(rec *record, outbound string) {
	id := newID()
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10) })
	}}
	conn, err := dialer.Dial("tcp", outbound)
	if err != nil {
		rec.line("slow client: %v", err)
		return
	}
	defer func() { _ = conn.Close() }()
	rec.line("slow client: sends %s", id)
	_, _ = fmt.Fprintf(conn, "GET /sheet/1 HTTP/1.1\r\nHost: grade.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", id, sheetLimit.Milliseconds())
	answer, err := http.ReadResponse(bufio.NewReaderSize(conn, 4<<10), nil)
	if err != nil {
		rec.line("slow client: %s got no answer: %v", id, err)
		return
	}
	time.Sleep(sheetStall)
	began := time.Now()
	got, err := io.Copy(io.Discard, answer.Body)
	if err != nil || got != sheetBytes {
		rec.note("slow client: %s got %d of %d bytes of its answer: %v", id, got, sheetBytes, err)
		return
	}
	rec.line("slow client: %s got %d with %d bytes after %.2f s", id, answer.StatusCode, got, time.Since(began).Seconds())
}
