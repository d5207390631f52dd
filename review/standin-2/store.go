package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxPage is the largest number of items in one page of a list.
const maxPage = 500

// An item is an entry of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// A lease ends at an instant unless it is renewed.
type lease struct {
	ttl time.Duration
	end time.Time
}

// A store is a stand-in of the platform's metadata store. It loses nothing.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision int64
	leases   map[int64]lease
	next     int64
	changed  chan struct{}
}

func newStore() *store {
	s := &store{items: make(map[string]item), leases: make(map[int64]lease), revision: 1, changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

// serve answers calls at the listener.
func (s *store) serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /endiveturn/kv-key", s.answer(s.get))
	mux.HandleFunc("GET /endiveturn/kv-range", s.answer(s.list))
	mux.HandleFunc("GET /endiveturn/kv-watch", s.answer(s.watch))
	mux.HandleFunc("POST /endiveturn/kv-txn", s.answer(s.transact))
	mux.HandleFunc("POST /endiveturn/kv-lease", s.answer(s.grant))
	mux.HandleFunc("POST /endiveturn/kv-keep/{id}", s.answer(s.keep))
	mux.HandleFunc("DELETE /endiveturn/kv-lease-end/{id}", s.answer(s.endLease))
	_ = http.Serve(listener, mux)
}

func (s *store) answer(call func(*http.Request) (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		status, body := call(r)
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Store-Era", "1")
		w.WriteHeader(status)
		if body != nil {
			_ = json.NewEncoder(w).Encode(body)
		}
	}
}

// put writes a key as the operator and the databases do.
func (s *store) put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, value, 0)
	return s.revision
}

// write writes a key at the present revision. The caller holds mu.
func (s *store) write(key string, value []byte, leaseID int64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	entry := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: leaseID}
	s.items[key] = entry
	s.record(entry)
}

// remove deletes a key at the present revision. The caller holds mu.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) record(entry item) {
	s.history = append(s.history, entry)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.dropLease(id)
		}
	}
}

func (s *store) dropLease(id int64) {
	delete(s.leases, id)
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if s.items[key].Lease == id {
			s.revision++
			s.remove(key)
		}
	}
}

func (s *store) get(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		return http.StatusNotFound, map[string]any{"current_rev": s.revision}
	}
	return http.StatusOK, entry
}

func (s *store) list(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	query := r.URL.Query()
	items, more := []item{}, false
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, query.Get("prefix")) || query.Has("after") && key <= query.Get("after") {
			continue
		}
		if more = len(items) == maxPage; more {
			break
		}
		items = append(items, s.items[key])
	}
	return http.StatusOK, map[string]any{"items": items, "has_more": more, "current_rev": s.revision}
}

func (s *store) watch(r *http.Request) (int, any) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, entry := range s.history {
			if entry.Revision > after && strings.HasPrefix(entry.Key, query.Get("prefix")) {
				events = append(events, entry)
			}
		}
		current, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || expired {
			return http.StatusOK, map[string]any{"events": events, "current_rev": current}
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			expired = true
		}
	}
}

func (s *store) transact(r *http.Request) (int, any) {
	var txn struct {
		Expected []item `json:"expected_rev"`
		Puts     []item `json:"puts"`
		Deletes  []string
	}
	if json.NewDecoder(r.Body).Decode(&txn) != nil {
		return http.StatusBadRequest, nil
	}
	for _, p := range txn.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return http.StatusForbidden, nil
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := true
	current := []item{}
	for _, e := range txn.Expected {
		entry, ok := s.items[e.Key]
		if !ok {
			entry = item{Key: e.Key}
		}
		current = append(current, entry)
		holds = holds && entry.Revision == e.Revision
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, p := range txn.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return http.StatusNotFound, nil
		}
	}
	s.revision++
	for _, p := range txn.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range txn.Deletes {
		s.remove(key)
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *store) grant(r *http.Request) (int, any) {
	var request struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil || request.TTL < 1000 {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	ttl := time.Duration(request.TTL) * time.Millisecond
	s.leases[s.next] = lease{ttl: ttl, end: time.Now().Add(ttl)}
	return http.StatusOK, map[string]any{"lease": s.next, "ttl_ms": request.TTL}
}

func (s *store) keep(r *http.Request) (int, any) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return http.StatusNotFound, nil
	}
	l.end = time.Now().Add(l.ttl)
	s.leases[id] = l
	return http.StatusOK, map[string]any{"lease": id, "ttl_ms": l.ttl.Milliseconds()}
}

func (s *store) endLease(r *http.Request) (int, any) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		return http.StatusNotFound, nil
	}
	s.dropLease(id)
	return http.StatusOK, nil
}
