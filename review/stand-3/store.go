package main

import (
	"cmp"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	pageItems = 500
	maxWait   = 30 * time.Second
)

// item is one key of the store, or its removal in the history.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Rev       int64  `json:"rev"`
	Created   int64  `json:"createdRev,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// kvStore is a stand-in for the platform's store, as PROTOCOL.md describes it.
type kvStore struct {
	mu      sync.Mutex
	items   map[string]item
	leases  map[int64]lease
	history []item
	rev     int64
	lastID  int64
	changed chan struct{} // closed at each change
	server  *http.Server
}

func startStore(address string) (*kvStore, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &kvStore{items: make(map[string]item), leases: make(map[int64]lease), rev: 100, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.getKey)
	mux.HandleFunc("GET /-/kv-range", s.getRange)
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	mux.HandleFunc("POST /-/kv-txn", s.commit)
	mux.HandleFunc("POST /-/kv-lease", s.grant)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.endLease)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *kvStore) close() { _ = s.server.Close() }

// put writes a key as the operator does, and returns when the write is acknowledged.
func (s *kvStore) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.write(key, value, 0)
	s.announce()
}

func (s *kvStore) write(key string, value []byte, lease int64) {
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := item{Key: key, Value: value, Rev: s.rev, Created: created, Lease: lease}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *kvStore) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Rev: s.rev, Tombstone: true})
	}
}

func (s *kvStore) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases removes the keys of leases that have ended. It is called with the lock held.
func (s *kvStore) expireLeases() {
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.endKeys(id)
		}
	}
}

func (s *kvStore) endKeys(id int64) {
	delete(s.leases, id)
	s.rev++
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
	s.announce()
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *kvStore) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]int64{"asOf": s.rev})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		AsOf int64 `json:"asOf"`
	}{i, s.rev})
}

func (s *kvStore) getRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after")
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return cmp.Compare(a.Key, b.Key) })
	more := len(found) > pageItems
	reply(w, http.StatusOK, map[string]any{"items": found[:min(pageItems, len(found))], "hasMore": more, "asOf": s.rev})
}

func (s *kvStore) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(min(maxWait, time.Duration(waitMs)*time.Millisecond))
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Rev > after && strings.HasPrefix(i.Key, query.Get("pathPrefix")) {
				events = append(events, i)
			}
		}
		asOf, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *kvStore) commit(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Precondition []item   `json:"precondition"`
		Puts         []item   `json:"puts"`
		Remove       []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&txn) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	current, holds := []item{}, true
	for _, want := range txn.Precondition {
		found := s.items[want.Key]
		holds = holds && found.Rev == want.Rev
		if found.Key != "" {
			current = append(current, found)
		}
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range txn.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	if len(txn.Puts)+len(txn.Remove) > 0 {
		s.rev++
		for _, p := range txn.Puts {
			s.write(p.Key, p.Value, p.Lease)
		}
		for _, key := range txn.Remove {
			s.remove(key)
		}
		s.announce()
	}
	reply(w, http.StatusOK, map[string]int64{"rev": s.rev})
}

func (s *kvStore) grant(w http.ResponseWriter, r *http.Request) {
	var wanted struct {
		TTLMs int64 `json:"ttlMs"`
	}
	_ = json.NewDecoder(r.Body).Decode(&wanted)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	ttl := time.Duration(wanted.TTLMs) * time.Millisecond
	s.leases[s.lastID] = lease{ttl, time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]int64{"lease": s.lastID, "ttlMs": wanted.TTLMs})
}

func (s *kvStore) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	l, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.leases[id] = lease{l.ttl, time.Now().Add(l.ttl)}
	reply(w, http.StatusOK, map[string]int64{"ttlMs": l.ttl.Milliseconds()})
}

func (s *kvStore) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endKeys(id)
	reply(w, http.StatusOK, map[string]int64{})
}
