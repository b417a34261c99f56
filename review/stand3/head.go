package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// The case "head": clients look with HEAD whether a saved list is there, and send orders on the
// same kept connections. Then a version of the configuration removes the route of the lists.
const (
	headClients = 20
	headLimit   = 5 * time.Second
)

func runHead(t *trial) (bool, error) {
	t.bounds = grownBounds
	if err := t.choosePorts(3); err != nil {
		return false, err
	}
	var err error
	if t.store, err = newStore(t.rec, pageMax); err != nil {
		return false, err
	}
	services := []string{"quoting", "cutlist", "ordering"}
	lists := route("r-list", "list.example", "/list/", "idempotent", "cutlist", 5, 2, 2)
	orders := route("r-order", "order.example", "/confirm/", "non_idempotent", "ordering", 5, 0, 2)
	t.store.put("op/config", config(7, services, lists, orders))
	var nodes []*node
	var ups []*upstream
	for i, service := range services {
		u := &upstream{
			rec: t.rec, id: "i-" + service, service: service, zone: "kl-a", address: t.at(machineIP(i), portApp), slots: 129, queue: 108,
			work: func(*httpRequest) time.Duration { return 50 * time.Millisecond },
		}
		ups = append(ups, u)
		if err := u.start(); err != nil {
			return false, err
		}
		t.store.put("servers/"+u.id, u.entry("ready", 1))
		n, err := t.addNode(i, u.service, u.zone)
		if err != nil {
			return false, err
		}
		nodes = append(nodes, n)
	}
	if err := t.awaitReady(nodes...); err != nil {
		return false, err
	}
	time.Sleep(stableWindow)

	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	malformed, answered, ran := 0, 0, 0
	for range headClients {
		wg.Go(func() {
			bad, good, unread := headClient(t.rec, t.at(nodes[0].ip, portOutbound), stop)
			mu.Lock()
			defer mu.Unlock()
			malformed, answered = malformed+len(bad), answered+good
			for _, a := range ups[2].seen() {
				for _, id := range unread {
					if a.id == id && a.done {
						ran++
					}
				}
			}
		})
	}
	time.Sleep(5 * time.Second)
	if t.trouble {
		t.store.put("op/config", config(8, services, orders))
	}
	time.Sleep(8 * time.Second)
	close(stop)
	wg.Wait()
	t.rec.note("%d requests got an answer; %d times a client read bytes that are no answer; %d orders had run whose answer could not be read", answered, malformed, ran)
	return malformed > 0, nil
}

// headClient sends HEAD and POST in turn on a kept connection. It returns what it read that is no
// answer, the number of answers, and the orders whose answer it could not read.
func headClient(rec *record, outbound string, stop <-chan struct{}) (bad []string, good int, unread []string) {
	var conn net.Conn
	var reader *bufio.Reader
	drop := func() {
		if conn != nil {
			_ = conn.Close()
			conn = nil
		}
	}
	defer drop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return bad, good, unread
		case <-time.After(100*time.Millisecond + rand.N(200*time.Millisecond)):
		}
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", outbound, time.Second); err != nil {
				conn = nil
				continue
			}
			reader = bufio.NewReader(conn)
		}
		id, method := newID(), http.MethodHead
		head := fmt.Sprintf("HEAD /list/%d HTTP/1.1\r\nHost: list.example\r\n", n)
		if n%2 == 1 {
			method = http.MethodPost
			head = fmt.Sprintf("POST /confirm/%d HTTP/1.1\r\nHost: order.example\r\nContent-Length: 5\r\n", n)
		}
		head += fmt.Sprintf("Request-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", id, headLimit.Milliseconds())
		if method == http.MethodPost {
			head += "order"
		}
		rec.line("client: sends %s %s", id, method)
		_ = conn.SetDeadline(time.Now().Add(headLimit + time.Second))
		if _, err := io.WriteString(conn, head); err != nil {
			drop()
			continue
		}
		first, _ := reader.Peek(16)
		text := string(first)
		answer, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			rec.line("client: %s got bytes that are no answer, beginning with %q: %v", id, text, err)
			if len(first) > 0 {
				bad = append(bad, text)
			}
			if method == http.MethodPost {
				unread = append(unread, id)
			}
			time.Sleep(500 * time.Millisecond) // the run ends meanwhile
			drop()
			continue
		}
		_, err = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
		rec.line("client: %s got %d %v", id, answer.StatusCode, err)
		good++
		if err != nil || answer.Close {
			drop()
		}
	}
}
