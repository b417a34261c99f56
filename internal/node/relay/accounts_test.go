package relay_test

import (
	"bufio"
	"bytes"
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
	"github.com/google/go-cmp/cmp"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/build"
	nodeclient "github.com/gypsumrail/gypsumrail/internal/node/client"
	"github.com/gypsumrail/gypsumrail/internal/node/peer"
	"github.com/gypsumrail/gypsumrail/internal/node/relay"
	"github.com/gypsumrail/gypsumrail/platform"
)

// lockedBuffer is a bytes.Buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer // not embedded, as io.Copy would call its ReadFrom without the lock
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// accountSite is two nodes of one zone with the users' catalog and headers: a.node beside a
// target of service front, which also makes calls, and b.node beside one of service back.
type accountSite struct {
	store *store
	a, b  *sidecar
	back  *target
	log   *lockedBuffer
	peers int // port of all nodes
}

const (
	frontIP, backIP = "127.0.0.71", "127.0.0.72"
	revokeTime      = 3 * gypsumrail.Second
)

// configOf returns a configuration with a version, accounts and an anonymous route.
func configOf(version int, tenants string) string {
	return fmt.Sprintf(`{"version":%d,"tenants":%s,"routes":[
{"name":"keyed","hostname":"h","prefix":"/keyed/","routeKind":"idempotent","timeoutS":2,"service":"back","maxAttempts":2},
{"name":"open","hostname":"h","prefix":"/open/","routeKind":"idempotent","timeoutS":2,"service":"back","maxAttempts":2,"anonymous":true},
{"name":"outer","hostname":"h","prefix":"/outer/","routeKind":"idempotent","timeoutS":2,"service":"front","maxAttempts":2},
{"name":"broken","hostname":"h","prefix":"/broken/","routeKind":"idempotent","timeoutS":2,"service":"none","maxAttempts":2}],
"services":[{"name":"front"},{"name":"back"}]}`, version, tenants)
}

const siteTenants = `[{"name":"shop","apiKeys":["key-of-shop"]},{"name":"mall","apiKeys":["key-of-mall","key-of-two"]},
{"name":"bad","apiKeys":["key-of-bad"],"ratePerS":-1},{"name":"two","apiKeys":["key-of-two"]}]`

// answerPlatform answers with the platform's headers; the body is the account that the
// request states, and the credentials if there are any.
func answerPlatform(conn net.Conn, r *http.Request, text string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Request-Id"), len(text), text)
}

func stated(r *http.Request) string {
	return strings.Join(r.Header["Tenant"], ",") + "|" + r.Header.Get("Authorization")
}

func newAccountSite(t *testing.T) *accountSite {
	t.Helper()
	s := &accountSite{store: newStore(), log: &lockedBuffer{}}
	s.store.putText("op/config", configOf(1, siteTenants))
	s.back = newTarget(t, func(conn net.Conn, r *http.Request, _ string) { answerPlatform(conn, r, stated(r)) })
	front := newTarget(t, func(conn net.Conn, r *http.Request, _ string) {
		// The target calls service back while it runs a request, and passes the answer on.
		inner, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.a.ports.Clients+"/keyed/inner", http.NoBody)
		if err != nil {
			return
		}
		inner.Host = "h"
		inner.Header.Set("Request-Id", r.Header.Get("Request-Id")+".1")
		inner.Header.Set("Tenant", "forged")
		answer, err := http.DefaultClient.Do(inner)
		if err != nil {
			return
		}
		defer func() { _ = answer.Body.Close() }()
		text, _ := io.ReadAll(answer.Body)
		answerPlatform(conn, r, stated(r)+" "+string(text))
	})
	peers := freePorts(t)
	s.peers = peers
	start := func(ip, name, service string, target *target) *sidecar {
		address := func() string { return fmt.Sprintf("%s:%d", ip, freePorts(t)) }
		n := &sidecar{
			name:  name,
			ports: relay.Addresses{Clients: address(), Peers: fmt.Sprintf("%s:%d", ip, peers), Ready: address(), Admin: address()},
			ended: make(chan struct{}),
		}
		node, err := build.NewRelay(t.Context(), build.RelaySettings{
			Settings: build.Settings{
				Self:   gypsumrail.Instance{Name: name, Service: service, Zone: "z", Address: n.ports.Peers},
				Target: target.listener.Addr().String(), Log: s.log, LogLevel: log.DebugLevel,
			},
			Ports: n.ports, Headers: platform.Headers(), Store: s.store, Catalog: &platform.Catalog{PeersPort: uint16(peers)},
			RetryShare: 0.1, RetryBurst: 10, DrainMin: 100, DrainMax: 3000, Memory: memoryMax, Revoke: revokeTime, ConfigApply: 2500,
		})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			defer close(n.ended)
			_ = node.Run(ctx)
		}()
		t.Cleanup(func() {
			cancel()
			<-n.ended
		})
		s.store.putText("servers/"+name, fmt.Sprintf(
			`{"service":%q,"address":"%s:9","zone":"z","maxConcurrency":8,"state":"ready","born":1700000000000}`, service, ip))
		return n
	}
	s.a = start(frontIP, "front-1", "front", front)
	s.b = start(backIP, "back-1", "back", s.back)
	s.a.awaitReady(t)
	s.b.awaitReady(t)
	time.Sleep(time.Second) // until the followers have stated the age of the records
	return s
}

func (s *store) putText(key, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.items[key] = gypsumrail.Item{Key: key, Data: []byte(text), Revision: s.revision}
	close(s.changed)
	s.changed = make(chan struct{})
}

// send returns the status and the body, or the reason of a refusal.
func (s *accountSite) send(t *testing.T, n *sidecar, path, id string, header http.Header) string {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+n.ports.Clients+path, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	if header != nil {
		r.Header = header.Clone()
	}
	r.Host = "h"
	r.Header.Set("Request-Id", id)
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	retry := ""
	if answer.Header.Get("Retry-After") != "" {
		retry = " retry"
	}
	return fmt.Sprintf("%d %s%s", answer.StatusCode, strings.TrimSpace(string(body)), retry)
}

func bearer(values ...string) http.Header { return http.Header{"Authorization": values} }

// Guards against each wrong answer to "whose request is it": a target that is told another
// account than the one that holds the key, that sees the key or the client's own account
// header, a request that runs with an unknown key, a valid request that does not run, and a
// call of a target that loses its account.
func TestKeyLookup(t *testing.T) {
	s := newAccountSite(t)
	forged := bearer("Bearer key-of-shop")
	forged["Tenant"] = []string{"mall", "bad"}
	anonymous := http.Header{"Tenant": {"mall"}}
	connection := bearer("Bearer key-of-shop")
	connection.Set("Connection", "Authorization, Tenant")
	const (
		unknown = `401 {"Reason":"UnknownKey"}`
		invalid = `503 {"Reason":"InvalidAccount"} retry`
		parent  = `503 {"Reason":"UnknownParent"} retry`
	)
	for i, test := range []struct {
		path   string
		id     string
		header http.Header
		want   string
	}{
		{"/keyed/", "", bearer("Bearer key-of-shop"), "200 shop|"},
		{"/keyed/", "", bearer("bearer   key-of-mall "), "200 mall|"},
		{"/keyed/", "", forged, "200 shop|"},
		{"/keyed/", "a.b", bearer("Bearer key-of-shop"), "200 shop|"},
		{"/keyed/", "", nil, unknown},
		{"/keyed/", "", anonymous, unknown},
		{"/keyed/", "a.b", nil, parent},
		{"/keyed/", "", bearer("Bearer key-of-nobody"), unknown},
		{"/keyed/", "a.b", bearer("Bearer key-of-nobody"), unknown},
		{"/keyed/", "", bearer("Bearer "), unknown},
		{"/keyed/", "", bearer("Bearer"), unknown},
		{"/keyed/", "", bearer("Bearer key-of-sho"), unknown},
		{"/keyed/", "", bearer("Bearer key-of-shop key-of-mall"), unknown},
		{"/keyed/", "", bearer("Basic key-of-shop"), unknown},
		{"/keyed/", "", bearer("key-of-shop"), unknown},
		{"/keyed/", "", bearer("Bearer key-of-shop", "Bearer key-of-mall"), unknown},
		{"/keyed/", "", connection, "200 shop|"},
		{"/keyed/", "", bearer("Bearer key-of-bad"), invalid},
		{"/keyed/", "", bearer("Bearer key-of-two"), invalid},
		{"/open/", "", nil, "200 |"},
		{"/open/", "", anonymous, "200 |"},
		{"/open/", "a.b", nil, "200 |"},
		{"/open/", "", bearer("Bearer key-of-shop"), "200 shop|"},
		{"/open/", "", bearer("Bearer key-of-nobody"), unknown},
		{"/outer/", "", bearer("Bearer key-of-shop"), "200 shop| shop|"},
		{"/broken/", "", nil, `503 {"Reason":"InvalidClass"}`},
		{"/none/", "", bearer("Bearer key-of-shop"), `404 {"Reason":"UnknownName"}`},
	} {
		for _, node := range []*sidecar{s.a, s.b} {
			id := test.id
			if id == "" {
				id = fmt.Sprint("r", i, node.name)
			}
			ran := s.back.count()
			got := s.send(t, node, test.path, id, test.header)
			if got != test.want {
				t.Errorf("case %d at %s: %s %v: %s, want %s", i, node.name, test.path, test.header, got, test.want)
			}
			if refused := !strings.HasPrefix(test.want, "200"); refused != (s.back.count() == ran) {
				t.Errorf("case %d: %d runs", i, s.back.count()-ran)
			}
		}
	}
}

// Guards against a key that still admits a request when the records are too old, against
// requests without keys that are refused then, against a 401 for a key that a newer
// configuration may contain, and against refusals that go on after the store is back.
func TestStaleRecords(t *testing.T) {
	s := newAccountSite(t)
	const stale = `503 {"Reason":"StaleRecords"} retry`
	s.store.setDown(true)
	time.Sleep(revokeTime.Duration() + 50*time.Millisecond)
	for _, node := range []*sidecar{s.a, s.b} {
		got := []string{
			s.send(t, node, "/keyed/", "1"+node.name, bearer("Bearer key-of-shop")),
			s.send(t, node, "/keyed/", "2"+node.name, bearer("Bearer key-of-new")),
			s.send(t, node, "/open/", "3"+node.name, nil),
		}
		if diff := cmp.Diff([]string{stale, stale, "200 |"}, got); diff != "" {
			t.Errorf("while the store is away (-want +got):\n%s", diff)
		}
	}
	s.store.putText("op/config", configOf(2, `[{"name":"new","apiKeys":["key-of-new","key-of-shop"]}]`))
	s.store.setDown(false)
	time.Sleep(3 * time.Second)
	for _, node := range []*sidecar{s.a, s.b} {
		got := []string{
			s.send(t, node, "/keyed/", "4"+node.name, bearer("Bearer key-of-new")),
			s.send(t, node, "/keyed/", "5"+node.name, bearer("Bearer key-of-shop")),
			s.send(t, node, "/keyed/", "6"+node.name, bearer("Bearer key-of-mall")),
		}
		if diff := cmp.Diff([]string{"200 new|", "200 new|", `401 {"Reason":"UnknownKey"}`}, got); diff != "" {
			t.Errorf("after the store is back (-want +got):\n%s", diff)
		}
	}
	// A newer configuration that is malformed leaves the records in force unconfirmed.
	s.store.putText("op/config", strings.Replace(configOf(3, `[]`), `[]`, `7`, 1))
	time.Sleep(revokeTime.Duration() + 1500*time.Millisecond)
	for _, node := range []*sidecar{s.a, s.b} {
		if got := s.send(t, node, "/keyed/", "7"+node.name, bearer("Bearer key-of-new")); got != stale {
			t.Errorf("with a malformed configuration: %s", got)
		}
	}
}

// A client may send the identity of a running request with a suffix, as targets do for their
// calls. Guards against such a request that runs for the account of the running one.
func TestRequestLikeACall(t *testing.T) {
	s := newAccountSite(t)
	hold := make(chan struct{})
	s.back.mu.Lock()
	s.back.answer = func(conn net.Conn, r *http.Request, _ string) {
		if r.URL.Path == "/keyed/hold" {
			<-hold
		}
		answerPlatform(conn, r, stated(r))
	}
	s.back.mu.Unlock()
	held := make(chan string)
	go func() { held <- s.send(t, s.b, "/keyed/hold", "p", bearer("Bearer key-of-shop")) }()
	time.Sleep(300 * time.Millisecond)
	for i, test := range []struct {
		header http.Header
		want   string
	}{
		{bearer("Bearer key-of-mall"), "200 mall|"}, {bearer("Bearer key-of-nobody"), `401 {"Reason":"UnknownKey"}`},
		{bearer("Basic x"), `401 {"Reason":"UnknownKey"}`}, {nil, "200 shop|"},
	} {
		if got := s.send(t, s.b, "/keyed/", fmt.Sprint("p.", i), test.header); got != test.want {
			t.Errorf("%v: %s, want %s", test.header, got, test.want)
		}
	}
	close(hold)
	if got := <-held; got != "200 shop|" {
		t.Errorf("the running request: %s", got)
	}
}

// stream collects the recorded events of a node until the test ends.
func (n *sidecar) stream(t *testing.T) *lockedBuffer {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+n.ports.Admin+"/events", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	b := &lockedBuffer{}
	go func() {
		defer func() { _ = answer.Body.Close() }()
		_, _ = io.Copy(b, answer.Body)
	}()
	return b
}

func (n *sidecar) admin(t *testing.T, path string) string {
	t.Helper()
	answer, err := http.Get("http://" + n.ports.Admin + path) //nolint:noctx // loopback
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	text, _ := io.ReadAll(answer.Body)
	return string(text)
}

// Guards against a key in a log line, a metric, the status, a recorded event, the copy that
// peers read, the value that they pull, or a call between nodes. Also guards against
// fingerprints of a request that differ between its nodes since the key is not passed on.
func TestNoKeyLeaves(t *testing.T) {
	s := newAccountSite(t)
	listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.73:%d", s.peers)) //nolint:noctx // loopback
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	calls := &lockedBuffer{}
	go func() { // a node of service back that takes calls and answers none
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err == nil {
					_ = r.Write(calls)
				}
			}()
		}
	}()
	s.store.putText("servers/fake", `{"service":"back","address":"127.0.0.73:9","zone":"z","maxConcurrency":8,"state":"ready","born":1700000000000}`)
	time.Sleep(time.Second)
	streams := []*lockedBuffer{s.a.stream(t), s.b.stream(t)}
	for i := range 20 {
		for j, key := range []string{"key-of-shop", "key-of-nobody", "key-of-bad", "key-of-two"} {
			s.send(t, s.a, "/keyed/", fmt.Sprintf("%d-%d", i, j), bearer("Bearer "+key))
		}
	}
	s.store.putText("op/config", strings.Replace(configOf(2, siteTenants), `"apiKeys"`, `"apiKeys":[5],"apiKeys"`, 1))
	s.store.putText("op/config", configOf(3, siteTenants)[:300])
	time.Sleep(time.Second)
	seen := map[string]string{
		"log": s.log.text(), "events of a": streams[0].text(), "events of b": streams[1].text(), "calls": calls.text(),
	}
	pool := nodeclient.NewPool()
	defer pool.Close()
	control := peer.NewClient(pool, nodeclient.NewUnpooled(nil))
	for _, n := range []*sidecar{s.a, s.b} {
		seen["status of "+n.name], seen["metrics of "+n.name] = n.admin(t, "/status"), n.admin(t, "/metrics")
		ip, _, _ := net.SplitHostPort(n.ports.Peers)
		address := fmt.Sprintf("%s:%d", ip, s.peers+1)
		items, err := control.Store(address).List(t.Context(), "", "")
		var texts []string
		for i := range items.List {
			texts = append(texts, string(items.List[i].Data))
		}
		seen["copy of "+n.name] = fmt.Sprint(texts, err)
		_, content, err := control.Pull(t.Context(), address, gypsumrail.ValueVersion{Name: gypsumrail.ValueRecords, Revision: 1})
		seen["value of "+n.name] = fmt.Sprintf("%s %v", content, err)
	}
	for name, text := range seen {
		if len(text) < 100 {
			t.Errorf("%s: only %q", name, text)
		}
		if i := strings.Index(text, "key-of"); i >= 0 {
			t.Errorf("%s: %s", name, text[max(0, i-150):min(len(text), i+50)])
		}
	}
	if !strings.Contains(seen["copy of front-1"], "malformed") || !strings.Contains(seen["value of front-1"], "keyDigests") {
		t.Errorf("the copy is %s, the value in force %s", seen["copy of front-1"], seen["value of front-1"])
	}
	prints := [2]map[string]uint64{{}, {}}
	for i, b := range streams {
		for line := range strings.SplitSeq(b.text(), "\n") {
			var e gypsumrail.Event
			if json.Unmarshal([]byte(line), &e) == nil && e.Kind == gypsumrail.CallArrived {
				prints[i][e.Arrival.Request] = e.Arrival.Fingerprint
			}
		}
	}
	if len(prints[1]) == 0 {
		t.Error("no call reached the second node")
	}
	for request, print := range prints[1] {
		if prints[0][request] != print {
			t.Errorf("request %s has fingerprint %x at one node and %x at the next", request, prints[0][request], print)
		}
	}
}
