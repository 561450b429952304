// Package store is the interface to the platform's key-value service: compare-and-swap by revision,
// leases and watches. What must last lives there; decisions see only this interface, and adapters
// translate it to a service's protocol.
package store

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
)

// LeaseID names a lease. 0 means no lease.
type LeaseID int64

// Entry is a key with its value. Revision grows with every write to the store and identifies this
// write of the key.
type Entry struct {
	Key      string
	Value    []byte
	Revision int64
}

// Event is a change of a key: the entry that was written, or the key that was deleted.
type Event struct {
	Entry   Entry
	Deleted bool
}

// Store is the platform's key-value service. Beside the errors named below, each method returns
// ErrUnavailable when the store can't be reached or refuses the call. Values hold up to 1 MB. Each
// call counts against the rate that the platform allows, a waiting watch as one.
type Store interface {
	// Get returns the entry of key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys begin with prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Swap writes value when the key's revision is still revision; 0 means that the key must not
	// exist. A lease other than 0 removes the key when it lapses. Swap returns the new revision,
	// ErrConflict when the revision differs, or ErrUncertain when the write may have taken effect.
	Swap(ctx context.Context, key string, value []byte, revision int64, lease LeaseID) (int64, error)
	// Delete removes the key when its revision is still revision. It returns
	// ErrConflict when the revision differs or the key does not exist, or ErrUncertain.
	Delete(ctx context.Context, key string, revision int64) error
	// GrantLease returns a lease that lapses after ttl unless it is renewed. The ttl may be rounded up
	// to whole seconds.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease extends the lease by its ttl, or returns ErrLeaseLapsed.
	RenewLease(ctx context.Context, id LeaseID) error
	// RevokeLease ends the lease and removes its keys.
	RevokeLease(ctx context.Context, id LeaseID) error
	// Watch delivers the changes of keys that begin with prefix after the revision; 0 means the
	// changes from now on. The watch is in place when Watch returns. The channel is closed when ctx
	// ends or the watch breaks, also because the changes after the revision are no longer known; the
	// receiver then reads anew and watches again.
	Watch(ctx context.Context, prefix string, after int64) (<-chan Event, error)
}

var namespace = errorx.NewNamespace("store")

// Types of errors of a Store.
var (
	// ErrNotFound says that the key does not exist.
	ErrNotFound = namespace.NewType("not_found", errorx.NotFound())
	// ErrConflict says that the key's revision is another one. The write did not take effect.
	ErrConflict = namespace.NewType("conflict")
	// ErrUncertain says that a write may or may not have taken effect. Read back to settle it.
	ErrUncertain = namespace.NewType("uncertain", errorx.Timeout())
	// ErrUnavailable says that the store could not be reached or refused the call. A write did not
	// take effect.
	ErrUnavailable = namespace.NewType("unavailable", errorx.Temporary())
	// ErrLeaseLapsed says that the lease no longer exists.
	ErrLeaseLapsed = namespace.NewType("lease_lapsed")
)

// Properties of errors of adapters.
var (
	// PropertyStep is the step at which the error arose, such as "swap /bundle/head".
	PropertyStep = errorx.RegisterPrintableProperty("step")
	// PropertyPeer is the address of the store.
	PropertyPeer = errorx.RegisterPrintableProperty("peer")
)

// Is reports whether err is of the type.
func Is(err error, kind *errorx.Type) bool { return errorx.IsOfType(err, kind) }
