package relay_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/build"
	"github.com/gypsumrail/gypsumrail/internal/node/relay"
)

var headers = relay.Headers{
	Request: "X-Id", Remaining: "X-Left", Expect: "X-Expect", NotRun: "X-Not-Run", Origin: "X-Origin", Proof: "X-Proof",
	RateLimit: "X-Rate-Limit", Leaving: "X-Leaving", Load: "X-Load",
}

// store is an in-memory gypsumrail.Store. While it is down, reads fail.
type store struct {
	mu       sync.Mutex
	items    map[string]gypsumrail.Item
	revision uint64
	changed  chan struct{}
	down     bool
}

func newStore() *store {
	return &store{items: make(map[string]gypsumrail.Item), revision: 1, changed: make(chan struct{})}
}

func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.items[key] = gypsumrail.Item{Key: key, Data: data, Revision: s.revision}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *store) read(prefix string, since uint64) (gypsumrail.Items, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := gypsumrail.Items{Revision: s.revision}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && item.Revision > since {
			items.List = append(items.List, item)
		}
	}
	if s.down {
		return gypsumrail.Items{}, nil, gypsumrail.ErrStoreUnavailable
	}
	return items, s.changed, nil
}

func (s *store) List(_ context.Context, prefix, _ string) (gypsumrail.Items, error) {
	items, _, err := s.read(prefix, 0)
	return items, err
}

func (s *store) Revision(context.Context, bool) (uint64, error) {
	items, _, err := s.read("", 0)
	return items.Revision, err
}

func (s *store) Changes(ctx context.Context, prefix string, since uint64, wait time.Duration) (gypsumrail.Items, error) {
	items, changed, err := s.read(prefix, since)
	if err != nil || len(items.List) > 0 {
		return items, err
	}
	select {
	case <-changed:
		items, _, err = s.read(prefix, since)
	case <-time.After(min(wait, 200*time.Millisecond)):
	case <-ctx.Done():
	}
	return items, err
}

// catalog decodes items that hold gypsumrail's own types in JSON.
type catalog struct{}

func (catalog) RecordsKey() string      { return "records" }
func (catalog) InstancesPrefix() string { return "instances/" }

// WithoutSecrets leaves items as they are: the tests put digests of keys into the store.
func (catalog) WithoutSecrets(item gypsumrail.Item) gypsumrail.Item { return item }

func (catalog) Records(data []byte) (*gypsumrail.Records, error) {
	var r gypsumrail.Records
	return &r, json.Unmarshal(data, &r)
}

func (catalog) Instance(item gypsumrail.Item) (gypsumrail.Instance, error) {
	var i gypsumrail.Instance
	return i, json.Unmarshal(item.Data, &i)
}

// target is a fake target whose answers a test writes. It records its requests.
type target struct {
	listener net.Listener
	answer   func(conn net.Conn, r *http.Request, body string)

	mu    sync.Mutex
	runs  []*http.Request
	conns map[net.Conn]bool // open; closed by crash
}

func newTarget(t *testing.T, answer func(conn net.Conn, r *http.Request, body string)) *target {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // loopback
	if err != nil {
		t.Fatal(err)
	}
	s := &target{listener: listener, answer: answer, conns: map[net.Conn]bool{}}
	go s.accept(listener)
	t.Cleanup(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		_ = s.listener.Close()
	})
	return s
}

func (s *target) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go s.serve(conn)
	}
}

// crash ends the target as a process ends: nothing listens at its address, and all
// connections are closed. After a while it is back.
func (s *target) crash(down time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	address := s.listener.Addr().String()
	_ = s.listener.Close()
	for conn := range s.conns {
		_ = conn.Close()
	}
	time.AfterFunc(down, func() {
		listener, err := net.Listen("tcp", address) //nolint:noctx // loopback
		if err != nil {
			return // the test has ended and the port is in use
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.listener = listener
		go s.accept(listener)
	})
}

func (s *target) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, conn)
	}()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.runs = append(s.runs, r)
		answer := s.answer
		s.mu.Unlock()
		if r.URL.Path == "/close" {
			return
		}
		answer(conn, r, string(body))
	}
}

func (s *target) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs)
}

// writeEcho writes a complete, valid answer whose body echoes the request.
func writeEcho(conn net.Conn, r *http.Request, body string) {
	text := r.Method + " " + r.URL.RequestURI() + " " + body
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Proof: p\r\nX-Kept: yes\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("X-Id"), len(text), text)
}

// sidecar is a node under test. The channel ended is closed when Run returns.
type sidecar struct {
	name  string
	ports relay.Addresses
	node  *build.Relay
	log   logBuffer
	ended chan struct{}
}

var (
	portMu   sync.Mutex
	nextPort = 21000
)

// freePorts returns a port that is free together with the one after it, for calls
// and control messages. Each call returns another pair.
func freePorts(t *testing.T) int {
	t.Helper()
	portMu.Lock()
	defer portMu.Unlock()
	for ; nextPort < 30000; nextPort += 2 {
		first, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", nextPort)) //nolint:noctx // loopback
		if err != nil {
			continue
		}
		second, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", nextPort+1)) //nolint:noctx // loopback
		_ = first.Close()
		if err != nil {
			continue
		}
		_ = second.Close()
		nextPort += 2
		return nextPort - 2
	}
	t.Fatal("no two adjacent free ports between 21000 and 30000")
	return 0
}

func startNode(t *testing.T, name, service, targetAddress string, platform gypsumrail.Store) *sidecar {
	t.Helper()
	return startNodeOf(t, memoryMax, name, service, targetAddress, platform)
}

// startNodeOf is startNode for a machine of so many bytes of memory.
func startNodeOf(t *testing.T, memory int64, name, service, targetAddress string, platform gypsumrail.Store) *sidecar {
	t.Helper()
	address := func() string { return fmt.Sprintf("127.0.0.1:%d", freePorts(t)) }
	s := &sidecar{
		ports: relay.Addresses{Clients: address(), Peers: address(), Ready: address(), Admin: address()},
		ended: make(chan struct{}),
	}
	node, err := build.NewRelay(t.Context(), build.RelaySettings{
		Settings: build.Settings{
			Self:   gypsumrail.Instance{Name: name, Service: service, Zone: "z", Address: s.ports.Peers},
			Target: targetAddress, Log: &s.log, LogLevel: log.InfoLevel,
		},
		Ports: s.ports, Headers: headers, Store: platform, Catalog: catalog{}, RetryShare: 0.1, RetryBurst: 10,
		DrainMin: 100, DrainMax: 3000, Memory: memory,
	})
	if err != nil {
		t.Fatal(err)
	}
	s.node = node
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer close(s.ended)
		_ = node.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-s.ended
	})
	return s
}

func (s *sidecar) awaitReady(t *testing.T) {
	t.Helper()
	for range 500 {
		r, err := http.Get("http://" + s.ports.Ready + "/ready") //nolint:noctx // loopback
		if err == nil {
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the node did not become ready within 500 probes")
}

func testRecords(revision gypsumrail.Revision) *gypsumrail.Records {
	return &gypsumrail.Records{
		Revision: revision,
		Services: map[string]*gypsumrail.Service{"front": {Name: "front"}, "back": {Name: "back"}},
		Targets:  map[string]*gypsumrail.Target{},
		Accounts: map[string]*gypsumrail.Account{},
		Classes: map[string]*gypsumrail.Class{
			"read": {Name: "read", Service: "back", Repeatable: true, Allowance: 1, Deadline: 2000, Route: gypsumrail.Route{Host: "h", Prefix: "/read/"}},
			"once": {Name: "once", Service: "back", Unkeyed: true, Allowance: 1, Deadline: 2000, Route: gypsumrail.Route{Host: "h", Prefix: "/once/"}},
			"own":  {Name: "own", Service: "front", Unkeyed: true, Deadline: 2000, Route: gypsumrail.Route{Host: "h", Prefix: "/own/"}},
		},
		Limits: gypsumrail.Limits{HeaderBytes: 2000, BodyBytes: 100_000},
	}
}

// deployment starts a node of service front, which it returns, and one of service
// back for each answer. The first target belongs to front, the others to back in the
// order of the answers.
func deployment(t *testing.T, answers ...func(net.Conn, *http.Request, string)) (*sidecar, []*target, *store) {
	t.Helper()
	platform := newStore()
	platform.put("records", testRecords(1))
	front := newTarget(t, writeEcho)
	entry := startNode(t, "front", "front", front.listener.Addr().String(), platform)
	platform.put("instances/f", gypsumrail.Instance{
		Name: "f", Service: "front", Zone: "z", Address: entry.ports.Peers, State: gypsumrail.Live, Slots: 4,
	})
	targets := []*target{front}
	var nodes []*sidecar
	for i, answer := range answers {
		back := newTarget(t, answer)
		name := fmt.Sprintf("b%d", i)
		node := startNode(t, name, "back", back.listener.Addr().String(), platform)
		platform.put("instances/"+name, gypsumrail.Instance{
			Name: name, Service: "back", Zone: "z", Address: node.ports.Peers, State: gypsumrail.Live, Slots: 4,
		})
		targets = append(targets, back)
		nodes = append(nodes, node)
	}
	for _, node := range append(nodes, entry) {
		node.awaitReady(t)
	}
	// A node may be ready before its list has the last instance.
	time.Sleep(300 * time.Millisecond)
	return entry, targets, platform
}

func newRequest(t *testing.T, s *sidecar, method, path, id, body string) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+s.ports.Clients+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("X-Id", id)
	r.Header.Set("X-Left", "1500")
	return r
}

func sendRequest(t *testing.T, s *sidecar, method, path, id, body string) (*http.Response, string) {
	t.Helper()
	answer, err := http.DefaultClient.Do(newRequest(t, s, method, path, id, body))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	return answer, string(text)
}
