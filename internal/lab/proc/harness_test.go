package proc

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/lab/spawn"
	"github.com/gypsumrail/gypsumrail/internal/lab/stubs"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

// waitTimeout limits each wait. It is generous, because the tests assert what
// happens and not how fast.
const waitTimeout = 60 * time.Second

var client = &http.Client{Timeout: waitTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 32}}

// instance is one node process, its addresses and its target.
type instance struct {
	name, service, zone           string
	callers, egress, peers, admin string
	target                        *stubs.Target
	process                       *exec.Cmd
	output                        *bytes.Buffer // stderr of the process; read only after exit
	exited                        chan error    // receives the result of Wait
}

// fleet holds the nodes, targets and platform of one test.
type fleet struct {
	t         *testing.T
	program   string
	platform  *stubs.Platform
	instances []*instance
}

// services form a chain: each calls the next one.
var services = []string{"front", "middle", "deep"}

// newFleet starts 3 services with an instance in each of 2 zones, and waits
// until all nodes have routes to each other.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, program: spawn.Build(t)}
	var err error
	if f.platform, err = stubs.NewPlatform(""); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.platform.Close)
	for i, service := range services {
		for _, zone := range []string{"a", "b"} {
			f.instances = append(f.instances, f.prepare(service, zone, services[i+1:min(i+2, len(services))]))
		}
	}
	f.publish(3)
	f.publishList()
	for _, i := range f.instances {
		f.start(i)
	}
	f.awaitRoutes()
	return f
}

// awaitRoutes waits until all nodes are ready and have a route to all instances.
func (f *fleet) awaitRoutes() {
	f.t.Helper()
	for _, i := range f.instances {
		f.await(i.name+" to be ready and to have a route to all instances", func() bool {
			s, ok := f.status(i)
			return ok && s.Shell.Ready && s.usable() == len(f.instances)
		})
	}
}

// prepare reserves ports for an instance and starts its target, which calls the
// dependencies. It does not start the node.
func (f *fleet) prepare(service, zone string, dependencies []string) *instance {
	i := &instance{
		name: service + "-" + zone, service: service, zone: zone,
		callers: spawn.Port(f.t), egress: spawn.Port(f.t), peers: spawn.Port(f.t), admin: spawn.Port(f.t),
	}
	target, err := stubs.NewTarget(stubs.TargetSettings{
		Name: i.name, Slots: 32, ServiceTime: 2 * time.Millisecond, Egress: i.egress, Calls: dependencies, AnswerBytes: 2000,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(target.Close)
	i.target = target
	return i
}

// start starts a node process. The process is killed at the end of the test if it
// still runs.
func (f *fleet) start(i *instance) {
	f.t.Helper()
	i.process = exec.Command(f.program, "node", "--name", i.name, "--service", i.service, "--zone", i.zone,
		"--callers", i.callers, "--egress", i.egress, "--peers", i.peers)
	i.process.Env = append(os.Environ(), "GYPSUMRAIL_ADMIN="+i.admin, "GYPSUMRAIL_TARGET="+i.target.Address(),
		"GYPSUMRAIL_PLATFORM="+f.platform.Address(), "GYPSUMRAIL_SEEDS="+f.instances[0].peers)
	i.output, i.exited = &bytes.Buffer{}, make(chan error, 1)
	process, output, exited := i.process, i.output, i.exited
	process.Stderr = output
	if err := process.Start(); err != nil {
		f.t.Fatal(err)
	}
	go func() { exited <- process.Wait() }()
	f.t.Cleanup(func() {
		_ = process.Process.Kill()
		select {
		case <-exited:
		case <-time.After(waitTimeout):
			f.t.Errorf("%s did not exit", i.name)
			return
		}
		if f.t.Failed() {
			f.t.Logf("%s:\n%s", i.name, output)
		}
	})
}

// awaitExit waits until a process has exited and returns the result of Wait.
func (f *fleet) awaitExit(i *instance) error {
	f.t.Helper()
	select {
	case err := <-i.exited:
		i.exited <- err // for the cleanup, which receives it too
		return err
	case <-time.After(waitTimeout):
		f.t.Fatalf("%s did not exit", i.name)
		return nil
	}
}

func (f *fleet) signal(i *instance, s syscall.Signal) {
	f.t.Helper()
	if err := i.process.Process.Signal(s); err != nil {
		f.t.Fatal(err)
	}
}

// publish publishes records in which all classes have the given allowance.
func (f *fleet) publish(allowance int) gypsumrail.Revision {
	var records []map[string]any
	for i, service := range services {
		records = append(records, map[string]any{
			"SchemaVersion": 2, "Kind": "Service", "Name": service, "Dependencies": services[i+1 : min(i+2, len(services))],
			"SlotsMax": 64, "ConnsMax": 256, "ColdStartMillis": 0,
		})
	}
	for _, i := range f.instances {
		records = append(records, map[string]any{
			"SchemaVersion": 2, "Kind": "Target", "Name": i.name, "Service": i.service, "Zone": i.zone, "Slots": 32, "Conns": 64,
		})
	}
	for name, repeatable := range map[string]bool{"read": true, "order": false} {
		records = append(records, map[string]any{
			"SchemaVersion": 2, "Kind": "Class", "Name": name, "Importance": 5, "DeadlineMillis": 20000, "Repeatable": repeatable,
			"Service": "front", "Uses": services, "Allowance": allowance,
		})
	}
	// Nodes use the revision that the platform assigns, not the one in the content.
	content, err := json.Marshal(map[string]any{"Revision": 1, "Records": records})
	if err != nil {
		f.t.Fatal(err)
	}
	return f.platform.Publish(gypsumrail.ValueRecords, content)
}

// publishList publishes the instance list.
func (f *fleet) publishList() {
	var list []gypsumrail.Instance
	for _, i := range f.instances {
		list = append(list, gypsumrail.Instance{Name: i.name, Service: i.service, Zone: i.zone, Address: i.peers, State: gypsumrail.Live})
	}
	content, err := wire.FormatInstances(list)
	if err != nil {
		f.t.Fatal(err)
	}
	f.platform.Publish(gypsumrail.ValueInstances, content)
}

func (f *fleet) instanceNamed(name string) *instance {
	for _, i := range f.instances {
		if i.name == name {
			return i
		}
	}
	f.t.Fatalf("no instance is named %s", name)
	return nil
}

// status holds the part of the answer to /status that the tests use.
type status struct {
	Node struct {
		Counts   struct{ Pauses uint64 }
		Services []struct {
			Upstreams []struct {
				Instance string
				Usable   bool
			}
		}
	}
	Shell struct {
		Ready          bool
		RecordsInForce gypsumrail.Revision
	}
}

// usable counts the instances to which the node can send calls.
func (s status) usable() int {
	n := 0
	for _, service := range s.Node.Services {
		for _, u := range service.Upstreams {
			if u.Usable {
				n++
			}
		}
	}
	return n
}

// status returns the status of a node, and false if the node does not answer.
func (f *fleet) status(i *instance) (status, bool) {
	var s status
	answer, err := client.Get("http://" + i.admin + "/status")
	if err != nil {
		return s, false
	}
	defer func() { _ = answer.Body.Close() }()
	return s, answer.StatusCode == http.StatusOK && json.NewDecoder(answer.Body).Decode(&s) == nil
}

// await polls until ok returns true, and fails the test after waitTimeout.
func (f *fleet) await(what string, ok func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(waitTimeout); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// call sends a user request to service front through a node. It returns an error
// unless the status is 200 and the body is complete. header holds names and
// values in turn.
func (f *fleet) call(i *instance, class, request string, header ...string) error {
	r, err := http.NewRequest(http.MethodPost, "http://"+i.callers+"/x", strings.NewReader("body"))
	if err != nil {
		return err
	}
	r.Header.Set(wire.HeaderService, "front")
	r.Header.Set(wire.HeaderClass, class)
	r.Header.Set(wire.HeaderRequest, request)
	for n := 0; n+1 < len(header); n += 2 {
		r.Header.Set(header[n], header[n+1])
	}
	answer, err := client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(answer.Body, 300))
		return fmt.Errorf("status %d, outcome %s: %s; %s", answer.StatusCode, answer.Header.Get(wire.HeaderOutcome), body,
			answer.Header.Get(stubs.HeaderFailedCall))
	}
	return stubs.CheckBody(answer.Body, request)
}

// runs returns how often a request ran on the targets of a service.
func (f *fleet) runs(service, request string) int {
	n := 0
	for _, i := range f.instances {
		if i.service == service {
			n += i.target.RunsOfRequest(request)
		}
	}
	return n
}

// newKey fetches an idempotency key for class order from a node.
func (f *fleet) newKey(i *instance) string {
	f.t.Helper()
	answer, err := client.Post("http://"+i.callers+"/tickets?Service=front&Class=order", "", nil)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	var body struct{ Keys []string }
	if err := json.NewDecoder(answer.Body).Decode(&body); err != nil || len(body.Keys) != 1 {
		f.t.Fatalf("fetch an idempotency key: status %d, %v", answer.StatusCode, err)
	}
	return body.Keys[0]
}
