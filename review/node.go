package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// machine is a sidecar machine: a loopback address, the same ports as all others, the
// node's process and the upstream.
type machine struct {
	name, ip, zone, service string
	ports                   ports
	store                   string
	log                     *logbook
	repository, folder      string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// ports are the ports of all machines.
type ports struct{ app, ready, outbound, inbound, internal int }

// ipOf returns the loopback address of a machine by its number.
func ipOf(number int) string { return fmt.Sprintf("127.83.0.%d", number) }

// freePorts returns ports that are free on the addresses of all machines.
func freePorts(machines int) (ports, error) {
	const first, step, last = 17000, 40, 30000
	for base := first + os.Getpid()%50*step; base < last; base += step {
		free := true
		for number := 1; number <= machines && free; number++ {
			for offset := range 20 {
				listener, err := net.Listen("tcp", net.JoinHostPort(ipOf(number), strconv.Itoa(base+offset)))
				if err != nil {
					free = false
					break
				}
				_ = listener.Close()
			}
		}
		if free {
			return ports{app: base, ready: base + 1, outbound: base + 2, inbound: base + 3, internal: base + 4}, nil
		}
	}
	return ports{}, errors.New("no free ports")
}

func (m *machine) address(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }

// command returns the words of run in the deploy file with the settings of this machine.
func (m *machine) command() ([]string, error) {
	content, err := os.ReadFile(filepath.Join(m.repository, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	match := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(content)
	if match == nil {
		return nil, errors.New("the deploy file has no run line")
	}
	line := strings.NewReplacer(
		"{{nodeName}}", m.name, "{{service}}", m.service, "{{zone}}", m.zone, "{{appAddress}}", m.address(m.ports.app),
		"{{platform.address}}", m.store, "{{listenersMap.outbound}}", m.address(m.ports.outbound),
		"{{listenersMap.ready}}", m.address(m.ports.ready), "{{ip}}", m.ip, "{{internalPorts.0}}", strconv.Itoa(m.ports.internal),
		"{{internalPorts.1}}", strconv.Itoa(m.ports.internal+15), "{{bounds.graceS}}", strconv.Itoa(graceS),
	).Replace(string(match[1]))
	if strings.Contains(line, "{{") {
		return nil, fmt.Errorf("the run line has an unknown placeholder: %s", line)
	}
	return strings.Fields(line), nil
}

// start starts the node's process.
func (m *machine) start() error {
	words, err := m.command()
	if err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(m.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	process := exec.Command(filepath.Join(m.repository, words[0]), words[1:]...)
	process.Dir, process.Stdout, process.Stderr = m.repository, output, output
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.folder}
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.process, m.exited = process, exited
	m.mu.Unlock()
	m.log.addf("node %s starts", m.name)
	go func() {
		err := process.Wait()
		m.log.addf("node %s ends: %v", m.name, err)
		close(exited)
	}()
	return nil
}

// signal sends a signal to the node's process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		m.log.addf("node %s gets %v", m.name, s)
		_ = m.process.Process.Signal(s)
	}
}

// running reports whether the process has not ended.
func (m *machine) running() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return false
	}
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

// stop kills the process and waits for its end.
func (m *machine) stop() {
	m.mu.Lock()
	process, exited := m.process, m.exited
	m.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Kill()
	<-exited
}

// ready reports whether the node answers the readiness probe with 200.
func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + m.address(m.ports.ready) + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// residentMB returns the resident memory of the process in MB, or 0.
func (m *machine) residentMB() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return 0
	}
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.process.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range bytes.SplitSeq(content, []byte("\n")) {
		if rest, ok := bytes.CutPrefix(line, []byte("VmRSS:")); ok {
			kb, _ := strconv.Atoi(string(bytes.Fields(rest)[0]))
			return kb / 1024
		}
	}
	return 0
}
