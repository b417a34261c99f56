package main

import (
	"net/http"
	"time"
)

func init() { cases["head"] = headAnswers }

// headAnswers drops a route while clients check its documents with HEAD requests, and read
// other documents on the same connections.
func headAnswers(s *stage) (bool, error) {
	const (
		host    = "hulo84.example"
		limit   = 2 * time.Second
		clients = 10
		pause   = 50 * time.Millisecond
	)
	lists := route("r-list", host, "/list/", "idempotent", "cutlist", 2, 1.5, 2, 2)
	archive := route("r-archive", host, "/archive/", "idempotent", "cutlist", 2, 1.5, 2, 2)
	services := []any{serviceEntry("cutlist", 1252)}
	if err := s.build(map[string]any{"routes": []any{lists, archive}, "services": services}, 64, "cutlist", "cutlist"); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // machines count as calm after 3 s
	if s.trouble {
		s.configure(map[string]any{"routes": []any{lists}, "services": services})
		time.Sleep(4 * time.Second) // it is in force after 2 s
	}
	bad := 0
	for i := range clients {
		c, err := dial(s.log, s.machines[i%2], 0)
		if err != nil {
			return false, err
		}
		first := c.send(order{method: http.MethodHead, host: host, path: "/archive/20/400", limit: limit})
		time.Sleep(pause)
		if n := c.reader.Buffered(); n > 0 {
			rest, _ := c.reader.Peek(n)
			s.log.sayf("after the answer %d to HEAD request %s, with no request waiting: %q", first.status, first.id, rest)
		}
		second := c.send(order{method: http.MethodGet, host: host, path: "/list/20/400", limit: limit})
		if first.complete() && (second.err != nil || !second.genuine()) {
			bad++
			s.log.sayf("the client of GET request %s on the same connection reads: %v", second.id, second.err)
		}
		c.close()
	}
	s.log.sayf("%d of %d connections carried bytes that are no answer", bad, clients)
	return bad > 0, nil
}
