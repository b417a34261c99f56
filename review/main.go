// Command stand runs the cases of the review: it starts nodes as separate processes with
// the command of the deploy file, and plays the platform's store, the upstreams and the
// clients. It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the
// case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2

	graceS = 6
	drainS = 2 * time.Second
	zone   = "kl-a"
)

// errNotRun means that a case could not run.
var errNotRun = errors.New("the case could not run")

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*stage) (bool, error){}

func main() {
	if len(os.Args) == 5 && os.Args[1] == "upstream" {
		os.Exit(runUpstream(os.Args[2], os.Args[3], os.Args[4]))
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-stand CASE REPOSITORY RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, repository, record string) int {
	log, err := newLogbook(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	repository, err = filepath.Abs(repository)
	if err != nil {
		log.sayf("%v", err)
		return exitNotRun
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		log.sayf("%v", err)
		return exitNotRun
	}
	s := &stage{log: log, repository: repository, folder: folder, trouble: os.Getenv("TROUBLE") != "0"}
	defer func() { _ = os.RemoveAll(folder) }()
	log.sayf("case %s, disruption %v", name, s.trouble)
	defer s.close()
	broken, err := cases[name](s)
	switch {
	case err != nil:
		log.sayf("not run: %v", err)
		return exitNotRun
	case broken:
		log.sayf("BROKEN")
		return exitBroken
	}
	log.sayf("held")
	return exitHeld
}

// stage is a deployment: a store, and machines with a node and an upstream each.
type stage struct {
	log                *logbook
	repository, folder string
	trouble            bool // play the disruption

	store     *store
	machines  []*machine
	upstreams []*upstream
	version   int
}

// build starts the store and one machine with an upstream for each service in the list.
func (s *stage) build(config map[string]any, slots int, services ...string) error {
	p, err := freePorts(len(services))
	if err != nil {
		return err
	}
	if s.store, err = newStore(ipOf(200) + ":0"); err != nil {
		return err
	}
	s.configure(config)
	for i, service := range services {
		m := &machine{
			name: "sidecar-" + zone + "-" + strconv.Itoa(i+1), ip: ipOf(i + 1), zone: zone, service: service, ports: p,
			store: s.store.address, log: s.log, repository: s.repository, folder: s.folder,
		}
		u, err := newUpstream(s.log, fmt.Sprintf("i-%08x", 0x7f3a91c0+i), service, zone, m.address(p.app), slots)
		if err != nil {
			return err
		}
		s.machines, s.upstreams = append(s.machines, m), append(s.upstreams, u)
		s.publish(u)
	}
	for _, m := range s.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	until := time.Now().Add(10 * time.Second)
	for _, m := range s.machines {
		for !m.ready() {
			if time.Now().After(until) {
				return fmt.Errorf("%w: %s is not ready after 10 s", errNotRun, m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.log.addf("all nodes are ready")
	return nil
}

// publish writes the entry of an upstream into the store and returns the time of the
// acknowledgement.
func (s *stage) publish(u *upstream) time.Time {
	at := s.store.put("servers/"+u.id, u.entry())
	s.log.addf("the store has %s as %s", u.id, u.state)
	return at
}

// configure writes the next version of the configuration.
func (s *stage) configure(config map[string]any) {
	s.version += 3
	config["version"] = s.version
	config["limits"] = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15}
	s.store.put("op/config", config)
	s.log.addf("the store has version %d of the configuration", s.version)
}

func (s *stage) close() {
	for _, m := range s.machines {
		m.stop()
	}
	for _, u := range s.upstreams {
		u.end()
	}
	if s.store != nil {
		s.store.close()
	}
}

// route returns a route of the configuration.
func route(name, host, prefix, kind, service string, timeoutS, aimS float64, priority, attempts int) map[string]any {
	return map[string]any{
		"name": name, "hostname": host, "prefix": prefix, "routeKind": kind, "service": service, "timeoutS": timeoutS,
		"targetLatencyS": aimS, "priority": priority, "maxAttempts": attempts,
	}
}

// serviceEntry returns a service of the configuration.
func serviceEntry(name string, connections int) map[string]any {
	return map[string]any{"name": name, "healthPath": "/healthz", "maxConnections": connections, "protocol": "h1", "tls": false}
}
