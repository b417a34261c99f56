package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = stopCase }

const (
	bundleBytes = 12 << 20
	// bundleTime is how long the slow client takes to read the bundle. Its time limit is 10 s.
	bundleTime = 5500 * time.Millisecond
	termAfter  = 500 * time.Millisecond
)

// stopCase stops a node with SIGTERM while one client reads a long answer slowly and four
// others go on sending on the connections that they have. The node is the only one of its
// zone, so the platform doesn't take its clients away.
func stopCase(f *fleet, trouble bool) (int, error) {
	f.configure(7, nil, "desk", "lists")
	x, err := f.add("side-a-1", "desk", "zone-a")
	if err != nil {
		return failed, err
	}
	y, err := f.add("side-b-1", "lists", "zone-b")
	if err != nil {
		return failed, err
	}
	if err := f.awaitReady(); err != nil {
		return failed, err
	}
	slow, err := dialSlow(f.log, x.outbound(), "mesh.example")
	if err != nil {
		return failed, err
	}
	if _, err := slow.send("GET", fmt.Sprintf("/lists/bundle?work=100&size=%d", bundleBytes), "bundle", 10*time.Second, "", ""); err != nil {
		return failed, err
	}
	began := time.Now()
	var work sync.WaitGroup
	work.Go(func() { readSlowly(f.log, slow, began) })
	var mu sync.Mutex
	var lost []outcome
	for i := range 4 {
		work.Go(func() {
			if o := keepSending(f.log, x, i, began); o != nil {
				mu.Lock()
				lost = append(lost, *o)
				mu.Unlock()
			}
		})
	}
	time.Sleep(time.Until(began.Add(termAfter)))
	termed := time.Now()
	if trouble {
		x.signal(syscall.SIGTERM)
	}
	work.Wait()
	count := 0
	for _, o := range lost {
		if y.upstream.hasRun(o.id) {
			count++
			f.log.put("result", o.id, "sent %d ms after the SIGTERM, ran at %s, and its connection ended %d ms after the SIGTERM without an answer",
				o.sent.Sub(termed).Milliseconds(), y.upstream.name, o.ended.Sub(termed).Milliseconds())
		}
	}
	if count > 0 {
		return broken, nil
	}
	return held, nil
}

// readSlowly reads the bundle evenly over bundleTime.
func readSlowly(log *record, c *client, began time.Time) {
	block := make([]byte, 32<<10)
	read := 0
	for read < bundleBytes {
		_ = c.SetReadDeadline(began.Add(10 * time.Second))
		n, err := c.Read(block)
		read += n
		if err != nil {
			log.put("slow", "bundle", "read %d bytes in %d ms, then %v", read, time.Since(began).Milliseconds(), err)
			return
		}
		time.Sleep(time.Until(began.Add(time.Duration(float64(read) / bundleBytes * float64(bundleTime)))))
	}
	log.put("slow", "bundle", "read it whole in %d ms", time.Since(began).Milliseconds())
	_ = c.Close()
}

// keepSending sends one request a second, on a kept connection as long as the node keeps it.
// It ends with a request whose connection ended without an answer, or with nil. A connection
// that the node closed before it read the request is no such case: the client goes away.
func keepSending(log *record, x *machine, number int, began time.Time) *outcome {
	conns := []*client{}
	for range 8 { // opened ahead, as clients that have many connections do
		c, err := dial(log, x.outbound(), "mesh.example")
		if err != nil {
			return nil
		}
		conns = append(conns, c)
	}
	for turn := range 8 {
		time.Sleep(time.Until(began.Add(time.Duration(number)*150*time.Millisecond + time.Duration(turn)*time.Second)))
		id := fmt.Sprintf("order-%d-%d", number, turn)
		o, err := conns[turn].send("POST", "/lists-once/order?work=400", id, 1200*time.Millisecond, "", "one")
		if err != nil {
			return nil
		}
		o = conns[turn].await(o, "POST", o.sent.Add(2*time.Second))
		if !o.whole {
			return &o
		}
	}
	return nil
}
