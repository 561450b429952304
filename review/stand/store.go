package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the platform's store, as PROTOCOL.md spells it.
type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Rev        int64  `json:"rev"`
	CreatedRev int64  `json:"createdRev,omitempty"`
	Lease      int64  `json:"lease"`
	Tombstone  bool   `json:"tombstone,omitempty"`
}

// lease is a lease with the time at which it ends.
type lease struct {
	ttl  time.Duration
	ends time.Time
}

// platformStore is the platform's metadata store: sound, linearizable and without limits of the rate.
type platformStore struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]item
	history []item
	leases  map[int64]*lease
	changed chan struct{} // closed at the next change
	address string
}

func startStore(address string) (*platformStore, error) {
	s := &platformStore{rev: 1, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.getKey)
	mux.HandleFunc("GET /-/kv-range", s.getRange)
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	mux.HandleFunc("POST /-/kv-txn", s.txn)
	mux.HandleFunc("POST /-/kv-lease", s.grant)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.end)
	go func() { _ = http.Serve(listener, mux) }()
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			s.expire()
		}
	}()
	return s, nil
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// put writes a key as the operator does, and returns when the store has acknowledged it.
func (s *platformStore) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.set(key, value, 0)
	s.notify()
}

// set, remove and notify are called with the lock held.
func (s *platformStore) set(key string, value []byte, leaseID int64) {
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.CreatedRev
	}
	s.items[key] = item{Key: key, Value: value, Rev: s.rev, CreatedRev: created, Lease: leaseID}
	s.history = append(s.history, s.items[key])
}

func (s *platformStore) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Rev: s.rev, Tombstone: true})
	}
}

func (s *platformStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *platformStore) endLease(id int64) {
	delete(s.leases, id)
	s.rev++
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
	s.notify()
}

func (s *platformStore) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.ends) {
			s.endLease(id)
		}
	}
}

func (s *platformStore) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	found, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	answer(w, http.StatusOK, found)
}

func (s *platformStore) getRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, r.URL.Query().Get("pathPrefix")) {
			items = append(items, i)
		}
	}
	asOf := s.rev
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "asOf": asOf})
}

func (s *platformStore) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Rev > after && strings.HasPrefix(i.Key, r.URL.Query().Get("pathPrefix")) {
				events = append(events, i)
			}
		}
		asOf, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *platformStore) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Precondition []struct {
			Key string
			Rev int64
		}
		Puts []struct {
			Key   string
			Value []byte
			Lease int64
		}
		Remove []string
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.Precondition {
		if s.items[c.Key].Rev != c.Rev {
			answer(w, http.StatusPreconditionFailed, map[string]any{"items": []item{}})
			return
		}
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	s.rev++
	for _, p := range t.Puts {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	s.notify()
	answer(w, http.StatusOK, map[string]any{"rev": s.rev})
}

func (s *platformStore) grant(w http.ResponseWriter, r *http.Request) {
	var body struct{ TTLMs int64 }
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	ttl := time.Duration(body.TTLMs) * time.Millisecond
	s.leases[s.rev] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease": s.rev, "ttlMs": body.TTLMs})
}

func (s *platformStore) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	l.ends = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": l.ttl.Milliseconds()})
}

func (s *platformStore) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	s.endLease(id)
	answer(w, http.StatusOK, struct{}{})
}
