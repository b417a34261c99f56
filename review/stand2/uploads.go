package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["uploads"] = uploadsCase }

const (
	memoryMb      = 184
	uploadBytes   = 40 << 20 // maxBodyBytes is 64 MiB
	uploadRate    = 25e6     // bytes a second: linkMbps is 200
	endlessShare  = 0.1      // of the answers of one of two upstreams to reads
	endlessRate   = 2.5e6    // bytes a second
	troubleAt     = 3 * time.Second
	troubleTime   = 5500 * time.Millisecond
	uploadsLength = 12 * time.Second
	customers     = 16
	lostAllowed   = 3
)

// uploadsCase lets one of two upstreams for documents send a tenth of its answers without end,
// while one client at its machine uploads documents and customers there pay, at a sound
// upstream, on kept connections.
func uploadsCase(f *fleet, trouble bool) (int, error) {
	f.configure(7, nil, "search", "documents", "fees")
	for i, service := range []string{"search", "search", "documents", "documents", "fees"} {
		if _, err := f.add(fmt.Sprintf("side-%d", i+1), service, []string{"zone-a", "zone-b", "zone-a", "zone-b", "zone-c"}[i]); err != nil {
			return failed, err
		}
	}
	readers, sick, sound := f.machines[:2], f.machines[2], f.machines[4]
	var began time.Time
	started := make(chan struct{})
	if trouble {
		sick.upstream.answer = func(u *upstream, c net.Conn, r *http.Request, _ []byte) bool {
			ms, _ := strconv.Atoi(r.URL.Query().Get("work"))
			time.Sleep(time.Duration(ms) * time.Millisecond)
			<-started
			if since := time.Since(began); r.Method != http.MethodGet || since < troubleAt || since > troubleAt+troubleTime || rand.Float64() > endlessShare {
				return u.respond(c, r)
			}
			return sendWithoutEnd(c, r.Header.Get("Request-Id"))
		}
	}
	if err := f.awaitReady(); err != nil {
		return failed, err
	}
	began = time.Now()
	close(started)
	stop := make(chan struct{})
	var watch, work sync.WaitGroup
	kills := make(map[*machine][]time.Time)
	peaks := make(map[*machine]int)
	watch.Go(func() { f.heartbeats(stop) })
	watch.Go(func() { f.limitMemory(stop, kills, peaks) })
	work.Go(func() { upload(f.log, sick, "upload", began) })
	for i, m := range readers {
		for j := range 18 { // 90 reads a second at each machine
			work.Go(func() { check(f.log, m, fmt.Sprintf("check-%d-%d", i, j), began) })
		}
	}
	var mu sync.Mutex
	var lost []outcome
	for i := range customers {
		work.Go(func() {
			for _, o := range pay(f.log, sick, fmt.Sprintf("payment-%d", i), began) {
				mu.Lock()
				lost = append(lost, o)
				mu.Unlock()
			}
		})
	}
	work.Wait()
	close(stop)
	watch.Wait()
	for _, m := range f.machines {
		f.log.put("memory", m.name, "%d kB at most, killed %d times", peaks[m], len(kills[m]))
	}
	cut := 0
	for _, o := range lost {
		if sound.upstream.hasRun(o.id) {
			cut++
			f.log.put("result", o.id, "ran at %s, and its connection ended without an answer", sound.upstream.name)
		}
	}
	f.log.put("result", "", "%d payments were passed on and never answered", cut)
	if cut > lostAllowed {
		return broken, nil
	}
	return held, nil
}

func sendWithoutEnd(c net.Conn, id string) bool {
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n\r\n", id); err != nil {
		return false
	}
	block := make([]byte, 25_000)
	for {
		if _, err := c.Write(block); err != nil {
			return false
		}
		time.Sleep(time.Duration(float64(len(block)) / endlessRate * float64(time.Second)))
	}
}

// limitMemory kills each process that exceeds its memory and starts it again, as the platform
// does.
func (f *fleet) limitMemory(stop chan struct{}, kills map[*machine][]time.Time, peaks map[*machine]int) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(4 * time.Millisecond):
		}
		for _, m := range f.machines {
			kb := peakKb(m.process.Process.Pid)
			peaks[m] = max(peaks[m], kb)
			if kb <= memoryMb*1024 {
				continue
			}
			f.log.put("memory", m.name, "%d kB of %d: killed", kb, memoryMb*1024)
			_ = m.process.Process.Signal(syscall.SIGKILL)
			<-m.ended
			kills[m] = append(kills[m], time.Now())
			time.Sleep(300 * time.Millisecond)
			if err := m.start(); err != nil {
				f.log.put("memory", m.name, "not started again: %v", err)
				return
			}
		}
	}
}

// peakKb returns the largest resident memory that a process has had, in kB, or 0. What it has
// received and not read yet is not in it.
func peakKb(pid int) int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	_, rest, _ := strings.Cut(string(data), "VmHWM:")
	kb, _ := strconv.Atoi(strings.Fields(rest + " 0")[0])
	return kb
}

// upload sends one document after the other, each at uploadRate.
func upload(log *record, m *machine, name string, began time.Time) {
	block := make([]byte, 64<<10)
	for n := 0; time.Since(began) < uploadsLength; n++ {
		c, err := dial(log, m.outbound(), "mesh.example")
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		id := fmt.Sprintf("%s-%d", name, n)
		_, err = fmt.Fprintf(c, "POST /documents-once/statute?work=160 HTTP/1.1\r\nHost: mesh.example\r\nRequest-Id: %s\r\nDeadline-Ms: 4000\r\nContent-Length: %d\r\n\r\n", id, uploadBytes)
		start := time.Now()
		for sent := 0; sent < uploadBytes && err == nil; sent += len(block) {
			_, err = c.Write(block)
			time.Sleep(time.Until(start.Add(time.Duration(float64(sent) / uploadRate * float64(time.Second)))))
		}
		log.put("sent", id, "an upload of %d bytes, %v", uploadBytes, err)
		o := c.await(outcome{id: id, sent: time.Now()}, "POST", time.Now().Add(4*time.Second))
		_ = c.Close()
		time.Sleep(retryAfter(o))
	}
}

// retryAfter returns how long a client is told to wait.
func retryAfter(o outcome) time.Duration {
	seconds, _ := strconv.ParseFloat(o.header.Get("Retry-After"), 64)
	return time.Duration(seconds * float64(time.Second))
}

// check reads the state of a document five times a second.
func check(log *record, m *machine, name string, began time.Time) {
	var c *client
	for n := 0; time.Since(began) < uploadsLength; n++ {
		next := time.Now().Add(200 * time.Millisecond)
		if c == nil {
			var err error
			if c, err = dial(log, m.outbound(), "mesh.example"); err != nil {
				time.Sleep(time.Until(next))
				continue
			}
		}
		o, err := c.send("GET", "/documents/check?work=15&size=6000", fmt.Sprintf("%s-%d", name, n), 2500*time.Millisecond, "", "")
		if err == nil {
			o = c.await(o, "GET", o.sent.Add(3*time.Second))
		}
		if err != nil || !o.whole || o.last {
			_ = c.Close()
			c = nil
		}
		time.Sleep(max(time.Until(next), retryAfter(o)))
	}
}

// pay sends one payment after the other and returns those on kept connections, which had
// carried another payment, whose connection ended without an answer.
func pay(log *record, m *machine, name string, began time.Time) (lost []outcome) {
	var c *client
	carried := 0
	for n := 0; time.Since(began) < uploadsLength; n++ {
		if c == nil {
			var err error
			if c, err = dial(log, m.outbound(), "mesh.example"); err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
			carried = 0
		}
		o, err := c.send("POST", "/fees-once/payment?work=500", fmt.Sprintf("%s-%d", name, n), 2*time.Second, "", "one")
		if err == nil {
			o = c.await(o, "POST", o.sent.Add(3*time.Second))
			if !o.whole && !isTimeout(o.problem) && carried > 0 {
				lost = append(lost, o)
			}
		}
		carried++
		if err != nil || !o.whole || o.last {
			_ = c.Close()
			c = nil
		}
		time.Sleep(retryAfter(o))
	}
	return lost
}
