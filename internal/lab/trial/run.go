package trial

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/gypsumrail/gypsumrail"
)

// Report is the result of Run.
type Report struct {
	Seed      uint64 // of load and faults
	Requests  int64
	Attempts  int64
	Succeeded int64 // requests with a complete answer
	Faults    map[Kind]int
	Totals    map[string]int // attempts by result; see Observer.Totals
	Broken    []Broken
}

// String returns the report as text of several lines.
func (r *Report) String() string {
	var b strings.Builder
	faults := 0
	for _, n := range r.Faults {
		faults += n
	}
	fmt.Fprintf(&b, "seed %d: %d requests in %d attempts, %d with a complete answer; %d faults; %d broken promises\n",
		r.Seed, r.Requests, r.Attempts, r.Succeeded, faults, len(r.Broken))
	fmt.Fprintln(&b, "faults:", formatCounts(r.Faults))
	fmt.Fprintln(&b, "sends: ", formatCounts(r.Totals))
	for _, broken := range r.Broken {
		fmt.Fprintf(&b, "P%d: %s\n", broken.Promise, broken.Description)
	}
	return b.String()
}

func formatCounts[K ~string](counts map[K]int) string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		out = append(out, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return strings.Join(out, ", ")
}

// Run sends a load through a deployment while it injects the faults of the load's
// seed; nil kinds stand for all kinds. Afterwards it waits until no call is in flight
// and compares what targets ran with what clients received. It also checks that the
// deployment recovers: all nodes adopt a new revision (P8), and every node serves
// again (P9).
func Run(d *Deployment, load Load, kinds []Kind) (*Report, error) {
	if err := d.AwaitReady(); err != nil {
		return nil, err
	}
	report := &Report{Seed: load.Seed}
	stop := make(chan struct{})
	var faultErr error
	faultsEnded := make(chan struct{})
	plan := NewPlan(load.Seed, d, kinds)
	go func() {
		defer close(faultsEnded)
		report.Faults, faultErr = d.InjectPlan(plan, stop)
	}()
	watchEnded := make(chan struct{})
	go func() {
		defer close(watchEnded)
		d.watchRevisions(stop)
	}()
	clients := NewClients(d, load)
	clients.Run()
	close(stop)
	<-faultsEnded
	<-watchEnded
	if faultErr != nil {
		return nil, faultErr
	}
	if err := d.awaitRecovery(load); err != nil {
		d.Observer.AddBroken(9, "no recovery after the faults: %v", err)
	}
	report.Requests, report.Attempts, report.Succeeded = clients.Done.Load(), clients.Sent.Load(), clients.Succeeded.Load()
	report.Totals, report.Broken = d.Observer.Totals(), d.Observer.Broken()
	return report, nil
}

// watchRevisions polls all nodes until stop is closed. It adds a broken promise (P8)
// when the revision of an incarnation's records goes down.
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
				d.Observer.AddBroken(8, "%s went back from revision %d of the records to %d", i.Name, last[self], revision)
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

// awaitRecovery waits until all nodes are ready, adopt a new revision, answer
// requests and have no call in flight.
func (d *Deployment) awaitRecovery(load Load) error {
	if err := d.AwaitReady(); err != nil {
		return err
	}
	if err := d.PublishAndAwait(); err != nil {
		d.Observer.AddBroken(8, "%v", err)
	}
	for _, i := range d.Instances {
		good := 0
		if !Await(func() bool {
			probe := NewClients(d, Load{Requests: 5, Workers: 1, AttemptsMax: 1, Timeout: load.Timeout, EntryNodes: []*Instance{i}, Seed: load.Seed})
			probe.Run()
			good = int(probe.Succeeded.Load())
			return good == 5
		}) {
			return fmt.Errorf("through %s only %d of 5 requests got an answer", i.Name, good)
		}
	}
	return d.awaitIdle()
}

// awaitIdle waits until no node has a call in flight, as sender or as receiver.
func (d *Deployment) awaitIdle() error {
	var busy []string
	if !Await(func() bool {
		busy = nil
		for _, i := range d.Instances {
			if s, err := d.Status(i); err != nil || s.Node.Sends+s.Node.Serves > 0 {
				busy = append(busy, fmt.Sprintf("%s sends %d, serves %d, %v", i.Name, s.Node.Sends, s.Node.Serves, err))
			}
		}
		return len(busy) == 0
	}) {
		return fmt.Errorf("calls are still in flight after a minute: %s", strings.Join(busy, "; "))
	}
	return nil
}
