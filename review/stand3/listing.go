package main

import (
	"fmt"
	"sync"
	"time"
)

// The case "listing": the list of upstreams fills two pages of the store. A node is started
// again. While it reads the second page, an upstream of the first page reports draining, and
// another upstream, of the second page, is added.
const (
	pageMax      = 50
	listedOthers = 52
	drainTime    = 2500 * time.Millisecond // drainS
	stableWindow = 3 * time.Second
)

// grownBounds are settings of the grown deployments.
var grownBounds = map[string]string{"bounds.graceS": "6", "bounds.configApplyS": "2.5", "limits.memoryMb": "184"}

func runListing(t *trial) (bool, error) {
	const machines = listedOthers + 3
	t.bounds = grownBounds
	if err := t.choosePorts(machines); err != nil {
		return false, err
	}
	var err error
	if t.store, err = newStore(t.rec, pageMax); err != nil {
		return false, err
	}
	work := func(d time.Duration) func(*httpRequest) time.Duration {
		return func(*httpRequest) time.Duration { return d }
	}
	var upstreams []*upstream
	add := func(i int, id, service string) (*upstream, error) {
		u := &upstream{rec: t.rec, id: id, service: service, zone: "kl-a", address: t.at(machineIP(i), portApp), slots: 192, queue: 108, work: work(150 * time.Millisecond)}
		upstreams = append(upstreams, u)
		return u, u.start()
	}
	// The entries of the first two sort to the first page, that of the last to the second.
	if _, err := add(0, "i-0000caller", "shop"); err != nil {
		return false, err
	}
	leaver, err := add(1, "i-0001leaver", "order")
	if err != nil {
		return false, err
	}
	for i := range listedOthers {
		service := "order"
		if i > 0 {
			service = "stock"
		}
		if _, err := add(2+i, fmt.Sprintf("i-5%03d", i), service); err != nil {
			return false, err
		}
	}
	services := []string{"shop", "order", "stock"}
	t.store.put("op/config", config(7, services,
		route("r-order", "order.example", "/order/", "non_idempotent", "order", 5, 0, 2),
		route("r-stock", "stock.example", "/stock/", "idempotent", "stock", 5, 2, 2)))
	for _, u := range upstreams {
		t.store.put("servers/"+u.id, u.entry("ready", 1))
	}
	var nodes []*node
	for i, u := range upstreams {
		n, err := t.addNode(i, u.service, u.zone)
		if err != nil {
			return false, err
		}
		nodes = append(nodes, n)
	}
	if err := t.awaitReady(nodes...); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	entry := nodes[0]
	c := newClients(t.rec, t.at(entry.ip, portOutbound))
	if s := c.send("POST", "order.example", "/order/1", 5*time.Second, []byte("order")); s.status != 200 {
		return false, fmt.Errorf("the first request got %d", s.status)
	}

	// The new upstream is started with its node; its entry is written when it is ready.
	added := &upstream{rec: t.rec, id: "i-9999added", service: "order", zone: "kl-a", address: t.at(machineIP(machines-1), portApp), slots: 192, queue: 108, work: work(150 * time.Millisecond)}
	if err := added.start(); err != nil {
		return false, err
	}
	addedNode, err := t.addNode(machines-1, "order", "kl-a")
	if err != nil {
		return false, err
	}
	if err := t.awaitReady(addedNode); err != nil {
		return false, err
	}

	var acked time.Time
	changed := make(chan struct{})
	change := sync.OnceFunc(func() {
		acked = t.store.put("servers/"+leaver.id, leaver.entry("draining", 2))
		t.store.put("servers/"+added.id, added.entry("ready", 1))
		close(changed)
	})
	if t.trouble {
		entry.kill()
		t.store.setBeforePage(func(string) { change() })
		if err := entry.start(); err != nil {
			return false, err
		}
		if err := t.awaitReady(entry); err != nil {
			return false, err
		}
	} else {
		change()
	}
	select {
	case <-changed:
	case <-time.After(5 * time.Second):
		return false, fmt.Errorf("the node read no second page")
	}
	restarted := time.Now()
	// Clients order until the upstream has ended, drainS and some seconds after its report.
	time.Sleep(time.Until(restarted.Add(stableWindow + 500*time.Millisecond)))
	c = newClients(t.rec, t.at(entry.ip, portOutbound))
	var wg sync.WaitGroup
	from := time.Now()
	for i := range 200 {
		wg.Go(func() {
			c.send("POST", "order.example", fmt.Sprintf("/order/%d", 100+i), 5*time.Second, []byte("order"))
		})
		time.Sleep(20 * time.Millisecond)
		if i == 180 {
			t.rec.note("the upstream %s exits, %.1f s after its report", leaver.id, time.Since(acked).Seconds())
			leaver.end()
		}
	}
	wg.Wait()
	late, lost := 0, 0
	results := c.sentBy()
	for _, a := range leaver.seen() {
		if a.at.After(acked.Add(drainTime)) && a.at.After(from) {
			late++
			if s := results[a.id]; !a.done {
				lost++
				t.rec.note("request %s reached %s %.2f s after its draining was acknowledged, was cut, and its client got %d", a.id, leaver.id, a.at.Sub(acked).Seconds(), s.status)
			}
		}
	}
	t.rec.note("%d of %d requests reached %s more than %v after the acknowledgement of its draining; %d of them were lost when it exited", late, len(results), leaver.id, drainTime, lost)
	return late > 0, nil
}
