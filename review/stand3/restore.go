package main

import (
	"fmt"
	"sync"
	"time"
)

// The case "restore": the platform's store comes back from a copy twice. Between, an upstream
// that never reports draining leaves: its entry is removed, and it serves on for some seconds.
const (
	storeAway  = time.Second
	copyAge    = 4 * time.Second // of the copies when the store comes back
	beat       = 1500 * time.Millisecond
	leavesAt   = 4500 * time.Millisecond // after the first return
	secondAt   = 7 * time.Second         // after the first return
	lapseAfter = 3 * beat
)

func runRestore(t *trial) (bool, error) {
	t.bounds = grownBounds
	if err := t.choosePorts(4); err != nil {
		return false, err
	}
	var err error
	if t.store, err = newStore(t.rec, pageMax); err != nil {
		return false, err
	}
	newUpstream := func(i int, id, service string) *upstream {
		return &upstream{
			rec: t.rec, id: id, service: service, zone: "kl-a", address: t.at(machineIP(i), portApp), slots: 129, queue: 108,
			work: func(*httpRequest) time.Duration { return 240 * time.Millisecond },
		}
	}
	caller, leaver := newUpstream(0, "i-0caller", "cutlist"), newUpstream(1, "i-1leaver", "ordering")
	stays := []*upstream{newUpstream(2, "i-2stays", "ordering"), newUpstream(3, "i-3stays", "ordering")}
	operator := config(7, []string{"cutlist", "ordering"}, route("r-order", "order.example", "/confirm/", "non_idempotent", "ordering", 5, 0, 2))
	t.store.put("op/config", operator)
	var nodes []*node
	for i, u := range append([]*upstream{caller, leaver}, stays...) {
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
	var wg sync.WaitGroup
	every := func(pause time.Duration, do func(n int)) {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(pause):
					do(n)
				}
			}
		})
	}
	every(200*time.Millisecond, func(int) { t.store.keepCopy() })
	c := newClients(t.rec, t.at(nodes[0].ip, portOutbound))
	var requests sync.WaitGroup
	every(25*time.Millisecond, func(n int) {
		requests.Go(func() { c.send("POST", "order.example", fmt.Sprintf("/confirm/%d", n), 5*time.Second, []byte("order")) })
	})
	time.Sleep(copyAge + stableWindow)

	// drill makes the store come back from a copy. What the operator and the upstreams wrote
	// is written again.
	drill := func(alive []*upstream) {
		if !t.trouble {
			time.Sleep(storeAway)
			return
		}
		t.store.drill(storeAway, copyAge)
		wg.Go(func() {
			time.Sleep(beat)
			t.store.put("op/config", operator)
			for _, u := range alive {
				t.store.put("servers/"+u.id, u.entry("ready", 2))
			}
		})
	}
	drill(append([]*upstream{caller, leaver}, stays...))
	first := time.Now()
	time.Sleep(leavesAt)
	acked := t.store.remove("servers/" + leaver.id)
	t.rec.note("the removal of %s is acknowledged, %.1f s after the store's return", leaver.id, time.Since(first).Seconds())
	time.Sleep(time.Until(first.Add(secondAt)))
	drill(append([]*upstream{caller}, stays...))
	second := time.Now()
	time.Sleep(lapseAfter - 200*time.Millisecond)
	t.rec.note("%s exits, %.1f s after its removal", leaver.id, time.Since(acked).Seconds())
	leaver.end()
	time.Sleep(200 * time.Millisecond)
	t.store.remove("servers/" + leaver.id) // lapsed
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	requests.Wait()

	results, late, inTouch, lost := c.sentBy(), 0, 0, 0
	for _, a := range leaver.seen() {
		if a.at.Sub(acked) <= drainTime {
			continue
		}
		late++
		if results[a.id].at.After(second.Add(stableWindow)) {
			inTouch++
			if !a.done {
				lost++
				t.rec.note("request %s reached %s %.2f s after its removal was acknowledged, was cut, and its client got %d", a.id, leaver.id, a.at.Sub(acked).Seconds(), results[a.id].status)
			}
		}
	}
	t.rec.note("%d requests reached %s more than %v after the acknowledgement of its removal, %d of them sent later than %v after the store's second return; %d of these were cut when it exited",
		late, leaver.id, drainTime, inTouch, stableWindow, lost)
	return inTouch > 0, nil
}
