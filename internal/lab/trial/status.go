package trial

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/gypsumrail/gypsumrail"
)

// Status is the part of a node's /status document that trials read.
type Status struct {
	Node struct {
		Self      gypsumrail.Instance
		Instances int
		Sends     int
		Serves    int
		Services  []struct {
			Upstreams []struct {
				Instance string
				Usable   bool
			}
		}
		Counts struct{ Retries, Pauses, SilentConns, Resolves uint64 }
	}
	Shell struct {
		Ready          bool
		RecordsInForce gypsumrail.Revision
	}
}

// Status fetches the status of a node from its admin port.
func (d *Deployment) Status(i *Instance) (Status, error) {
	var s Status
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + i.Ports.Admin + "/status")
	if err != nil {
		return s, fmt.Errorf("trial: status of %s: %w", i.Name, err)
	}
	defer func() { _ = answer.Body.Close() }()
	if err := json.NewDecoder(answer.Body).Decode(&s); err != nil {
		return s, fmt.Errorf("trial: status of %s: %w", i.Name, err)
	}
	return s, nil
}

// Await polls until a condition holds. It returns false after a minute.
func Await(ok func() bool) bool {
	for deadline := time.Now().Add(time.Minute); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			return false
		}
	}
	return true
}

// usableInstances returns how many instances the node would send calls to.
func (s *Status) usableInstances() int {
	n := 0
	for _, service := range s.Node.Services {
		for _, upstream := range service.Upstreams {
			if upstream.Usable {
				n++
			}
		}
	}
	return n
}

// AwaitReady waits until all nodes are ready and each would send calls to all
// instances. An operator who replaces instances one by one waits for the same
// between two of them.
func (d *Deployment) AwaitReady() error {
	var last string
	if !Await(func() bool {
		for _, i := range d.Instances {
			s, err := d.Status(i)
			if err != nil || !s.Shell.Ready || s.usableInstances() != len(d.Instances) {
				last = fmt.Sprintf("%s: ready %v, would use %d instances, %v", i.Name, s.Shell.Ready, s.usableInstances(), err)
				return false
			}
		}
		return true
	}) {
		return fmt.Errorf("trial: not ready: %s", last)
	}
	return nil
}

// PublishAndAwait publishes a new revision of the records and waits until all nodes
// have adopted it.
func (d *Deployment) PublishAndAwait() error {
	revision, err := d.PublishRecords(Allowance)
	if err != nil {
		return err
	}
	var last string
	if !Await(func() bool {
		for _, i := range d.Instances {
			if s, err := d.Status(i); err != nil || s.Shell.RecordsInForce != revision {
				last = fmt.Sprintf("%s has revision %d, %v", i.Name, s.Shell.RecordsInForce, err)
				return false
			}
		}
		return true
	}) {
		return fmt.Errorf("trial: revision %d of the records is not in force on all nodes: %s", revision, last)
	}
	return nil
}
