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

// configKey is the key of the operator's manifest.
const configKey = "op/config"

// item is a key of the store, as the platform's page on its protocol has it.
type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Rev        int64  `json:"rev"`
	CreatedRev int64  `json:"createdRev,omitempty"`
	Lease      int64  `json:"lease"`
	Tombstone  bool   `json:"tombstone,omitempty"`
}

// kvStore is a stand-in for the platform's metadata store.
type kvStore struct {
	listener net.Listener
	server   *http.Server

	mu      sync.Mutex
	rev     int64
	items   map[string]item
	history []item
	leases  map[int64]leaseState
	lastID  int64
	changed chan struct{} // closed at each change
}

type leaseState struct {
	ttl   time.Duration
	until time.Time
}

func startStore(addr string) (*kvStore, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &kvStore{
		listener: listener, rev: 1, items: make(map[string]item), leases: make(map[int64]leaseState), changed: make(chan struct{}),
	}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(listener) }()
	go s.expireLoop()
	return s, nil
}

func (s *kvStore) expireLoop() {
	for range time.Tick(200 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.until) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease removes the lease and its keys. It is called with the lock held.
func (s *kvStore) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.change(item{Key: key, Tombstone: true})
		}
	}
}

// change applies one change. It is called with the lock held.
func (s *kvStore) change(i item) {
	s.rev++
	i.Rev = s.rev
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		i.CreatedRev = i.Rev
		if before, ok := s.items[i.Key]; ok {
			i.CreatedRev = before.CreatedRev
		}
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// publish writes the operator's manifest.
func (s *kvStore) publish(manifest any) error {
	raw, err := json.Marshal(manifest)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(item{Key: configKey, Value: raw})
	return nil
}

// ServeHTTP implements http.Handler.
func (s *kvStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	status, body := s.answer(r)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *kvStore) answer(r *http.Request) (status int, body any) {
	query := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/-/kv-key":
		s.mu.Lock()
		defer s.mu.Unlock()
		i, ok := s.items[query.Get("key")]
		if !ok {
			return http.StatusNotFound, map[string]any{"asOf": s.rev}
		}
		return http.StatusOK, i
	case path == "/-/kv-range":
		return s.list(query.Get("pathPrefix"), query.Get("after"))
	case path == "/-/kv-watch":
		return s.watch(r)
	case path == "/-/kv-txn":
		return s.commit(r)
	case path == "/-/kv-lease":
		return s.grant(r)
	case strings.HasPrefix(path, "/-/kv-keep/"), strings.HasPrefix(path, "/-/kv-lease-end/"):
		return s.lease(path)
	}
	return http.StatusNotFound, struct{}{}
}

func (s *kvStore) list(prefix, after string) (status int, body any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	return http.StatusOK, map[string]any{"items": found, "hasMore": false, "asOf": s.rev}
}

func (s *kvStore) watch(r *http.Request) (status int, body any) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMs, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	timer := time.NewTimer(time.Duration(min(waitMs, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events, asOf, changed := []item{}, s.rev, s.changed
		for _, i := range s.history {
			if i.Rev > after && strings.HasPrefix(i.Key, query.Get("pathPrefix")) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			return http.StatusOK, map[string]any{"events": events, "asOf": asOf}
		}
		select {
		case <-changed:
		case <-timer.C:
			return http.StatusOK, map[string]any{"events": events, "asOf": asOf}
		case <-r.Context().Done():
			return http.StatusOK, map[string]any{"events": events, "asOf": after}
		}
	}
}

func (s *kvStore) commit(r *http.Request) (status int, body any) {
	var t struct {
		Precondition []struct {
			Key string
			Rev int64
		}
		Puts   []item
		Remove []string
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		return http.StatusBadRequest, struct{}{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.Precondition {
		if s.items[c.Key].Rev != c.Rev {
			return http.StatusPreconditionFailed, map[string]any{"items": []item{}}
		}
	}
	for _, p := range t.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return http.StatusNotFound, struct{}{}
		}
	}
	for _, p := range t.Puts {
		s.change(item{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range t.Remove {
		s.change(item{Key: key, Tombstone: true})
	}
	return http.StatusOK, map[string]any{"rev": s.rev}
}

func (s *kvStore) grant(r *http.Request) (status int, body any) {
	var in struct{ TTLMs int64 }
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		return http.StatusBadRequest, struct{}{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	ttl := time.Duration(in.TTLMs) * time.Millisecond
	s.leases[s.lastID] = leaseState{ttl: ttl, until: time.Now().Add(ttl)}
	return http.StatusOK, map[string]any{"lease": s.lastID, "ttlMs": in.TTLMs}
}

func (s *kvStore) lease(path string) (status int, body any) {
	id, _ := strconv.ParseInt(path[strings.LastIndex(path, "/")+1:], 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	switch {
	case !ok:
		return http.StatusNotFound, struct{}{}
	case strings.HasPrefix(path, "/-/kv-keep/"):
		l.until = time.Now().Add(l.ttl)
		s.leases[id] = l
	default:
		s.endLease(id)
	}
	return http.StatusOK, struct{}{}
}

func (s *kvStore) stop() { _ = s.server.Close() }
