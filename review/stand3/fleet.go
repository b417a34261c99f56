package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// trial is one run of a case.
type trial struct {
	rec     *record
	trouble bool
	bounds  map[string]string // of the settings
	store   *store
	port    int // first of the ports that are the same on all machines

	mu     sync.Mutex
	nodes  []*node
	closed bool
}

// Offsets of the ports on each machine, from trial.port.
const (
	portPeers = iota
	portControl
	portOutbound
	portReady
	portAdmin
	portApp
	portsEach
)

// node is one process of the system, on the machine with the address ip.
type node struct {
	trial   *trial
	name    string
	ip      string
	service string
	zone    string

	process *exec.Cmd
	ended   chan struct{}
	log     *os.File
}

func (t *trial) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	t.closed = true
	for _, n := range t.nodes {
		n.kill()
	}
	if t.store != nil {
		_ = t.store.server.Close()
	}
	t.rec.close()
}

// machineIP returns the loopback address of a machine.
func machineIP(i int) string { return fmt.Sprintf("127.0.%d.%d", 1+i/200, 10+i%200) }

// choosePorts finds ports that are free on the machines.
func (t *trial) choosePorts(machines int) error {
	for range 50 {
		port := 15000 + rand.IntN(15000)
		free := true
		for i := 0; i < machines && free; i++ {
			for k := 0; k < portsEach && free; k++ {
				l, err := net.Listen("tcp", net.JoinHostPort(machineIP(i), strconv.Itoa(port+k)))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			t.port = port
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

func (t *trial) at(ip string, offset int) string {
	return net.JoinHostPort(ip, strconv.Itoa(t.port+offset))
}

// deployLine returns the words of run and the settings of env in deploy/system.toml.
func deployLine() (run, env string, err error) {
	content, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return "", "", err
	}
	for line := range strings.SplitSeq(string(content), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = "); ok {
			run = strings.Trim(rest, `"`)
		}
		if rest, ok := strings.CutPrefix(line, "env = "); ok {
			env = rest
		}
	}
	if run == "" {
		return "", "", fmt.Errorf("no run in deploy/system.toml")
	}
	return run, env, nil
}

var (
	section     = regexp.MustCompile(`\{\{#([a-zA-Z.]+)\}\}(.*?)\{\{/[a-zA-Z.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-zA-Z0-9.]+)\}\}`)
	envPair     = regexp.MustCompile(`([A-Z_]+) = "([^"]*)"`)
)

// fill replaces the placeholders of a text.
func fill(text string, values map[string]string) string {
	text = section.ReplaceAllStringFunc(text, func(s string) string {
		m := section.FindStringSubmatch(s)
		if v := values[m[1]]; v == "" || v == "false" {
			return ""
		}
		return m[2]
	})
	return placeholder.ReplaceAllStringFunc(text, func(s string) string { return values[placeholder.FindStringSubmatch(s)[1]] })
}

func (n *node) start() error {
	t := n.trial
	values := map[string]string{
		"nodeName": n.name, "service": n.service, "zone": n.zone, "ip": n.ip,
		"appAddress": t.at(n.ip, portApp), "platform.address": t.store.address(),
		"listenersMap.outbound": t.at(n.ip, portOutbound), "listenersMap.ready": t.at(n.ip, portReady),
		"internalPorts.0": strconv.Itoa(t.port + portPeers), "internalPorts.1": strconv.Itoa(t.port + portAdmin),
		"limits.memoryMb": "284",
		"bounds.graceS":   "6", "bounds.configApplyS": "2", "bounds.revokeS": "", "bounds.revokeStrict": "",
	}
	for name, value := range t.bounds {
		values[name] = value
	}
	run, env, err := deployLine()
	if err != nil {
		return err
	}
	words := strings.Fields(fill(run, values))
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	for _, m := range envPair.FindAllStringSubmatch(env, -1) {
		cmd.Env = append(cmd.Env, m[1]+"="+fill(m[2], values))
	}
	if n.log == nil {
		if n.log, err = os.CreateTemp("", "stand3-"+n.name+"-*.log"); err != nil {
			return err
		}
		_ = os.Remove(n.log.Name())
		if os.Getenv("KEEP_LOGS") != "" {
			n.log, _ = os.Create(os.Getenv("KEEP_LOGS") + "/" + n.name + ".log")
		}
	}
	cmd.Stdout, cmd.Stderr = n.log, n.log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.process, n.ended = cmd, ended
	t.rec.line("node %s: started, process %d", n.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		t.rec.line("node %s: process %d ended: %v", n.name, cmd.Process.Pid, err)
		close(ended)
	}()
	return nil
}

func (n *node) signal(s syscall.Signal) {
	if n.process != nil {
		n.trial.rec.line("node %s: %v", n.name, s)
		_ = n.process.Process.Signal(s)
	}
}

func (n *node) kill() {
	if n.process == nil {
		return
	}
	_ = n.process.Process.Kill()
	<-n.ended
}

// addNode starts a node on machine i.
func (t *trial) addNode(i int, service, zone string) (*node, error) {
	n := &node{trial: t, name: fmt.Sprintf("sidecar-%s-%d", zone, i), ip: machineIP(i), service: service, zone: zone}
	t.mu.Lock()
	t.nodes = append(t.nodes, n)
	t.mu.Unlock()
	return n, n.start()
}

// ready asks the ready address of a node.
func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get("http://" + n.trial.at(n.ip, portReady) + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (t *trial) awaitReady(nodes ...*node) error {
	until := time.Now().Add(20 * time.Second)
	for _, n := range nodes {
		for !n.ready() {
			if time.Now().After(until) {
				return fmt.Errorf("node %s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// route is a route of the configuration.
func route(name, host, prefix, kind, service string, timeoutS float64, priority, attempts int) map[string]any {
	return map[string]any{
		"name": name, "hostname": host, "prefix": prefix, "routeKind": kind, "timeoutS": timeoutS, "targetLatencyS": 1.5,
		"priority": priority, "service": service, "maxAttempts": attempts,
	}
}

func config(version int, services []string, routes ...map[string]any) map[string]any {
	list := []map[string]any{}
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "healthPath": "/healthz", "maxConnections": 628, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 5, "idleTimeoutS": 30},
	}
}
