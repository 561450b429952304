// Package store defines the interface to the platform's key-value service: compare-and-swap by revision,
// leases and watches. All state that must survive the nodes is kept there. Other packages depend only on
// this interface; adapters translate it to the protocol of a service.
package store

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
)

// LeaseID identifies a lease. 0 means no lease.
type LeaseID int64

// Entry is a key with its value. Revision is the revision of the store at the last write of the key; it
// increases with every write to the store within one era. Lease is the lease under which the key was last written.
type Entry struct {
	Key      string
	Value    []byte
	Revision int64
	Lease    LeaseID
}

// Event is a change of a key: the entry that was written, or the key that was deleted.
type Event struct {
	Entry   Entry
	Deleted bool
}

// Store is the platform's key-value service. In addition to the errors named below, each method returns
// ErrUnavailable when the store cannot be reached or rejects the call. Values hold up to 1 MB. Each
// call counts towards the rate limit of the platform; an open watch counts as one call.
type Store interface {
	// Get returns the entry of key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys begin with prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Swap writes value if the key is still at revision; 0 means that the key must not exist. A key
	// written under a lease is removed when the lease lapses. Swap returns the new revision,
	// ErrConflict when the revision differs, or ErrUncertain when the write may have taken effect.
	Swap(ctx context.Context, key string, value []byte, revision int64, lease LeaseID) (int64, error)
	// Delete removes the key if it is still at revision. It returns ErrConflict when the revision
	// differs or the key does not exist, or ErrUncertain when the delete may have taken effect.
	Delete(ctx context.Context, key string, revision int64) error
	// GrantLease returns a lease that lapses after ttl unless it is renewed. The ttl may be rounded up
	// to whole seconds.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease extends the lease by its ttl, or returns ErrLeaseLapsed.
	RenewLease(ctx context.Context, id LeaseID) error
	// RevokeLease ends the lease and removes its keys.
	RevokeLease(ctx context.Context, id LeaseID) error
	// Watch delivers the changes after the given revision of keys that begin with prefix; 0 means
	// changes from now on. The watch is established when Watch returns. The channel is closed when ctx
	// ends or the watch breaks, which includes a store that no longer has the changes after the
	// revision or whose era has changed; the receiver then lists the keys again and starts a new watch.
	Watch(ctx context.Context, prefix string, after int64) (<-chan Event, error)
	// Era returns the era of the store as its answers have shown it so far, without a call.
	Era() EraStatus
}

// StaleLister is a Store that can answer from a copy which is seconds old, at a lower price than a call of List.
type StaleLister interface {
	// ListStale is List as of some seconds ago.
	ListStale(ctx context.Context, prefix string) ([]Entry, error)
}

// ListStale lists from a copy that may be seconds old when s is a StaleLister, and by List otherwise.
func ListStale(ctx context.Context, s Store, prefix string) ([]Entry, error) {
	if lister, ok := s.(StaleLister); ok {
		return lister.ListStale(ctx, prefix)
	}
	return s.List(ctx, prefix)
}

// Verifier is a Store that can compare the revision of a key without reading its value.
type Verifier interface {
	// Verify reports whether the key has the revision, at a moment between the sending of the call and its answer. Revision 0
	// means that the key does not exist. The call writes nothing.
	Verify(ctx context.Context, key string, revision int64) (unchanged bool, err error)
}

// Verify compares by Verify when s is a Verifier, and by reading the key otherwise.
func Verify(ctx context.Context, s Store, key string, revision int64) (unchanged bool, err error) {
	if verifier, ok := s.(Verifier); ok {
		return verifier.Verify(ctx, key, revision)
	}
	current, err := s.Get(ctx, key)
	if err != nil && !Is(err, ErrNotFound) {
		return false, err
	}
	return current.Revision == revision, nil
}

var namespace = errorx.NewNamespace("store")

// Error types of a Store.
var (
	// ErrNotFound says that the key does not exist.
	ErrNotFound = namespace.NewType("not_found", errorx.NotFound())
	// ErrConflict says that the key is at another revision than expected. The write did not take effect.
	ErrConflict = namespace.NewType("conflict")
	// ErrUncertain says that a write may or may not have taken effect. Reading the key back tells.
	ErrUncertain = namespace.NewType("uncertain", errorx.Timeout())
	// ErrUnavailable says that the store could not be reached or rejected the call. A write did not
	// take effect.
	ErrUnavailable = namespace.NewType("unavailable", errorx.Temporary())
	// ErrRateLimited is the ErrUnavailable of a call that the rate limit of this process held back until its context would have
	// ended. The call was not sent, so it says nothing of the store.
	ErrRateLimited = ErrUnavailable.NewSubtype("rate_limited")
	// ErrLeaseLapsed says that the lease no longer exists.
	ErrLeaseLapsed = namespace.NewType("lease_lapsed")
	// ErrEraEnded says that the revision or the lease of a call is of an earlier era of the store. The call was not sent, or it
	// wrote nothing and its answer compared revisions of two eras.
	ErrEraEnded = namespace.NewType("era_ended")
)

// Properties of the errors of adapters.
var (
	// PropertyOperation is the operation that failed, such as "swap /bundle/head".
	PropertyOperation = errorx.RegisterPrintableProperty("step")
	// PropertyPeer is the address of the store.
	PropertyPeer = errorx.RegisterPrintableProperty("peer")
)

// Is reports whether err is of type kind.
func Is(err error, kind *errorx.Type) bool { return errorx.IsOfType(err, kind) }
