package main

import (
	"fmt"
	"sync"
	"time"
)

// The case "born": an upstream goes down and up again under its id, while the time of day of
// its machine jumps back, so that its field born is lower than before. Later it reports
// draining, serves on, and exits.
const (
	flapPeriod = 1400 * time.Millisecond // srv_flap: half of it down, half of it up
	flapTurns  = 4
	clockStep  = 2400 * time.Millisecond // clock_step
)

func runBorn(t *trial) (bool, error) {
	t.bounds = grownBounds
	if err := t.choosePorts(3); err != nil {
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
	caller, stays, leaver := newUpstream(0, "i-0caller", "cutlist"), newUpstream(1, "i-1stays", "ordering"), newUpstream(2, "i-2leaver", "ordering")
	t.store.put("op/config", config(7, []string{"cutlist", "ordering"}, route("r-order", "order.example", "/confirm/", "non_idempotent", "ordering", 5, 0, 2)))
	var nodes []*node
	for i, u := range []*upstream{caller, stays, leaver} {
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
	c := newClients(t.rec, t.at(nodes[0].ip, portOutbound))
	var wg sync.WaitGroup
	stop, sending := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(sending)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(25 * time.Millisecond):
			}
			wg.Go(func() { c.send("POST", "order.example", fmt.Sprintf("/confirm/%d", i), 5*time.Second, []byte("order")) })
		}
	}()

	// The upstream goes down and up by turns. Its machine's time of day jumps back before the
	// last start.
	for turn := range flapTurns {
		time.Sleep(flapPeriod / 2)
		t.rec.note("the upstream %s goes down", leaver.id)
		leaver.end()
		time.Sleep(flapPeriod / 2)
		before := leaver.born
		if err := leaver.start(); err != nil {
			return false, err
		}
		if t.trouble && turn == flapTurns-1 {
			leaver.born -= clockStep.Milliseconds()
		}
		t.rec.note("the upstream %s is up again, born %+d ms", leaver.id, leaver.born-before)
		t.store.put("servers/"+leaver.id, leaver.entry("ready", 1))
	}

	// Everything is calm for far longer than stableWindowS.
	time.Sleep(12 * time.Second)
	acked := t.store.put("servers/"+leaver.id, leaver.entry("draining", 2))
	t.rec.note("the draining of %s is acknowledged", leaver.id)
	time.Sleep(8 * time.Second)
	t.rec.note("%s exits", leaver.id)
	leaver.end()
	t.store.remove("servers/" + leaver.id)
	time.Sleep(time.Second)
	close(stop)
	<-sending
	wg.Wait()

	results, late, lost := c.sentBy(), 0, 0
	for _, a := range leaver.seen() {
		after := a.at.Sub(acked)
		if after <= drainTime {
			continue
		}
		late++
		if !a.done {
			lost++
			t.rec.note("request %s reached %s %.2f s after the acknowledgement, was cut, and its client got %d", a.id, leaver.id, after.Seconds(), results[a.id].status)
		}
	}
	t.rec.note("%d requests reached %s more than %v after the acknowledgement of its draining; %d of them were cut when it exited", late, leaver.id, drainTime, lost)
	return late > 0, nil
}
