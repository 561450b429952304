// Package wire defines the messages of the v3 JSON gateway key-value API that magnoliawharf uses. Keys
// and values are encoded as base64, 64-bit integers as JSON strings, and fields with their zero value
// are omitted.
package wire

// Paths of the API.
const (
	PathRange          = "/v3/kv/range"
	PathTxn            = "/v3/kv/txn"
	PathLeaseGrant     = "/v3/lease/grant"
	PathLeaseKeepAlive = "/v3/lease/keepalive"
	PathLeaseRevoke    = "/v3/lease/revoke"
	PathKVLeaseRevoke  = "/v3/kv/lease/revoke" // older path of PathLeaseRevoke
	PathWatch          = "/v3/watch"
)

// Codes of an Error.
const (
	CodeNotFound    = 5
	CodeOutOfRange  = 11
	CodeUnavailable = 14
)

// Header carries the revision of the store at the time of the response.
type Header struct {
	Revision int64 `json:"revision,string,omitempty"`
}

// KeyValue is one entry.
type KeyValue struct {
	Key         []byte `json:"key,omitempty"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string,omitempty"`
	Lease       int64  `json:"lease,string,omitempty"`
}

// RangeRequest reads one key, or the keys from Key up to RangeEnd.
type RangeRequest struct {
	Key      []byte `json:"key,omitempty"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RangeResponse holds the entries found, ordered by key.
type RangeResponse struct {
	Header Header     `json:"header"`
	KVs    []KeyValue `json:"kvs,omitempty"`
}

// Compare is true when the key's modification revision is ModRevision; 0 means that the key does not exist.
type Compare struct {
	Result      string `json:"result"` // EQUAL
	Target      string `json:"target"` // MOD
	Key         []byte `json:"key,omitempty"`
	ModRevision int64  `json:"mod_revision,string"`
}

// Put writes an entry.
type Put struct {
	Key   []byte `json:"key,omitempty"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,string,omitempty"`
}

// DeleteRange removes a key.
type DeleteRange struct {
	Key []byte `json:"key,omitempty"`
}

// Operation is one operation of a transaction.
type Operation struct {
	Put         *Put         `json:"request_put,omitempty"`
	DeleteRange *DeleteRange `json:"request_delete_range,omitempty"`
}

// TxnRequest executes Success if all comparisons are true.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []Operation `json:"success,omitempty"`
}

// TxnResponse says whether all comparisons were true. The header has the revision of the write.
type TxnResponse struct {
	Header    Header `json:"header"`
	Succeeded bool   `json:"succeeded,omitempty"`
}

// Lease is the request and the response of the lease calls. TTL is in seconds.
type Lease struct {
	ID  int64 `json:"ID,string,omitempty"`
	TTL int64 `json:"TTL,string,omitempty"`
}

// KeepAliveResponse is the streamed response to a lease renewal. A TTL of 0 means that the lease has lapsed.
type KeepAliveResponse struct {
	Result Lease  `json:"result"`
	Error  *Error `json:"error,omitempty"`
}

// WatchRequest starts a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate names the keys to watch. A StartRevision of 0 means from now on.
type WatchCreate struct {
	Key           []byte `json:"key,omitempty"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

// WatchResponse is one message of the stream of a watch.
type WatchResponse struct {
	Result WatchResult `json:"result"`
	Error  *Error      `json:"error,omitempty"`
}

// WatchResult says that the watch was created or cancelled, or carries changes.
type WatchResult struct {
	Header   Header  `json:"header"`
	Created  bool    `json:"created,omitempty"`
	Canceled bool    `json:"canceled,omitempty"`
	Events   []Event `json:"events,omitempty"`
}

// EventDelete is the type of an Event that removes a key. The type is omitted for a write.
const EventDelete = "DELETE"

// Event is one change.
type Event struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// Error is the body of a response with an error status, or an error within a stream.
type Error struct {
	Message string `json:"message"`
	Code    int    `json:"code"`
}

// PrefixEnd returns the exclusive end of the range of keys that begin with prefix. A single zero byte means
// the end of the key space.
func PrefixEnd(prefix []byte) []byte {
	for i := len(prefix) - 1; i >= 0; i-- {
		if prefix[i] < 0xff {
			end := append([]byte(nil), prefix[:i+1]...)
			end[i]++
			return end
		}
	}
	return []byte{0}
}
