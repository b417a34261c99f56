package main

import (
	"fmt"
	"maps"
	"sync"
	"time"
)

// The case "silent": the open connections to the store on which watches wait go silent for good,
// while new ones work. Later, when all machines are in touch again, an upstream reports draining.
// Stale reads of the store are some seconds old, as they may be at any time.
const (
	staleLag    = 4 * time.Second
	silentAfter = 2700 * time.Millisecond // the last change in the store
	drainsLater = 4 * time.Second         // after the silence
	exitsLater  = 4 * time.Second         // after the report
)

func runSilent(t *trial) (bool, error) {
	t.bounds = grownBounds
	if err := t.choosePorts(6); err != nil {
		return false, err
	}
	var err error
	if t.store, err = newStore(t.rec, pageMax); err != nil {
		return false, err
	}
	t.store.staleLag = staleLag
	newUpstream := func(i int, id, service, zone string) *upstream {
		return &upstream{
			rec: t.rec, id: id, service: service, zone: zone, address: t.at(machineIP(i), portApp), slots: 129, queue: 108,
			work: func(*httpRequest) time.Duration { return 240 * time.Millisecond },
		}
	}
	leaver := newUpstream(1, "i-1leaver", "ordering", "kl-a")
	ups := []*upstream{
		newUpstream(0, "i-0caller", "cutlist", "kl-a"), leaver,
		newUpstream(2, "i-2", "cutlist", "kl-b"), newUpstream(3, "i-3", "ordering", "kl-b"),
		newUpstream(4, "i-4", "cutlist", "cyb-a"), newUpstream(5, "i-5", "ordering", "cyb-a"),
	}
	services := []string{"cutlist", "ordering"}
	orders := route("r-order", "order.example", "/confirm/", "non_idempotent", "ordering", 5, 0, 2)
	t.store.put("op/config", config(7, services, orders))
	var nodes []*node
	for i, u := range ups {
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
	stop := make(chan struct{})
	var wg, requests sync.WaitGroup
	all := []*clients{newClients(t.rec, t.at(nodes[0].ip, portOutbound)), newClients(t.rec, t.at(nodes[2].ip, portOutbound)), newClients(t.rec, t.at(nodes[4].ip, portOutbound))}
	for _, c := range all {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(25 * time.Millisecond):
					requests.Go(func() { c.send("POST", "order.example", fmt.Sprintf("/confirm/%d", n), 5*time.Second, []byte("order")) })
				}
			}
		})
	}
	time.Sleep(staleLag + 2*time.Second) // stale reads have what the nodes have
	t.store.put("op/config", config(8, services, orders))
	time.Sleep(silentAfter)
	if t.trouble {
		t.rec.note("%d connections on which watches wait go silent", t.store.silence())
	}
	time.Sleep(drainsLater)
	acked := t.store.put("servers/"+leaver.id, leaver.entry("draining", 2))
	t.rec.note("the draining of %s is acknowledged, %.1f s after the silence", leaver.id, drainsLater.Seconds())
	time.Sleep(exitsLater)
	t.rec.note("%s exits, %.1f s after its report", leaver.id, time.Since(acked).Seconds())
	leaver.end()
	t.store.remove("servers/" + leaver.id)
	time.Sleep(3 * time.Second)
	close(stop)
	wg.Wait()
	requests.Wait()

	late, lost := 0, 0
	results := map[string]sent{}
	for _, c := range all {
		maps.Copy(results, c.sentBy())
	}
	for _, a := range leaver.seen() {
		after := a.at.Sub(acked)
		if after <= drainTime {
			continue
		}
		late++
		if !a.done {
			lost++
			t.rec.note("request %s reached %s %.2f s after its draining was acknowledged, was cut, and its client got %d", a.id, leaver.id, after.Seconds(), results[a.id].status)
		}
	}
	t.rec.note("%d requests reached %s more than %v after the acknowledgement of its draining; %d of them were cut when it exited", late, leaver.id, drainTime, lost)
	return late > 0, nil
}
