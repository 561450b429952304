package inbound

import (
	"context"
	"errors"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/peer"
)

// probeInterval is the time between health checks of an upstream that is down, unknown, or has lost a connection.
const probeInterval = 200 * time.Millisecond

// Watch probes an upstream that has not announced itself to this process yet, whose announcement is to be confirmed, or that refused
// connections, until ctx ends. It takes the upstream into service without waiting for an announcement, which may take more than a second.
func (p *Proxy) Watch(ctx context.Context) {
	go p.searchRecords(ctx)
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			p.probe(now)
		case <-p.recordAnswered:
			p.probe(time.Now())
		}
	}
}

// probe checks the health of an upstream that is unknown or down, or that lost a connection. It marks a serving upstream as
// unknown when there was no contact for Options.LivenessTimeout.
func (p *Proxy) probe(now time.Time) {
	p.applyColdRate(now)
	p.mu.Lock()
	observed, addr := p.state, p.current.Address
	if observed == serving && now.Sub(p.lastSeen) > p.options.LivenessTimeout {
		notify := p.setState(now, unknown, "nothing heard of it")
		p.mu.Unlock()
		notify()
		return
	}
	p.startColdCheck(now)
	target, service, recalled := p.current, p.current.Service, len(p.recalledServices) > 0
	p.mu.Unlock()
	if observed == serving && p.crashes.Detector.NeedsEvidence(now) {
		p.checkAfterLoss(target)
		return
	}
	if observed == unknown && addr == "" && recalled {
		addr, service = p.options.Upstream, p.options.Service
	}
	path := p.options.HealthPath(service)
	if (observed != down && observed != unknown) || path == "" || addr == "" {
		return
	}
	report, err := p.checkHealth(addr, path)
	isAnother := target.ID != "" && report.UpstreamID != target.ID
	if err != nil || !report.Healthy || report.Notice.Leaving || report.UpstreamID == "" || isAnother {
		p.recordUnconfirmed(target, report, err)
		return
	}
	p.adopt(time.Now(), observed, addr, report)
	p.mu.Lock()
	adopted := p.current
	p.mu.Unlock()
	p.recordHealthNotice(adopted, now, report)
	p.recordColdTime(adopted, now, report)
}

// checkAfterLoss checks whether the process of the upstream that lost a connection goes on.
func (p *Proxy) checkAfterLoss(target Announcement) {
	path := p.options.HealthPath(target.Service)
	if path == "" {
		return
	}
	began := time.Now()
	report, err := p.checkHealth(target.Address, path)
	switch {
	case err != nil:
		p.recordRefused(target, err)
	case report.UpstreamID != "" && report.UpstreamID != target.ID:
		p.crashes.Detector.ProcessEnded(began) // another process has its address
	default:
		p.crashes.Detector.ProcessAnswered(began)
		p.recordColdTime(target, began, report)
	}
}

// recordRefused takes the upstream out of service when the error of a health check shows that its process has ended.
func (p *Proxy) recordRefused(target Announcement, err error) {
	if !errors.Is(err, ErrRefused) {
		return
	}
	p.crashes.Detector.ProcessEnded(time.Now())
	p.recordFailure(target, caller.Refuse(caller.UpstreamUnreachable, serveStep, target.Address))
}

// maxRecalled bounds the number of upstreams that other nodes may report to Recall.
const maxRecalled = 16

// Recall records what another node knows about the upstream that this node had before a restart. A health report names
// no service, and the address may belong to an upstream of another service by now, so without this the node must wait
// until the upstream announces itself.
func (p *Proxy) Recall(former peer.PreviousUpstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.recalledServices) < maxRecalled {
		p.recalledServices[former.Upstream] = former.Service
	}
}

// adopt takes an upstream into service on a health report: one that was down, one whose first announcement is to be confirmed, or
// one that has not announced itself to this process and is known through Recall. observed is the state before the health check.
func (p *Proxy) adopt(now time.Time, observed state, addr string, report HealthReport) {
	p.mu.Lock()
	born, departed := p.departed[report.UpstreamID]
	departed = departed && p.current.Born <= born
	if p.state != observed || departed || p.awaitsRecord(now) || (p.current.ID != "" && p.current.ID != report.UpstreamID) {
		p.mu.Unlock()
		return
	}
	service, recalled := p.recalledServices[report.UpstreamID]
	if p.current.ID == "" && (!recalled || !report.HasLoad) {
		p.mu.Unlock()
		return
	}
	if p.current.ID == "" {
		p.current = Announcement{ID: report.UpstreamID, Address: addr, Service: service, Slots: max(1, report.Load.Slots)}
		p.forgetLimit(now, Announcement{})
		p.searchRecord(p.current)
	}
	if report.HasLoad {
		p.load = report.Load
	}
	p.lastSeen, p.loadCheckedAt = now, now
	notifyCold := p.updateColdLimit(now, "found by a health check")
	notify := p.setState(now, serving, "answered a reading")
	p.mu.Unlock()
	notifyCold()
	notify()
}
