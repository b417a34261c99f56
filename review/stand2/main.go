// Command stand2 holds the stand-ins of the second review's scripts: the platform, its
// upstreams and its clients. It runs one case: stand2 CASE REPOSITORY RECORD.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2 // the case could not run
)

var cases = map[string]func(f *fleet, trouble bool) (int, error){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE REPOSITORY RECORD")
		os.Exit(failed)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], os.Args[3]))
}

func runCase(name, root, path string) int {
	log, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	f, err := newFleet(root, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer f.close()
	go endEarly(f)
	code, err := cases[name](f, os.Getenv("TROUBLE") != "0")
	if err != nil {
		log.put("end", name, "could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	verdict := "the rule held"
	if code == broken {
		verdict = "the rule was broken"
	}
	log.put("end", name, "%s", verdict)
	fmt.Println(verdict)
	return code
}

// endEarly ends the processes of a case that is interrupted or takes too long.
func endEarly(f *fleet) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(110 * time.Second):
	}
	f.close()
	os.Exit(failed)
}

type route = map[string]any

// configure publishes a configuration with one route for each service, under /SERVICE/ and,
// for requests that may not be repeated, under /SERVICE-once/.
func (f *fleet) configure(version int, more map[string]any, services ...string) {
	routes, list := []route{}, []any{}
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "healthPath": "/healthz", "maxConnections": 1200, "protocol": "h1", "tls": false})
		routes = append(routes,
			route{"name": "r-" + name, "hostname": "mesh.example", "prefix": "/" + name + "/", "routeKind": "idempotent", "timeoutS": 10.0, "targetLatencyS": 1.5, "priority": 1, "service": name, "maxAttempts": 2},
			route{"name": "o-" + name, "hostname": "mesh.example", "prefix": "/" + name + "-once/", "routeKind": "non_idempotent", "timeoutS": 10.0, "targetLatencyS": 1.5, "priority": 0, "service": name, "maxAttempts": 2})
	}
	config := map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
	}
	for name, value := range more {
		config[name] = value
	}
	f.store.put("op/config", config)
}
