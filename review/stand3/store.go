package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeAnswerTime is the time of an answer of the store, as on the data sheets.
const storeAnswerTime = 4 * time.Millisecond

type item struct {
	Key       string `json:"key"`
	Data      string `json:"data,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	LeaseID   int    `json:"leaseId"`
	IsDeleted bool   `json:"isDeleted,omitempty"`
}

// store stands in for the platform's store. It loses nothing and is linearizable.
type store struct {
	rec      *record
	pageMax  int
	listener net.Listener
	server   *http.Server

	mu         sync.Mutex
	items      map[string]item
	history    []item
	revision   uint64
	changed    chan struct{}
	beforePage func(after string)
}

func newStore(rec *record, pageMax int) (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{rec: rec, pageMax: pageMax, listener: l, items: map[string]item{}, revision: 100, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("GET /v1/kv-key", s.key)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes an item and returns the time of the acknowledgement.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	next := item{Key: key, Data: base64.StdEncoding.EncodeToString(data), Revision: s.revision, Created: created}
	s.items[key] = next
	s.history = append(s.history, next)
	close(s.changed)
	s.changed = make(chan struct{})
	s.rec.line("store: %s written at revision %d: %.160s", key, s.revision, data)
	return time.Now()
}

func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return time.Now()
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, IsDeleted: true})
	close(s.changed)
	s.changed = make(chan struct{})
	s.rec.line("store: %s removed at revision %d", key, s.revision)
	return time.Now()
}

func answerJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	answerJSON(w, struct {
		item
		AtRevision uint64 `json:"atRevision"`
	}{i, at})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix, after := q.Get("prefix"), q.Get("after")
	s.mu.Lock()
	beforePage := s.beforePage
	s.mu.Unlock()
	if after != "" && beforePage != nil {
		beforePage(after)
	}
	time.Sleep(storeAnswerTime)
	s.mu.Lock()
	keys := make([]string, 0, len(s.items))
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && (after == "" || key > after) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page := struct {
		Items      []item `json:"items"`
		HasMore    bool   `json:"hasMore"`
		AtRevision uint64 `json:"atRevision"`
	}{Items: []item{}, AtRevision: s.revision}
	for _, key := range keys {
		if len(page.Items) == s.pageMax {
			page.HasMore = true
			break
		}
		page.Items = append(page.Items, s.items[key])
	}
	s.mu.Unlock()
	answerJSON(w, page)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix := q.Get("prefix")
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer deadline.Stop()
	time.Sleep(storeAnswerTime)
	for last := false; ; {
		s.mu.Lock()
		answer := struct {
			Events     []item `json:"events"`
			AtRevision uint64 `json:"atRevision"`
		}{Events: []item{}, AtRevision: s.revision}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				answer.Events = append(answer.Events, i)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(answer.Events) > 0 || last {
			answerJSON(w, answer)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

// setBeforePage sets a function that is called before the answer to each request for a
// further page of a listing.
func (s *store) setBeforePage(f func(after string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beforePage = f
}
