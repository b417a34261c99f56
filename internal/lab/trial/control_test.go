package trial

import (
	"sync"
	"testing"
	"time"

	"github.com/gypsumrail/gypsumrail"
)

// watch reports revisions that go down until the returned function is called.
func watch(d *Deployment) (stop func()) {
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

// Guards against nodes that end on different revisions, or go back to an older
// one, when two operators publish at once (P8).
func TestTwoOperators(t *testing.T) {
	t.Parallel()
	d := ready(t, usual())
	stop := watch(d)
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
	if err := d.AwaitRevision(); err != nil {
		t.Errorf("P8: %v", err)
	}
	stop()
	settle(t, d)
}

// Guards against a node that takes an older revision from a stale platform, and
// against nodes that stop serving without the platform (P8, P9).
func TestPlatformAway(t *testing.T) {
	t.Parallel()
	d := ready(t, usual())
	for range 4 {
		if err := d.AwaitRevision(); err != nil {
			t.Fatal(err)
		}
	}
	before, err := d.Status(d.Instances[0])
	if err != nil {
		t.Fatal(err)
	}
	stop := watch(d)
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
		t.Errorf("P8: with a stale platform the nodes left revision %d", before.Shell.RecordsInForce)
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
	clients := NewClients(d, Load{Requests: 300, Workers: 8, Sends: 3, Patience: Deadline, Orders: 30, Seed: 1})
	clients.Run()
	if clients.Good.Load() != 300 {
		t.Errorf("P9: without the platform %d of 300 requests got an answer", clients.Good.Load())
	}
	d.Platform.SetStale(0)
	d.Platform.SetDown(false)
	if err := d.AwaitRevision(); err != nil {
		t.Errorf("P8: %v", err)
	}
	stop()
	settle(t, d)
}

// Guards against a zone that stops serving when it is separated from the other
// one, or from the other one and the platform, in both directions or in one, and
// against an order that runs in both zones (P9, P5).
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
			d := ready(t, usual())
			d.Separate("a", "b", true)
			if !test.oneWay {
				d.Separate("b", "a", true)
			}
			if test.platform {
				d.Separate("a", "", true)
			}
			var zones sync.WaitGroup
			for _, zone := range []string{"a", "b"} {
				zones.Go(func() { d.servesAlone(t, zone) })
			}
			zones.Wait()
			d.Separate("a", "b", false)
			d.Separate("b", "a", false)
			d.Separate("a", "", false)
			if err := d.recover(Load{Patience: Deadline}); err != nil {
				t.Errorf("P9: after the partition: %v", err)
			}
			settle(t, d)
		})
	}
}

// servesAlone fails unless a zone serves all requests once it has noticed the
// partition.
func (d *Deployment) servesAlone(t *testing.T, zone string) {
	load := Load{Requests: 100, Workers: 8, Sends: 3, Patience: Deadline, Pause: 100 * time.Millisecond, Orders: 30, Entries: d.InZone(zone), Seed: 1}
	good := int64(0)
	if !Await(func() bool {
		clients := NewClients(d, load)
		clients.Run()
		good = clients.Good.Load()
		return good == int64(load.Requests)
	}) {
		t.Errorf("P9: zone %s alone answered %d of %d requests", zone, good, load.Requests)
	}
}

// Guards against a request that fails because nodes with an old and a new record
// schema handle it together, and against a revision that only some take (P10).
func TestSchemaVersions(t *testing.T) {
	t.Parallel()
	settings := usual()
	settings.SchemaMax = map[string]int{"front-a": 1, "middle-b": 1, "deep-a": 1}
	d := ready(t, settings)
	clients := NewClients(d, Load{Requests: 500, Workers: 8, Sends: 2, Patience: Deadline, Steady: true, Orders: 30, Seed: 1})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		clients.Run()
	}()
	for range 3 {
		if err := d.AwaitRevision(); err != nil {
			t.Errorf("P10: %v", err)
		}
	}
	<-ended
	// The upgrade: old nodes are replaced by current ones.
	for name := range settings.SchemaMax {
		i := d.Named(name)
		i.SchemaMax = 0
		if err := d.Replace(i, true); err != nil {
			t.Fatal(err)
		}
	}
	if err := d.recover(Load{Patience: Deadline}); err != nil {
		t.Errorf("P10: after the upgrade: %v", err)
	}
	if clients.Good.Load() != 500 {
		t.Errorf("P10: %d of 500 requests got an answer", clients.Good.Load())
	}
	settle(t, d)
	if n := d.Observer.Count(func(a Attempt) bool { return a.Outcome == gypsumrail.Unknown }); n > 0 {
		t.Errorf("P10: %d sends ended as Unknown", n)
	}
}
