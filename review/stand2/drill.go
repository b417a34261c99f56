package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["drill"] = drillCase }

// Times after the acknowledgement of the configuration that takes the key away.
const (
	revokeTime   = 5 * time.Second // revokeS
	killAt       = 1 * time.Second // all nodes are killed, and the store goes away
	restartAt    = 1500 * time.Millisecond
	storeBackAt  = 5500 * time.Millisecond   // from a copy that was made 1 s before the acknowledgement
	writtenAt    = storeBackAt + time.Second // the operator has written the configuration again
	drillLength  = 9 * time.Second
	revokedKey   = "key-of-a-studio"
	remainingKey = "key-that-stays"
)

// drillCase takes a key away. One second later all nodes are killed at once, and the store goes
// away; it comes back from an older copy, in which the key is still there.
func drillCase(f *fleet, trouble bool) (int, error) {
	f.revoke = "5"
	withKeys := func(version int, keys ...string) {
		f.configure(version, map[string]any{"tenants": []any{
			map[string]any{"name": "studio", "apiKeys": keys, "ratePerS": 0, "burst": 0},
		}}, "shop", "wallet")
	}
	withKeys(8, revokedKey, remainingKey)
	for i, service := range []string{"shop", "wallet", "shop", "wallet"} {
		if _, err := f.add(fmt.Sprintf("side-%d", i+1), service, []string{"zone-a", "zone-b"}[i/2]); err != nil {
			return failed, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return failed, err
	}
	older := f.store.copy()
	time.Sleep(time.Second)
	withKeys(9, remainingKey)
	acked := time.Now()
	f.log.put("operator", revokedKey, "taken away by version 9, acknowledged")

	var work sync.WaitGroup
	var mu sync.Mutex
	var late []outcome
	for _, m := range f.machines {
		for _, key := range []string{revokedKey, remainingKey} {
			work.Go(func() {
				for _, o := range useKey(f.log, m, key, acked) {
					mu.Lock()
					if key == revokedKey && o.sent.Sub(acked) > revokeTime {
						late = append(late, o)
					}
					mu.Unlock()
				}
			})
		}
	}
	stop := make(chan struct{})
	defer close(stop)
	go f.heartbeats(stop)
	if trouble {
		time.Sleep(time.Until(acked.Add(killAt)))
		f.store.leave()
		f.log.put("store", "", "away")
		for _, m := range f.machines {
			m.signal(syscall.SIGKILL)
		}
		for _, m := range f.machines {
			<-m.ended
		}
		time.Sleep(time.Until(acked.Add(restartAt)))
		for _, m := range f.machines {
			if err := m.start(); err != nil {
				return failed, err
			}
		}
		time.Sleep(time.Until(acked.Add(storeBackAt)))
		if err := f.store.comeBack(older); err != nil {
			return failed, err
		}
		f.log.put("store", "", "back from a copy, in era 1")
		time.Sleep(time.Until(acked.Add(writtenAt)))
		withKeys(9, remainingKey)
		f.log.put("operator", revokedKey, "version 9 written again, acknowledged")
	}
	work.Wait()
	ran := 0
	for _, o := range late {
		for _, m := range f.machines {
			if m.upstream.hasRun(o.id) {
				ran++
				f.log.put("result", o.id, "ran at %s, sent %d ms after the acknowledgement with the key that was taken away", m.upstream.name, o.sent.Sub(acked).Milliseconds())
			}
		}
	}
	f.log.put("result", "", "%d requests were sent with the key later than %v, %d of them ran", len(late), revokeTime, ran)
	if len(late) == 0 {
		return failed, fmt.Errorf("no request with the key was sent late")
	}
	if ran > 0 {
		return broken, nil
	}
	return held, nil
}

// useKey sends a request with the key each tenth of a second.
func useKey(log *record, m *machine, key string, began time.Time) (all []outcome) {
	for n := 0; time.Since(began) < drillLength; n++ {
		time.Sleep(100 * time.Millisecond)
		c, err := dial(log, m.outbound(), "mesh.example")
		if err != nil {
			continue
		}
		id := fmt.Sprintf("%s-%s-%d", key[:5], m.name, n)
		o, err := c.send("GET", "/wallet/balance?work=10", key+"-"+id, time.Second, "Authorization: Bearer "+key+"\r\n", "")
		if err == nil {
			all = append(all, c.await(o, "GET", o.sent.Add(1500*time.Millisecond)))
		}
		_ = c.Close()
	}
	return all
}
