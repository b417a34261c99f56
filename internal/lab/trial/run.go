package trial

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/gypsumrail/gypsumrail"
)

// Report is the result of a trial.
type Report struct {
	Seed     uint64
	Requests int64
	Sends    int64
	Good     int64 // requests with a whole answer
	Faults   map[Kind]int
	Totals   map[string]int // sends by how they ended
	Broken   []Broken
}

// String returns the report for a reader.
func (r *Report) String() string {
	var b strings.Builder
	faults := 0
	for _, n := range r.Faults {
		faults += n
	}
	fmt.Fprintf(&b, "seed %d: %d requests in %d sends, %d with a whole answer; %d faults; %d broken promises\n",
		r.Seed, r.Requests, r.Sends, r.Good, faults, len(r.Broken))
	fmt.Fprintln(&b, "faults:", list(r.Faults))
	fmt.Fprintln(&b, "sends: ", list(r.Totals))
	for _, broken := range r.Broken {
		fmt.Fprintf(&b, "P%d: %s\n", broken.Promise, broken.What)
	}
	return b.String()
}

func list[K ~string](counts map[K]int) string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		out = append(out, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return strings.Join(out, ", ")
}

// Run sends a load through a deployment under the faults of a seed, waits until
// everything has come to rest, and compares. It also checks that the deployment
// recovers: that all nodes have the newest revision (P8) and that every node
// serves again (P9).
func Run(d *Deployment, load Load, kinds []Kind) (*Report, error) {
	if err := d.AwaitReady(); err != nil {
		return nil, err
	}
	report := &Report{Seed: load.Seed}
	stop := make(chan struct{})
	var failed error
	faults := make(chan struct{})
	plan := NewPlan(load.Seed, d, kinds)
	go func() {
		defer close(faults)
		report.Faults, failed = d.Faults(plan, stop)
	}()
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		d.watchRevisions(stop)
	}()
	clients := NewClients(d, load)
	clients.Run()
	close(stop)
	<-faults
	<-watched
	if failed != nil {
		return nil, failed
	}
	if err := d.recover(load); err != nil {
		d.Observer.Report(9, "no recovery after the faults: %v", err)
	}
	report.Requests, report.Sends, report.Good = clients.Done.Load(), clients.Sent.Load(), clients.Good.Load()
	report.Totals, report.Broken = d.Observer.Totals(), d.Observer.Broken()
	return report, nil
}

// watchRevisions reports an incarnation whose revision goes down (P8).
func (d *Deployment) watchRevisions(stop <-chan struct{}) {
	last := make(map[gypsumrail.Incarnation]gypsumrail.Revision)
	for {
		for _, i := range d.Instances {
			s, err := d.Status(i)
			if err != nil {
				continue
			}
			self, revision := s.Node.Self.Incarnation, s.Shell.RecordsInForce
			if revision < last[self] {
				d.Observer.Report(8, "%s went from revision %d to %d", i.Name, last[self], revision)
			}
			last[self] = revision
		}
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// recover waits until the deployment works as before the faults.
func (d *Deployment) recover(load Load) error {
	if err := d.AwaitReady(); err != nil {
		return err
	}
	if err := d.AwaitRevision(); err != nil {
		d.Observer.Report(8, "%v", err)
	}
	for _, i := range d.Instances {
		good := 0
		if !Await(func() bool {
			probe := NewClients(d, Load{Requests: 5, Workers: 1, Sends: 1, Patience: load.Patience, Entries: []*Instance{i}, Seed: load.Seed})
			probe.Run()
			good = int(probe.Good.Load())
			return good == 5
		}) {
			return fmt.Errorf("through %s only %d of 5 requests got an answer", i.Name, good)
		}
	}
	return d.awaitRest()
}

// awaitRest waits until no node holds a call.
func (d *Deployment) awaitRest() error {
	var held []string
	if !Await(func() bool {
		held = nil
		for _, i := range d.Instances {
			if s, err := d.Status(i); err != nil || s.Node.Sends+s.Node.Serves > 0 {
				held = append(held, fmt.Sprintf("%s sends %d, serves %d, %v", i.Name, s.Node.Sends, s.Node.Serves, err))
			}
		}
		return len(held) == 0
	}) {
		return fmt.Errorf("nodes still hold calls: %s", strings.Join(held, "; "))
	}
	return nil
}
