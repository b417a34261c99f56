package trial

import (
	"sync"
	"testing"
	"time"

	"github.com/gypsumrail/gypsumrail"
)

// watchRevisionsUntilStopped runs watchRevisions until stop is called.
func watchRevisionsUntilStopped(d *Deployment) (stop func()) {
	end, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		d.watchRevisions(end)
	}()
	return func() {
		close(end)
		<-ended
	}
}

// Two operators publish at once. Guards against nodes that end on different
// revisions or go back to an older one (P8).
func TestTwoOperators(t *testing.T) {
	t.Parallel()
	d := startReady(t, defaultSettings())
	stop := watchRevisionsUntilStopped(d)
	var operators sync.WaitGroup
	for range 2 {
		operators.Go(func() {
			for range 10 {
				if _, err := d.PublishRecords(Allowance); err != nil {
					t.Error(err)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	operators.Wait()
	if err := d.PublishAndAwait(); err != nil {
		t.Errorf("P8: %v", err)
	}
	stop()
	awaitIdleAndCheck(t, d)
}

// The platform serves an old revision, then fails. Guards against a node that
// adopts the old revision (P8) and against nodes that stop serving (P9).
func TestPlatformAway(t *testing.T) {
	t.Parallel()
	d := startReady(t, defaultSettings())
	for range 4 {
		if err := d.PublishAndAwait(); err != nil {
			t.Fatal(err)
		}
	}
	before, err := d.Status(d.Instances[0])
	if err != nil {
		t.Fatal(err)
	}
	stop := watchRevisionsUntilStopped(d)
	d.Platform.SetStale(3)
	if err := d.Replace(d.Named("deep-a"), false); err != nil {
		t.Fatal(err)
	}
	same := func() bool {
		for _, i := range d.Instances {
			if s, err := d.Status(i); err != nil || s.Shell.RecordsInForce != before.Shell.RecordsInForce {
				return false
			}
		}
		return true
	}
	if !Await(same) {
		t.Errorf("P8: with a stale platform the nodes did not stay at revision %d", before.Shell.RecordsInForce)
	}
	d.Platform.SetDown(true)
	if err := d.Replace(d.Named("middle-b"), false); err != nil {
		t.Fatal(err)
	}
	if !Await(same) {
		t.Errorf("P8: without the platform a new node did not get revision %d", before.Shell.RecordsInForce)
	}
	if err := d.AwaitReady(); err != nil {
		t.Errorf("P9: without the platform: %v", err)
	}
	clients := NewClients(d, Load{Requests: 300, Workers: 8, AttemptsMax: 3, Timeout: Deadline, OrderPercent: 30, Seed: 1})
	clients.Run()
	if clients.Succeeded.Load() != 300 {
		t.Errorf("P9: without the platform %d of 300 requests got an answer", clients.Succeeded.Load())
	}
	d.Platform.SetStale(0)
	d.Platform.SetDown(false)
	if err := d.PublishAndAwait(); err != nil {
		t.Errorf("P8: %v", err)
	}
	stop()
	awaitIdleAndCheck(t, d)
}

// A partition cuts one zone off from the other one, in one or both directions,
// and in one case also from the platform. Guards against a zone that stops serving
// (P9) and against an order that runs in both zones (P5).
func TestPartition(t *testing.T) {
	tests := []struct {
		name             string
		oneWay, platform bool
	}{
		{"both ways", false, false},
		{"both ways and from the platform", false, true},
		{"one way", true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			d := startReady(t, defaultSettings())
			d.SetPartitioned("a", "b", true)
			if !test.oneWay {
				d.SetPartitioned("b", "a", true)
			}
			if test.platform {
				d.SetPartitioned("a", "", true)
			}
			var zones sync.WaitGroup
			for _, zone := range []string{"a", "b"} {
				zones.Go(func() { d.checkServesAlone(t, zone) })
			}
			zones.Wait()
			d.SetPartitioned("a", "b", false)
			d.SetPartitioned("b", "a", false)
			d.SetPartitioned("a", "", false)
			if err := d.awaitRecovery(Load{Timeout: Deadline}); err != nil {
				t.Errorf("P9: after the partition: %v", err)
			}
			awaitIdleAndCheck(t, d)
		})
	}
}

// checkServesAlone fails the test unless the nodes of a zone answer all requests
// within a minute. While they have not detected the partition, requests may fail.
func (d *Deployment) checkServesAlone(t *testing.T, zone string) {
	load := Load{Requests: 100, Workers: 8, AttemptsMax: 3, Timeout: Deadline, ResendDelayMax: 100 * time.Millisecond, OrderPercent: 30, EntryNodes: d.InZone(zone), Seed: 1}
	good := int64(0)
	if !Await(func() bool {
		clients := NewClients(d, load)
		clients.Run()
		good = clients.Succeeded.Load()
		return good == int64(load.Requests)
	}) {
		t.Errorf("P9: zone %s alone answered %d of %d requests", zone, good, load.Requests)
	}
}

// Nodes with an old and a new record schema serve together during an upgrade.
// Guards against requests that fail for that reason and against a revision that
// only some nodes adopt (P10).
func TestSchemaVersions(t *testing.T) {
	t.Parallel()
	settings := defaultSettings()
	settings.SchemaMax = map[string]int{"front-a": 1, "middle-b": 1, "deep-a": 1}
	d := startReady(t, settings)
	clients := NewClients(d, Load{Requests: 500, Workers: 8, AttemptsMax: 2, Timeout: Deadline, FixedTimeout: true, OrderPercent: 30, Seed: 1})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		clients.Run()
	}()
	for range 3 {
		if err := d.PublishAndAwait(); err != nil {
			t.Errorf("P10: %v", err)
		}
	}
	<-ended
	// The upgrade replaces the old nodes by current ones.
	for name := range settings.SchemaMax {
		i := d.Named(name)
		i.SchemaMax = 0
		if err := d.Replace(i, true); err != nil {
			t.Fatal(err)
		}
	}
	if err := d.awaitRecovery(Load{Timeout: Deadline}); err != nil {
		t.Errorf("P10: after the upgrade: %v", err)
	}
	if clients.Succeeded.Load() != 500 {
		t.Errorf("P10: %d of 500 requests got an answer", clients.Succeeded.Load())
	}
	awaitIdleAndCheck(t, d)
	if n := d.Observer.Count(func(a Attempt) bool { return a.Outcome == gypsumrail.Unknown }); n > 0 {
		t.Errorf("P10: %d attempts ended with the outcome Unknown", n)
	}
}
