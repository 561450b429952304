package sidecar

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/magnoliawharf/magnoliawharf/metrics"
	"github.com/magnoliawharf/magnoliawharf/store"
)

const (
	// eraDistrustTime is how long the reports of a node are ignored after one that the store has not confirmed: the node uses
	// another store or is faulty.
	eraDistrustTime = time.Minute
	// eraCheckInterval and eraCheckBurst limit the checks of reported eras, so that false reports of many senders cost the
	// store few calls: at 3,200 nodes at most 320 reads a second in the long run.
	eraCheckInterval = 10 * time.Second
	eraCheckBurst    = 3
	// eraCheckTimeout bounds one check while the store does not answer, and maxEraCheckDelay the delay between its reads.
	eraCheckTimeout  = 15 * time.Second
	maxEraCheckDelay = time.Second
)

var eraReportsRefutedTotal = metrics.Counter("magnoliawharf_sidecar_store_era_reports_refuted_total")

// eraReport is an era of the store that another node has reported.
type eraReport struct {
	era  store.Era
	from netip.AddrPort
}

// eraReports holds the reported eras that are to be checked. It is safe for concurrent use.
type eraReports struct {
	pending chan eraReport // capacity 1
	limit   *rate.Limiter

	mu         sync.Mutex
	distrusted map[netip.AddrPort]time.Time // until when the reports of a node are ignored
}

func newEraReports() *eraReports {
	return &eraReports{
		pending: make(chan eraReport, 1), limit: rate.NewLimiter(rate.Every(eraCheckInterval), eraCheckBurst),
		distrusted: make(map[netip.AddrPort]time.Time),
	}
}

// add adds a report unless its sender is distrusted. While one is pending, others are dropped: the check of that one shows any
// new era.
func (r *eraReports) add(report eraReport) {
	if r.isDistrusted(report.from) {
		return
	}
	select {
	case r.pending <- report:
	default:
	}
}

func (r *eraReports) isDistrusted(node netip.AddrPort) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.distrusted[node])
}

// distrust ignores the reports of the node for eraDistrustTime. The limit of checks bounds the number of such nodes.
func (r *eraReports) distrust(node netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for other, until := range r.distrusted {
		if now.After(until) {
			delete(r.distrusted, other)
		}
	}
	r.distrusted[node] = now.Add(eraDistrustTime)
}

// handlePeerEra queues a check of a later era that another node reports. It ignores senders that have not sent a status, which
// may be no nodes, and all reports while no era is known.
func (s *Sidecar) handlePeerEra(era store.Era, from netip.AddrPort) {
	current := s.storeClient.Era().Current
	if current == 0 || era <= current || s.roster.ForwardAddress(from) == "" {
		return
	}
	s.eraReports.add(eraReport{era: era, from: from})
}

// checkReportedEras checks the eras that other nodes report until ctx ends.
func (s *Sidecar) checkReportedEras(ctx context.Context, client *store.Client) {
	for {
		select {
		case <-ctx.Done():
			return
		case report := <-s.eraReports.pending:
			if report.era > client.Era().Current && !s.eraReports.isDistrusted(report.from) && s.eraReports.limit.Allow() {
				s.checkReportedEra(ctx, client, report)
			}
		}
	}
}

// checkReportedEra reads this node's key, so that the answer shows the era of the store: a report is no proof. The reads of
// all nodes are spread, and none is needed when another answer shows a new era in the meantime.
func (s *Sidecar) checkReportedEra(ctx context.Context, client *store.Client, report eraReport) {
	era := client.Era()
	timer := time.NewTimer(s.eraSchedule.untilCall(report.era, s.eraSpread()))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-era.Changed:
		return
	case <-timer.C:
	}
	if !s.readEra(ctx, client, era) || client.Era().Current >= report.era {
		return
	}
	s.eraReports.distrust(report.from)
	eraReportsRefutedTotal.Inc()
	s.Log.Warn("reported era not confirmed by the store", "from", report.from.String(), "reported", int64(report.era), "era", int64(era.Current))
}

// readEra reads this node's key until the store answers, which shows its era. It returns false when the era ends before, or no
// read was answered in time.
func (s *Sidecar) readEra(ctx context.Context, client *store.Client, era store.EraStatus) bool {
	ctx, cancel := context.WithTimeout(ctx, eraCheckTimeout)
	defer cancel()
	key, _ := s.nodeKey()
	backoff := store.Backoff{MaxDelay: maxEraCheckDelay, Changed: era.Changed}
	for !era.Ended() {
		_, err := client.Get(ctx, key)
		if err == nil || store.Is(err, store.ErrNotFound) {
			return true
		}
		if backoff.Wait(ctx) != nil {
			return false
		}
	}
	return false
}
