//go:build linux

package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/lab/spawn"
	"github.com/gypsumrail/gypsumrail/internal/lab/stubs"
	"github.com/gypsumrail/gypsumrail/internal/node/build"
	"github.com/gypsumrail/gypsumrail/internal/node/shell"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

// inProcess allows profiling of nodes, because -cpuprofile covers only the
// process of the test.
var inProcess = flag.Bool("inside", false, "run the nodes inside the process of the test; their processor time is then not measured")

// waitTimeout limits each wait. It is generous, because no test asserts a time.
const waitTimeout = 60 * time.Second

var client = &http.Client{Timeout: waitTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second}}

// buildProgram builds the gypsumrail program and returns its path.
func buildProgram(t testing.TB) string {
	t.Helper()
	if *inProcess {
		return ""
	}
	return spawn.Build(t)
}

// node is one node of a measurement, with its instance and ports.
type node struct {
	instance gypsumrail.Instance
	ports    shell.Addresses
	process  *exec.Cmd // nil if the node runs in the process of the test
}

// newNode reserves ports for a node. It does not start it.
func newNode(t testing.TB, name, service, zone string) *node {
	t.Helper()
	n := &node{ports: shell.Addresses{Callers: spawn.Port(t), Egress: spawn.Port(t), Peers: spawn.Port(t), Admin: spawn.Port(t)}}
	n.instance = gypsumrail.Instance{Name: name, Service: service, Zone: zone, Address: n.ports.Peers, State: gypsumrail.Live}
	return n
}

// start starts the node, which runs until the end of the test.
func (n *node) start(t testing.TB, program, target, platform string, seeds []string) {
	t.Helper()
	if *inProcess {
		n.startInProcess(t, target, platform, seeds)
		return
	}
	n.process = exec.Command(program, "node", "--name", n.instance.Name, "--service", n.instance.Service,
		"--zone", n.instance.Zone, "--callers", n.ports.Callers, "--egress", n.ports.Egress, "--peers", n.ports.Peers,
		"--admin", n.ports.Admin, "--target", target, "--platform", platform, "--seeds", strings.Join(seeds, ","))
	// If the test is killed, the kernel kills the node too.
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var output bytes.Buffer
	n.process.Stderr = &output
	if err := n.process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = n.process.Process.Kill()
		_ = n.process.Wait()
		if t.Failed() {
			t.Logf("%s:\n%s", n.instance.Name, output.String())
		}
	})
}

func (n *node) startInProcess(t testing.TB, target, platform string, seeds []string) {
	t.Helper()
	built, err := build.New(t.Context(), build.Settings{
		Self: n.instance, Listen: n.ports, Target: target, Platform: platform, Seeds: seeds, Log: io.Discard,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = built.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
}

// get returns the body of a 200 answer.
func get(address, path string) ([]byte, error) {
	answer, err := client.Get("http://" + address + path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(answer.Body)
	if err == nil && answer.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s%s: status %d", address, path, answer.StatusCode)
	}
	return content, err
}

// status returns the revision of the records that the node uses and the number of
// instances to which it can send calls. Both are 0 if the node does not answer.
func (n *node) status() (inForce gypsumrail.Revision, usable int) {
	var s struct {
		Node struct {
			Services []struct{ Upstreams []struct{ Usable bool } }
		}
		Shell struct{ RecordsInForce gypsumrail.Revision }
	}
	content, err := get(n.ports.Admin, "/status")
	if err != nil || json.Unmarshal(content, &s) != nil {
		return 0, 0
	}
	for _, service := range s.Node.Services {
		for _, u := range service.Upstreams {
			if u.Usable {
				usable++
			}
		}
	}
	return s.Shell.RecordsInForce, usable
}

// await polls until ok returns true, and fails the test after waitTimeout.
func await(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !ok(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// awaitRoutes waits until all nodes can send calls to all instances.
func awaitRoutes(t testing.TB, nodes []*node) {
	t.Helper()
	for _, n := range nodes {
		await(t, n.instance.Name+" to have a route to all instances", func() bool {
			_, usable := n.status()
			return usable == len(nodes)
		})
	}
}

// publish publishes records with one class for each service. Callers pass
// different deadlines, in milliseconds, so that the content of each revision
// differs.
func publish(t testing.TB, platform *stubs.Platform, services []string, nodes []*node, deadline int) gypsumrail.Revision {
	t.Helper()
	var records []map[string]any
	for i, service := range services {
		// Services form chains of at most 11.
		dependencies := []string{}
		if next := i + 1; next < len(services) && next%11 != 0 {
			dependencies = append(dependencies, services[next])
		}
		records = append(records, map[string]any{
			"SchemaVersion": 2, "Kind": "Service", "Name": service, "Dependencies": dependencies,
			"SlotsMax": 200, "ConnsMax": 1400, "ColdStartMillis": 0,
		}, map[string]any{
			"SchemaVersion": 2, "Kind": "Class", "Name": "read-" + service, "Importance": 5, "DeadlineMillis": deadline,
			"Repeatable": true, "Service": service, "Uses": []string{service}, "Allowance": 3,
		})
	}
	for _, n := range nodes {
		records = append(records, map[string]any{
			"SchemaVersion": 2, "Kind": "Target", "Name": n.instance.Name, "Service": n.instance.Service,
			"Zone": n.instance.Zone, "Slots": 100, "Conns": 256,
		})
	}
	// Nodes use the revision that the platform assigns, not the one in the content.
	content, err := json.Marshal(map[string]any{"Revision": 1, "Records": records})
	if err != nil {
		t.Fatal(err)
	}
	return platform.Publish(gypsumrail.ValueRecords, content)
}

// publishList publishes the instance list.
func publishList(t testing.TB, platform *stubs.Platform, nodes []*node) {
	t.Helper()
	var list []gypsumrail.Instance
	for _, n := range nodes {
		list = append(list, n.instance)
	}
	content, err := wire.FormatInstances(list)
	if err != nil {
		t.Fatal(err)
	}
	platform.Publish(gypsumrail.ValueInstances, content)
}

// startStubs starts the stubs of the platform and of the target, which all nodes
// share.
func startStubs(t testing.TB) (*stubs.Platform, *stubs.Target) {
	t.Helper()
	platform, err := stubs.NewPlatform("")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(platform.Close)
	target, err := stubs.NewTarget(stubs.TargetSettings{Name: "target", Slots: 100, AnswerBytes: 2000})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(target.Close)
	return platform, target
}
