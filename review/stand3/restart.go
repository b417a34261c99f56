package main

import (
	"fmt"
	"sync"
	"time"
)

// The case "restart": an upstream that never reports draining leaves. The store comes back from
// a copy that still has its entry, while one node is killed and starts again.
const (
	removedBefore = 1500 * time.Millisecond // the drill
	killedAfter   = 500 * time.Millisecond  // the begin of the drill
)

func runRestart(t *trial) (bool, error) {
	t.bounds = grownBounds
	if err := t.choosePorts(5); err != nil {
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
	leaver := newUpstream(1, "i-1leaver", "ordering")
	ups := []*upstream{newUpstream(0, "i-0caller", "cutlist"), leaver, newUpstream(2, "i-2", "ordering"), newUpstream(3, "i-3", "ordering"), newUpstream(4, "i-4", "cutlist")}
	operator := config(7, []string{"cutlist", "ordering"}, route("r-order", "order.example", "/confirm/", "non_idempotent", "ordering", 5, 0, 2))
	t.store.put("op/config", operator)
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
	all := []*clients{newClients(t.rec, t.at(nodes[0].ip, portOutbound)), newClients(t.rec, t.at(nodes[4].ip, portOutbound))}
	for _, c := range all {
		every(25*time.Millisecond, func(n int) {
			requests.Go(func() { c.send("POST", "order.example", fmt.Sprintf("/confirm/%d", n), 5*time.Second, []byte("order")) })
		})
	}
	time.Sleep(copyAge + stableWindow)
	acked := t.store.remove("servers/" + leaver.id)
	t.rec.note("the removal of %s is acknowledged", leaver.id)
	time.Sleep(removedBefore)
	if t.trouble {
		wg.Go(func() {
			time.Sleep(killedAfter)
			nodes[0].kill()
			if err := nodes[0].start(); err != nil {
				t.rec.note("%v", err)
			}
		})
		t.store.drill(storeAway, copyAge)
		wg.Go(func() {
			time.Sleep(beat)
			t.store.put("op/config", operator)
			for _, u := range ups {
				if u != leaver {
					t.store.put("servers/"+u.id, u.entry("ready", 2))
				}
			}
		})
	} else {
		time.Sleep(storeAway)
	}
	back := time.Now()
	time.Sleep(lapseAfter - 200*time.Millisecond)
	t.rec.note("%s exits, %.1f s after its removal", leaver.id, time.Since(acked).Seconds())
	leaver.end()
	time.Sleep(200 * time.Millisecond)
	t.store.remove("servers/" + leaver.id) // lapsed
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	requests.Wait()
	inTouch, lost := [2]int{}, 0
	for k, c := range all {
		results := c.sentBy()
		for _, a := range leaver.seen() {
			s, ok := results[a.id]
			if !ok || a.at.Sub(acked) <= drainTime || !s.at.After(back.Add(stableWindow)) {
				continue
			}
			inTouch[k]++
			if !a.done {
				lost++
			}
		}
	}
	t.rec.note("%d late orders from the machine whose node was killed, %d from the other, sent later than %v after the store's return; %d were cut", inTouch[0], inTouch[1], stableWindow, lost)
	return inTouch[0]+inTouch[1] > 0, nil
}
