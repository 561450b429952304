// Package departure records the departures of upstreams in the store. The nodes keep them in memory and tell each other, but all nodes may
// end at the same time, while an upstream that has left goes on for some time and its earlier announcements may still arrive.
//
// Layout: a Records represents the records of the upstream beside one machine. Concurrency: one goroutine writes; one lock guards what is to
// be written, and is not held during a call to the store.
package departure

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/metrics"
	"github.com/magnoliawharf/magnoliawharf/peer"
	"github.com/magnoliawharf/magnoliawharf/store"
	"github.com/magnoliawharf/magnoliawharf/wait"
)

const (
	// leaseTTL ends the records by themselves: an upstream that has left ends within seconds or minutes. Each record lasts for leaseTTL
	// less maxLeaseAge at least.
	leaseTTL = 10 * time.Minute
	// maxLeaseAge is the age up to which the lease is used for another record.
	maxLeaseAge = 5 * time.Minute
	// maxRecords bounds the departures that are to be written or are written again in a new era of the store.
	maxRecords = 256
	// maxRetryDelay bounds the delay between two attempts to write.
	maxRetryDelay = 2 * time.Second
)

var (
	recordedTotal   = metrics.Counter("magnoliawharf_departures_recorded_total")
	failuresTotal   = metrics.Counter("magnoliawharf_departure_record_failures_total")
	unreadableTotal = metrics.Counter("magnoliawharf_departure_records_unreadable_total")
	overflowTotal   = metrics.Counter("magnoliawharf_departure_records_overflow_total")
)

// Options configure Records.
type Options struct {
	Store  store.Store
	Prefix string // of the keys of the records
	// EraDelay returns the delay after which the records are written again in a new era of the store, so that not all nodes write at the
	// same time.
	EraDelay func() time.Duration
	Log      *slog.Logger
}

// Records writes the departures of the upstream beside this node, and finds those of earlier runs of the node. It is safe for concurrent
// use.
type Records struct {
	options Options
	added   chan struct{} // signals Run; capacity 1

	mu      sync.Mutex
	pending map[string]int64 // latest departed start by upstream, to be written
	written map[string]entry // by upstream
	settled chan struct{}    // closed when nothing is pending

	// Used by Run only.
	lease     store.LeaseID // 0 for none
	era       store.EraStatus
	grantedAt time.Time
}

// entry is a departure that was written.
type entry struct {
	born int64
	at   time.Time
}

// New returns Records that write nothing before Run is called.
func New(o Options) *Records {
	settled := make(chan struct{})
	close(settled)
	return &Records{
		options: o, added: make(chan struct{}, 1), pending: make(map[string]int64), written: make(map[string]entry), settled: settled,
	}
}

// Add records the departure: Run writes it until the store has it. It does not block.
func (r *Records) Add(d peer.Departure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetEnded(time.Now())
	if known, ok := r.written[d.Upstream]; ok && d.Born <= known.born {
		return
	}
	if _, ok := r.pending[d.Upstream]; !ok && len(r.pending) >= maxRecords {
		overflowTotal.Inc()
		r.options.Log.Warn("departure not recorded: too many are to be written", "upstream", d.Upstream, "born", d.Born)
		return
	}
	r.addPending(d)
}

// addPending is called with the lock held.
func (r *Records) addPending(d peer.Departure) {
	if len(r.pending) == 0 {
		r.settled = make(chan struct{})
	}
	r.pending[d.Upstream] = max(r.pending[d.Upstream], d.Born)
	select {
	case r.added <- struct{}{}:
	default:
	}
}

// forgetEnded forgets the records whose lease has ended, and more beyond maxRecords. It is called with the lock held.
func (r *Records) forgetEnded(now time.Time) {
	for upstream, e := range r.written {
		if now.Sub(e.at) > leaseTTL-maxLeaseAge || len(r.written) > maxRecords {
			delete(r.written, upstream)
		}
	}
}

// Await waits until the store has all departures added so far, and reports false when ctx ends before.
func (r *Records) Await(ctx context.Context) bool {
	r.mu.Lock()
	settled := r.settled
	r.mu.Unlock()
	select {
	case <-settled:
		return true
	case <-ctx.Done():
		return false
	}
}

// Run writes the departures until ctx ends.
func (r *Records) Run(ctx context.Context) {
	backoff := store.Backoff{MaxDelay: maxRetryDelay}
	for era := r.options.Store.Era(); ctx.Err() == nil; {
		if era.Ended() {
			wait.For(ctx, r.options.EraDelay())
			era = r.options.Store.Era()
			r.writeAgain()
		}
		d, ok := r.next()
		if !ok {
			r.awaitWork(ctx, era)
			continue
		}
		if err := r.write(ctx, d); err != nil {
			failuresTotal.Inc()
			r.options.Log.Warn("departure not recorded in store, retrying", "upstream", d.Upstream, "born", d.Born, "cause", err.Error())
			_ = backoff.Wait(ctx)
			continue
		}
		backoff.Reset()
		r.recordWritten(d)
	}
}

// awaitWork returns when a departure was added, when the era has ended, or when ctx ends.
func (r *Records) awaitWork(ctx context.Context, era store.EraStatus) {
	select {
	case <-r.added:
	case <-era.Changed:
	case <-ctx.Done():
	}
}

// writeAgain lets all records be written again: the store has returned from an older copy.
func (r *Records) writeAgain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetEnded(time.Now())
	for upstream, e := range r.written {
		delete(r.written, upstream)
		r.addPending(peer.Departure{Upstream: upstream, Born: e.born})
	}
}

// next returns a departure that is to be written.
func (r *Records) next() (peer.Departure, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for upstream, born := range r.pending {
		return peer.Departure{Upstream: upstream, Born: born}, true
	}
	return peer.Departure{}, false
}

func (r *Records) recordWritten(d peer.Departure) {
	recordedTotal.Inc()
	r.options.Log.Info("departure recorded in store", "upstream", d.Upstream, "born", d.Born)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.written[d.Upstream] = entry{d.Born, time.Now()}
	if r.pending[d.Upstream] > d.Born {
		return // a later start has departed meanwhile
	}
	delete(r.pending, d.Upstream)
	if len(r.pending) == 0 {
		close(r.settled)
	}
}

// write writes the record of the departure, unless there is one of a later start, which it extends.
func (r *Records) write(ctx context.Context, d peer.Departure) error {
	lease, err := r.currentLease(ctx)
	if err != nil {
		return err
	}
	bound, name := store.Within(r.options.Store, r.era), key(r.options.Prefix, d.Upstream)
	err = swap(ctx, bound, name, d, 0, lease)
	if store.Is(err, store.ErrConflict) {
		var existing store.Entry
		if existing, err = bound.Get(ctx, name); err == nil {
			if recorded, ok := r.decode(d.Upstream, existing); ok {
				d.Born = max(d.Born, recorded.Born)
			}
			err = swap(ctx, bound, name, d, existing.Revision, lease)
		}
	}
	if store.Is(err, store.ErrLeaseLapsed) || store.Is(err, store.ErrEraEnded) {
		r.lease = 0
	}
	return err
}

func swap(ctx context.Context, s store.Store, name string, d peer.Departure, revision int64, lease store.LeaseID) error {
	value, err := encode(d)
	if err != nil {
		return err
	}
	_, err = s.Swap(ctx, name, value, revision, lease)
	return err
}

// currentLease returns the lease for the next record.
func (r *Records) currentLease(ctx context.Context) (store.LeaseID, error) {
	if r.lease != 0 && time.Since(r.grantedAt) < maxLeaseAge && !r.era.Ended() {
		return r.lease, nil
	}
	era, sentAt := r.options.Store.Era(), time.Now() // before the call, so that no change during it is missed
	lease, err := r.options.Store.GrantLease(ctx, leaseTTL)
	if err != nil {
		return 0, err
	}
	r.lease, r.era, r.grantedAt = lease, era, sentAt
	return lease, nil
}

// Find returns the recorded departure of the upstream. found is false for none. The error says that the record could not be read.
func (r *Records) Find(ctx context.Context, upstream string) (d peer.Departure, found bool, err error) {
	existing, err := r.options.Store.Get(ctx, key(r.options.Prefix, upstream))
	switch {
	case store.Is(err, store.ErrNotFound):
		return peer.Departure{}, false, nil
	case err != nil:
		return peer.Departure{}, false, err
	}
	d, found = r.decode(upstream, existing)
	return d, found, nil
}

// decode returns the departure in the entry. ok is false when it is unreadable: it may come from another writer.
func (r *Records) decode(upstream string, e store.Entry) (d peer.Departure, ok bool) {
	d, err := decode(upstream, e.Value)
	if err != nil {
		unreadableTotal.Inc()
		r.options.Log.Warn("record of a departure ignored", "upstream", upstream, "revision", e.Revision, "cause", err.Error())
		return peer.Departure{}, false
	}
	return d, true
}
