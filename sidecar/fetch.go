package sidecar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/metrics"
	"github.com/magnoliawharf/magnoliawharf/wait"
)

const (
	// sameZoneFetchDelay is how long a node that learns of a newer version from a node of its own zone waits for its own
	// watch to deliver it. otherZoneFetchDelay is how long it waits for its own zone to deliver it when it learns of it from
	// another zone.
	sameZoneFetchDelay  = 100 * time.Millisecond
	otherZoneFetchDelay = 400 * time.Millisecond
	// fetchStallTimeout is the time without any byte after which the contracts are fetched from another node as well.
	fetchStallTimeout = 250 * time.Millisecond
	// fetchRetryDelay is the delay after a fetch that failed.
	fetchRetryDelay = 200 * time.Millisecond
	// storeAttempt makes every third attempt a read from the store: it does not depend on other nodes, but when the paths
	// between nodes are slow, all nodes that lack a version read it.
	storeAttempt = 3
	// fetchTimeout bounds the attempts that one report of a newer version starts; the next report starts over.
	fetchTimeout = 2 * time.Second
)

var (
	fetchStalledTotal = metrics.Counter(`magnoliawharf_sidecar_contracts_fetch_failures_total{reason="stalled"}`)
	fetchFailedTotal  = metrics.Counter(`magnoliawharf_sidecar_contracts_fetch_failures_total{reason="failed"}`)
)

// storeSource names the store as the source of contracts.
const storeSource = "store"

var errUnknownAddress = errors.New("the node has not reported its address")

// versionReports holds the nodes that have reported a newer version of the contracts than the current one. It is safe for
// concurrent use.
type versionReports struct {
	mu       sync.Mutex
	nodes    map[netip.AddrPort]*versionReport // by datagram address
	since    time.Time                         // time of the first report
	fetching bool                              // a goroutine fetches a reported version
}

// versionReport is the newest version that one node has reported.
type versionReport struct {
	version  uint64
	attempts int // fetches from the node so far
}

// add records a report. It returns true when the caller must fetch the version and call end afterwards.
func (r *versionReports) add(version uint64, from netip.AddrPort) (first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if report, ok := r.nodes[from]; ok {
		report.version = max(report.version, version)
		return false
	}
	if !r.fetching {
		r.nodes, r.since = make(map[netip.AddrPort]*versionReport), time.Now()
	}
	first, r.fetching = !r.fetching, true
	r.nodes[from] = &versionReport{version: version}
	return first
}

// end forgets all reports, because the fetch has ended.
func (r *versionReports) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nodes, r.fetching = nil, false
}

// age returns the time since the first report of a newer version, 0 without one.
func (r *versionReports) age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.fetching {
		return 0
	}
	return time.Since(r.since)
}

// choose returns a node that has reported a version above current, with that version, and counts an attempt to fetch from it.
// Nodes with fewer attempts come first, then those that are preferred. Among equals chance decides, so that not all nodes fetch
// from one.
func (r *versionReports) choose(current uint64, preferred func(netip.AddrPort) bool) (node netip.AddrPort, version uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	best := 0.0
	for addr, report := range r.nodes {
		if report.version <= current {
			continue
		}
		rank := 2*float64(report.attempts) + rand.Float64()
		if !preferred(addr) {
			rank++
		}
		if !ok || rank < best {
			node, version, best, ok = addr, report.version, rank, true
		}
	}
	if ok {
		r.nodes[node].attempts++
	}
	return node, version, ok
}

// handlePeerVersion fetches the contracts from a node that has a newer version, unless the store or a node of its own zone
// delivers them first. A node without contracts fetches at once. A sender that has not reported its address is ignored: it may
// be no node.
func (s *Sidecar) handlePeerVersion(version uint64, from netip.AddrPort) {
	if version <= s.contracts.Version() || s.roster.ForwardAddress(from) == "" {
		return
	}
	s.proofs.heardVersion(version)
	if s.reports.add(version, from) {
		go func() {
			defer s.reports.end()
			time.Sleep(s.fetchDelay(from))
			s.fetchReported()
		}()
	}
}

// fetchDelay returns how long to wait for another way in which a version may arrive that a node has reported.
func (s *Sidecar) fetchDelay(from netip.AddrPort) time.Duration {
	switch {
	case s.contracts.Load() == nil:
		return 0
	case s.roster.InZone(from):
		return sameZoneFetchDelay
	}
	return otherZoneFetchDelay
}

// fetchReported fetches the contracts until no node has reported a newer version than the current one. While no attempt
// receives anything for fetchStallTimeout it starts another one, so that a silent source costs little of the time within which
// a version must be in force.
func (s *Sidecar) fetchReported() {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	attempts := fetchAttempts{progress: make(chan struct{}, 1), done: make(chan error)}
	for number := 1; ctx.Err() == nil; number++ {
		source, version, ok := s.chooseFetchSource(number)
		if !ok {
			return
		}
		go func() { attempts.finish(ctx, s.fetchFrom(ctx, source, version, attempts.progress)) }()
		if stalled := attempts.wait(ctx); stalled {
			fetchStalledTotal.Inc()
			s.Log.Warn("fetch of contracts stalled", "from", source, "version", version, "in_force", s.contracts.Version())
		}
	}
}

// chooseFetchSource returns the source of one attempt, counted from 1, and the version that it has reported. It returns false
// when no node has reported a newer version than the current one.
func (s *Sidecar) chooseFetchSource(attempt int) (source string, version uint64, ok bool) {
	node, version, ok := s.reports.choose(s.contracts.Version(), s.roster.InZone)
	if attempt%storeAttempt == 0 {
		return storeSource, version, ok
	}
	return s.roster.ForwardAddress(node), version, ok
}

// fetchFrom fetches the contracts from a source that has the version, and adopts them.
func (s *Sidecar) fetchFrom(ctx context.Context, source string, version uint64, progress chan<- struct{}) error {
	var err error
	if source == storeSource {
		err = s.readContracts(ctx)
	} else {
		err = s.fetchFromPeer(ctx, source, progress)
	}
	if err == nil && s.contracts.Version() < version {
		err = fmt.Errorf("the document does not hold version %d", version)
	}
	if err != nil && ctx.Err() == nil {
		fetchFailedTotal.Inc()
		s.Log.Warn("cannot fetch contracts", "from", source, "version", version, "cause", err.Error())
	}
	return err
}

// fetchAttempts tracks concurrent attempts to fetch the contracts.
type fetchAttempts struct {
	progress chan struct{} // an attempt has received something; capacity 1
	done     chan error    // results of attempts
}

// finish reports the result of an attempt unless ctx has ended.
func (a fetchAttempts) finish(ctx context.Context, err error) {
	select {
	case a.done <- err:
	case <-ctx.Done():
	}
}

// wait waits until an attempt ends, and a little longer after a failure. It reports true when none has received anything for
// fetchStallTimeout.
func (a fetchAttempts) wait(ctx context.Context) (stalled bool) {
	timer := time.NewTimer(fetchStallTimeout)
	defer timer.Stop()
	for {
		select {
		case <-a.progress:
			timer.Reset(fetchStallTimeout)
		case err := <-a.done:
			if err != nil {
				wait.For(ctx, fetchRetryDelay)
			}
			return false
		case <-timer.C:
			return true
		case <-ctx.Done():
			return false
		}
	}
}

// fetchFromPeer fetches the contracts from the node at the address and adopts them.
func (s *Sidecar) fetchFromPeer(ctx context.Context, address string, progress chan<- struct{}) error {
	if address == "" {
		return errUnknownAddress
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+contractsPath, nil)
	if err != nil {
		return err
	}
	response, err := s.fetchClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	document, err := decompress(progressReader{response.Body, progress})
	if err != nil {
		return err
	}
	s.adopt(document, address, "")
	s.learnClaim(response.Header)
	return nil
}

// progressReader signals on progress, without blocking, that it has read something.
type progressReader struct {
	io.Reader
	progress chan<- struct{}
}

// Read implements io.Reader.
func (r progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		select {
		case r.progress <- struct{}{}:
		default:
		}
	}
	return n, err
}
