package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"path"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// client sends requests one after the other, on a connection that it keeps as long as the
// node does, until no connection can be opened.
type client struct {
	name    string
	address string
	random  *rand.Rand
	cut     []string // requests that were sent whole and got no whole answer
	late    []string // of these, those that were cut later than closeSlack after they were sent
	broken  []string // requests that were sent in the drain and got 504 before their time was over
	answers map[int]int
	drains  *atomic.Bool
}

// closeSlack is the time within which a connection may close although a request was sent on
// it, if the request is not passed on: the two cross.
const closeSlack = 200 * time.Millisecond

func (c *client) run() {
	n := 0
	for {
		conn, err := net.Dial("tcp", c.address) //nolint:noctx // loopback
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		for keeps := true; keeps; n++ {
			id := fmt.Sprintf("%s-%d", c.name, n)
			keeps = c.exchange(conn, reader, id)
		}
		_ = conn.Close()
	}
}

// exchange sends a request that runs for up to 2.5 s, with or without a time that is left. It
// returns whether the connection is kept.
func (c *client) exchange(conn net.Conn, reader *bufio.Reader, id string) bool {
	left, limit := "", 2*time.Second // of the class
	if n := []int{0, 300, 1000, 2500, 20_000}[c.random.IntN(5)]; n > 0 {
		left, limit = "X-Left: "+strconv.Itoa(n)+"\r\n", time.Duration(n)*time.Millisecond
	}
	inDrain := c.drains.Load()
	class := []string{"own", "once", "read"}[c.random.IntN(3)]
	run := []int{0, 20, 300, 900, 2500}[c.random.IntN(5)]
	if _, err := fmt.Fprintf(conn, "POST /%s/%d HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\n%sContent-Length: 2\r\n\r\nhi", class, run, id, left); err != nil {
		return false
	}
	sent := time.Now()
	answer, err := http.ReadResponse(reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, answer.Body)
	}
	if err != nil {
		c.cut = append(c.cut, id)
		if time.Since(sent) > closeSlack {
			c.late = append(c.late, id)
		}
		return false
	}
	c.answers[answer.StatusCode]++
	if inDrain && answer.StatusCode == http.StatusGatewayTimeout && time.Since(sent) < limit-10*time.Millisecond {
		c.broken = append(c.broken, id)
	}
	time.Sleep(time.Duration(c.random.IntN(20)) * time.Millisecond)
	return !answer.Close
}

// Guards against requests that are taken late in a drain, passed on and cut at its end, whatever
// time the caller or the class allows and however long the run takes.
func TestLateRequestsInDrain(t *testing.T) {
	var mu sync.Mutex
	ran := map[string]bool{}
	slow := func(conn net.Conn, r *http.Request, body string) {
		mu.Lock()
		ran[r.Header.Get("X-Id")] = true
		mu.Unlock()
		if n, err := strconv.Atoi(path.Base(r.URL.Path)); err == nil {
			time.Sleep(time.Duration(n) * time.Millisecond)
		}
		writeEcho(conn, r, body)
	}
	entry, targets, _ := deployment(t, slow, slow)
	targets[0].answer = slow
	clients := make([]*client, 24)
	var drains atomic.Bool
	var work sync.WaitGroup
	for i := range clients {
		clients[i] = &client{
			name: fmt.Sprintf("c%d", i), address: entry.ports.Clients,
			random: rand.New(rand.NewPCG(uint64(i), 27)), answers: map[int]int{}, drains: &drains,
		}
		work.Go(clients[i].run)
	}
	time.Sleep(300 * time.Millisecond)
	entry.node.Drain()
	drains.Store(true)
	select {
	case <-entry.ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the node did not end within 10 s after Drain")
	}
	work.Wait()
	answers := map[int]int{}
	cut := 0
	for _, c := range clients {
		for status, n := range c.answers {
			answers[status] += n
		}
		cut += len(c.cut)
		for _, id := range c.cut {
			if ran[id] {
				t.Errorf("request %s was passed on and cut", id)
			}
		}
		for _, id := range c.broken {
			t.Errorf("request %s was taken in the drain and broken off at its end", id)
		}
		for _, id := range c.late {
			t.Errorf("request %s was cut late", id)
		}
	}
	t.Logf("answers by status: %v; %d requests crossed the end", answers, cut)
	if answers[http.StatusOK] < 20 || answers[http.StatusServiceUnavailable] < 20 {
		t.Errorf("answers by status: %v, want at least 20 whole ones and 20 refusals", answers)
	}
}

// Guards against a last answer that is cut because the node ends while it is still being
// written: a large answer to a caller that reads slowly.
func TestAnswerOutlastsDrain(t *testing.T) {
	const size = 12 << 20
	large := func(conn net.Conn, r *http.Request, _ string) {
		time.Sleep(100 * time.Millisecond)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Proof: p\r\nContent-Length: %d\r\n\r\n", r.Header.Get("X-Id"), size)
		_, _ = conn.Write(make([]byte, size))
	}
	entry, _, _ := deployment(t, large)
	conn, err := net.Dial("tcp", entry.ports.Clients) //nolint:noctx // loopback
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	fmt.Fprint(conn, "GET /read/1 HTTP/1.1\r\nHost: h\r\nX-Id: large\r\nContent-Length: 0\r\n\r\n")
	time.Sleep(50 * time.Millisecond)
	entry.node.Drain()
	reader := bufio.NewReader(conn)
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second) // within DrainMax
	n, err := io.Copy(io.Discard, answer.Body)
	if err != nil || n != size {
		t.Errorf("%d of %d bytes arrived, %v", n, size, err)
	}
}
