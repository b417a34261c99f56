package main

import (
	"encoding/base64"
	"encoding/json"
	"maps"
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

	written time.Time
}

// firstRevision is the revision of the store before the first write.
const firstRevision = 100

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
	era        uint64
	away       bool
	copies     []storeCopy
	floor      uint64        // changes up to this revision are not in the history
	staleLag   time.Duration // age of stale reads
	watches    map[*waiting]bool
	beforePage func(after string)
}

func newStore(rec *record, pageMax int) (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{rec: rec, pageMax: pageMax, listener: l, items: map[string]item{}, revision: firstRevision, changed: make(chan struct{}), watches: map[*waiting]bool{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("GET /v1/kv-key", s.key)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		away, era := s.away, s.era
		s.mu.Unlock()
		w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
		if away {
			http.Error(w, "away", http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// waiting is a watch that waits.
type waiting struct {
	since  time.Time
	silent chan struct{} // closed when its connection goes silent
}

// silence makes the connections of all waiting watches silent, and returns their number.
func (s *store) silence() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.watches {
		close(w.silent)
	}
	return len(s.watches)
}

// storeCopy is a copy of the store from which it comes back after a drill.
type storeCopy struct {
	at       time.Time
	items    map[string]item
	revision uint64
}

// keepCopy takes a copy of the store.
func (s *store) keepCopy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies = append(s.copies, storeCopy{time.Now(), maps.Clone(s.items), s.revision})
}

// drill makes the store go away for a time and come back from the last copy that is at least
// as old as given. What it had acknowledged since is lost, and revisions are given out again.
func (s *store) drill(away, age time.Duration) {
	s.mu.Lock()
	s.away = true
	close(s.changed) // waiting watches are cut
	s.changed = make(chan struct{})
	s.mu.Unlock()
	s.rec.note("store: goes away")
	time.Sleep(away)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.copies {
		if time.Since(c.at) >= age {
			s.items, s.revision = maps.Clone(c.items), c.revision
		}
	}
	s.history, s.floor, s.away = nil, s.revision, false
	s.era++
	s.rec.note("store: is back from a copy, era %d, revision %d", s.era, s.revision)
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
	next := item{Key: key, Data: base64.StdEncoding.EncodeToString(data), Revision: s.revision, Created: created, written: time.Now()}
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
	s.history = append(s.history, item{Key: key, Revision: s.revision, IsDeleted: true, written: time.Now()})
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
	items, revision := s.items, s.revision
	if q.Get("isStale") == "1" {
		items, revision = s.stale()
	}
	keys := make([]string, 0, len(items))
	for key := range items {
		if strings.HasPrefix(key, prefix) && (after == "" || key > after) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page := struct {
		Items      []item `json:"items"`
		HasMore    bool   `json:"hasMore"`
		AtRevision uint64 `json:"atRevision"`
	}{Items: []item{}, AtRevision: revision}
	for _, key := range keys {
		if len(page.Items) == s.pageMax {
			page.HasMore = true
			break
		}
		page.Items = append(page.Items, items[key])
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
	self := &waiting{since: time.Now(), silent: make(chan struct{})}
	s.mu.Lock()
	s.watches[self] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.watches, self)
		s.mu.Unlock()
	}()
	for last := false; ; {
		s.mu.Lock()
		answer := struct {
			Events     []item `json:"events"`
			AtRevision uint64 `json:"atRevision"`
		}{Events: []item{}, AtRevision: s.revision}
		away, gone := s.away, after > s.revision || s.era > 0 && after < s.floor
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				answer.Events = append(answer.Events, i)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if away || gone {
			w.WriteHeader(map[bool]int{true: http.StatusServiceUnavailable, false: http.StatusGone}[away])
			return
		}
		if len(answer.Events) > 0 || last {
			answerJSON(w, answer)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			last = true
		case <-self.silent:
			<-r.Context().Done()
			return
		case <-r.Context().Done():
			return
		}
	}
}

// stale returns the items and the revision that a stale read shows. The caller holds the mutex.
func (s *store) stale() (map[string]item, uint64) {
	if s.staleLag == 0 {
		return s.items, s.revision
	}
	items, revision := map[string]item{}, uint64(firstRevision)
	for _, i := range s.history {
		if time.Since(i.written) < s.staleLag {
			break
		}
		revision = i.Revision
		if i.IsDeleted {
			delete(items, i.Key)
		} else {
			items[i.Key] = i
		}
	}
	return items, revision
}

// setBeforePage sets a function that is called before the answer to each request for a
// further page of a listing.
func (s *store) setBeforePage(f func(after string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beforePage = f
}
