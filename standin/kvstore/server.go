package kvstore

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/magnoliawharf/magnoliawharf/store"
	"github.com/magnoliawharf/magnoliawharf/store/kvhttp/wire"
)

// maxRequestBytes fits a value of 1 MB in base64 with its key.
const maxRequestBytes = 2 << 20

// NewServer serves memory in the v3 JSON gateway protocol. Faults of memory appear as a client of the
// real service would see them: a store that is down responds with 503, a lost request or response is an
// aborted connection.
func NewServer(memory *Memory) http.Handler {
	s := &server{memory: memory}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathRange, s.serveRange)
	mux.HandleFunc("POST "+wire.PathTxn, s.serveTxn)
	mux.HandleFunc("POST "+wire.PathLeaseGrant, s.serveLeaseGrant)
	mux.HandleFunc("POST "+wire.PathLeaseKeepAlive, s.serveLeaseKeepAlive)
	mux.HandleFunc("POST "+wire.PathLeaseRevoke, s.serveLeaseRevoke)
	mux.HandleFunc("POST "+wire.PathKVLeaseRevoke, s.serveLeaseRevoke)
	mux.HandleFunc("POST "+wire.PathWatch, s.serveWatch)
	return mux
}

type server struct{ memory *Memory }

// decodeRequest decodes the body of the request. It responds with 400 and returns false when the body is invalid.
func decodeRequest[T any](w http.ResponseWriter, r *http.Request) (in T, ok bool) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		_ = json.NewEncoder(w).Encode(wire.Error{Message: err.Error(), Code: 3})
		return in, false
	}
	return in, true
}

func writeJSON(w http.ResponseWriter, out any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

// writeError responds with the error. It aborts the connection for a lost request or response.
func writeError(w http.ResponseWriter, err error) {
	switch {
	case store.Is(err, store.ErrUncertain):
		panic(http.ErrAbortHandler)
	case store.Is(err, store.ErrLeaseLapsed):
		w.WriteHeader(http.StatusNotFound)
		writeJSON(w, wire.Error{Message: "requested lease not found", Code: wire.CodeNotFound})
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
		writeJSON(w, wire.Error{Message: err.Error(), Code: wire.CodeUnavailable})
	}
}

func (s *server) serveRange(w http.ResponseWriter, r *http.Request) {
	in, ok := decodeRequest[wire.RangeRequest](w, r)
	if !ok {
		return
	}
	var entries []store.Entry
	var err error
	if len(in.RangeEnd) > 0 {
		entries, err = s.memory.List(r.Context(), prefixOf(in.Key, in.RangeEnd))
	} else {
		var entry store.Entry
		entry, err = s.memory.Get(r.Context(), string(in.Key))
		entries = []store.Entry{entry}
		if store.Is(err, store.ErrNotFound) {
			entries, err = nil, nil
		}
	}
	if err != nil {
		writeError(w, err)
		return
	}
	var out wire.RangeResponse
	for _, entry := range entries {
		out.KVs = append(out.KVs, keyValue(entry))
	}
	writeJSON(w, out)
}

// prefixOf returns the prefix whose range is from key to end. For any other range it returns a prefix that no key has.
func prefixOf(key, end []byte) string {
	if bytes.Equal(wire.PrefixEnd(key), end) {
		return string(key)
	}
	return "\x00no such range"
}

func (s *server) serveTxn(w http.ResponseWriter, r *http.Request) {
	in, ok := decodeRequest[wire.TxnRequest](w, r)
	if !ok {
		return
	}
	if len(in.Compare) != 1 || len(in.Success) != 1 || in.Compare[0].Target != "MOD" || in.Compare[0].Result != "EQUAL" {
		w.WriteHeader(http.StatusBadRequest)
		writeJSON(w, wire.Error{Message: "unsupported transaction: want one MOD EQUAL comparison and one operation", Code: 12})
		return
	}
	var out wire.TxnResponse
	var err error
	expected := in.Compare[0].ModRevision
	switch operation := in.Success[0]; {
	case operation.Put != nil:
		put := operation.Put
		out.Header.Revision, err = s.memory.Swap(r.Context(), string(put.Key), put.Value, expected, store.LeaseID(put.Lease))
	case operation.DeleteRange != nil:
		err = s.memory.Delete(r.Context(), string(operation.DeleteRange.Key), expected)
	}
	if err != nil && !store.Is(err, store.ErrConflict) {
		writeError(w, err)
		return
	}
	out.Succeeded = err == nil
	writeJSON(w, out)
}

func (s *server) serveLeaseGrant(w http.ResponseWriter, r *http.Request) {
	in, ok := decodeRequest[wire.Lease](w, r)
	if !ok {
		return
	}
	id, err := s.memory.GrantLease(r.Context(), time.Duration(in.TTL)*time.Second)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, wire.Lease{ID: int64(id), TTL: in.TTL})
}

func (s *server) serveLeaseKeepAlive(w http.ResponseWriter, r *http.Request) {
	in, ok := decodeRequest[wire.Lease](w, r)
	if !ok {
		return
	}
	err := s.memory.RenewLease(r.Context(), store.LeaseID(in.ID))
	if err != nil && !store.Is(err, store.ErrLeaseLapsed) {
		writeError(w, err)
		return
	}
	out := wire.KeepAliveResponse{Result: wire.Lease{ID: in.ID}}
	if err == nil {
		out.Result.TTL = int64(s.memory.ttl(store.LeaseID(in.ID)) / time.Second)
	}
	writeJSON(w, out)
}

func (s *server) serveLeaseRevoke(w http.ResponseWriter, r *http.Request) {
	in, ok := decodeRequest[wire.Lease](w, r)
	if !ok {
		return
	}
	if err := s.memory.RevokeLease(r.Context(), store.LeaseID(in.ID)); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, struct{}{})
}

func (s *server) serveWatch(w http.ResponseWriter, r *http.Request) {
	in, ok := decodeRequest[wire.WatchRequest](w, r)
	if !ok {
		return
	}
	prefix := prefixOf(in.Create.Key, in.Create.RangeEnd)
	after := max(0, in.Create.StartRevision-1)
	events, err := s.memory.Watch(r.Context(), prefix, after)
	if err != nil {
		writeError(w, err)
		return
	}
	controller := http.NewResponseController(w)
	writeJSON(w, wire.WatchResponse{Result: wire.WatchResult{Created: true}})
	_ = controller.Flush()
	for event := range events {
		change := wire.Event{KV: keyValue(event.Entry)}
		if event.Deleted {
			change.Type = wire.EventDelete
		}
		writeJSON(w, wire.WatchResponse{Result: wire.WatchResult{Events: []wire.Event{change}}})
		if controller.Flush() != nil {
			return
		}
	}
	writeJSON(w, wire.WatchResponse{Result: wire.WatchResult{Canceled: true}})
}

func keyValue(entry store.Entry) wire.KeyValue {
	return wire.KeyValue{Key: []byte(entry.Key), Value: entry.Value, ModRevision: entry.Revision, Lease: int64(entry.Lease)}
}
