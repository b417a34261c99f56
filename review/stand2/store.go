package main

import (
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

// item is one item of the platform's store, spelled as on the wire.
type item struct {
	Key       string `json:"key"`
	Data      []byte `json:"data,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	LeaseID   uint64 `json:"leaseId"`
	IsDeleted bool   `json:"isDeleted,omitempty"`
}

// store stands in for the platform's metadata store: the reading calls only.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
	server   *http.Server
	era      int    // 0: not stated
	floor    uint64 // changes up to it are not in the history
}

// snapshot is a copy of the store's content.
type snapshot struct {
	revision uint64
	items    map[string]item
}

func newStore(address string) (*store, error) {
	s := &store{address: address, revision: 10, items: map[string]item{}, changed: make(chan struct{})}
	return s, s.serve()
}

func (s *store) serve() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.key)
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		era := s.era
		s.mu.Unlock()
		if era > 0 {
			w.Header().Set("Store-Era", strconv.Itoa(era))
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(listener) }()
	return nil
}

// leave closes the port and all connections.
func (s *store) leave() { _ = s.server.Close() }

func (s *store) copy() snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return snapshot{s.revision, maps.Clone(s.items)}
}

// comeBack serves an older copy, in the next era.
func (s *store) comeBack(from snapshot) error {
	s.mu.Lock()
	s.era++
	s.revision, s.items, s.history, s.floor = from.revision, maps.Clone(from.items), nil, from.revision
	s.mu.Unlock()
	return s.serve()
}

func (s *store) put(key string, value any) {
	data, _ := json.Marshal(value)
	s.putBytes(key, data)
}

func (s *store) putBytes(key string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.items[key].Created
	if created == 0 {
		created = s.revision
	}
	s.items[key] = item{Key: key, Data: data, Revision: s.revision, Created: created}
	s.note(s.items[key])
}

func (s *store) note(change item) {
	s.history = append(s.history, change)
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, value any) {
	data, _ := json.Marshal(value)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	found, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, found)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	list := []item{}
	for key, found := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, found)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	more := len(list) > 500
	if more {
		list = list[:500]
	}
	reply(w, map[string]any{"items": list, "hasMore": more, "atRevision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix := query.Get("prefix")
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if after < s.floor || after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, change := range s.history {
			if change.Revision > after && strings.HasPrefix(change.Key, prefix) {
				events = append(events, change)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "atRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, map[string]any{"events": events, "atRevision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}
